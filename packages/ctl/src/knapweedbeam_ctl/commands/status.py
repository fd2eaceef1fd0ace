"""Show what a process knows, and its endpoints."""

from __future__ import annotations

import collections.abc

import msgspec

from knapweedbeam_ctl import exit_codes, failures, models, output
from knapweedbeam_ctl.commands import connection

UP = "up"
HEALTHY = "healthy"
ENDPOINT_HEADINGS = (
    "endpoint",
    "service",
    "domain",
    "worker",
    "slots",
    "running",
    "state",
    "health",
    "keeper",
)


def show_status(access: connection.Connection) -> exit_codes.ExitCode:
    """Print the bundle in force where, and the cut-off failure domains."""
    api = access.open()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, access.as_json)
    found = api.get("/v1/status", models.StatusBody)
    if not isinstance(found, models.StatusBody):
        return output.print_failure(found, access.as_json)
    if access.as_json:
        output.print_json(found)
        return exit_codes.ExitCode.OK
    output.print_table(("what", "value"), build_rows(found))
    rows = sorted(found.in_force.items())
    output.print_table(("process", "bundle in force"), rows)
    return exit_codes.ExitCode.OK


def build_rows(found: models.StatusBody) -> list[tuple[str, object]]:
    """Return the facts of one process."""
    state = "stopping" if found.stopping else "not ready"
    sent, received = found.links.sent, found.links.received
    return [
        ("process", f"{found.process} in {found.domain}"),
        ("state", "ready" if found.ready else state),
        ("bundle", f"{found.version} {found.digest}"),
        ("leader", found.leader or "unknown"),
        ("cut-off failure domains", " ".join(found.unreachable_domains) or "none"),
        ("live here", " ".join(found.live) or "none"),
        ("linked peers", " ".join(found.links.connected) or "none"),
        ("sent", f"{sent.frames} frames, {sent.frame_bytes} bytes"),
        ("received", f"{received.frames} frames, {received.frame_bytes} bytes"),
        ("waiting calls", found.waiting_calls),
        ("running tasks", found.running_tasks),
    ]


def show_endpoints(access: connection.Connection) -> exit_codes.ExitCode:
    """Print the endpoints that all named servers know together."""
    api = access.open()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, access.as_json)
    collected = api.get_each("/v1/endpoints", models.EndpointsBody)
    if collected.failure is not None:
        return output.print_failure(collected.failure, access.as_json)
    output.print_left_out(collected.lost)
    found = join(collected.bodies)
    if access.as_json:
        output.print_json(found)
    else:
        output.print_table(ENDPOINT_HEADINGS, map(build_endpoint_row, found.endpoints))
    return exit_codes.ExitCode.OK


def join(
    bodies: collections.abc.Iterable[models.EndpointsBody],
) -> models.EndpointsBody:
    """Return each endpoint once, as the server sees it that knows the worst of it."""
    known: dict[str, models.EndpointBody] = {}
    for body in bodies:
        for one in body.endpoints:
            other = known.get(one.endpoint)
            known[one.endpoint] = one if other is None else choose(other, one)
    return models.EndpointsBody(tuple(known[name] for name in sorted(known)))


def choose(one: models.EndpointBody, other: models.EndpointBody) -> models.EndpointBody:
    """Return two views of one endpoint as one, with the running tasks added up."""
    state = other.state if one.state == UP else one.state
    health = other.health if one.health == HEALTHY else one.health
    running = one.running + other.running
    return msgspec.structs.replace(one, state=state, health=health, running=running)


def build_endpoint_row(one: models.EndpointBody) -> tuple[object, ...]:
    """Return one endpoint as a row of the table."""
    return (
        one.endpoint,
        one.service,
        one.domain,
        one.worker,
        one.slots,
        one.running,
        one.state,
        one.health,
        one.keeper,
    )
