"""Show the status of a process, and the endpoints."""

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


def show_status(settings: connection.ConnectionSettings) -> exit_codes.ExitCode:
    """Print the status of a process and the bundle in force at each process."""
    api = settings.create_client()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, settings.as_json)
    status = api.get("/v1/status", models.StatusBody)
    if not isinstance(status, models.StatusBody):
        return output.print_failure(status, settings.as_json)
    if settings.as_json:
        output.print_json(status)
        return exit_codes.ExitCode.OK
    output.print_table(("what", "value"), build_rows(status))
    rows = sorted(status.in_force.items())
    output.print_table(("process", "bundle in force"), rows)
    return exit_codes.ExitCode.OK


def build_rows(status: models.StatusBody) -> list[tuple[str, object]]:
    """Return the table rows of a process's status."""
    state = "stopping" if status.stopping else "not ready"
    sent, received = status.links.sent, status.links.received
    return [
        ("process", f"{status.process} in {status.domain}"),
        ("state", "ready" if status.ready else state),
        ("bundle", f"{status.version} {status.digest}"),
        ("leader", status.leader or "unknown"),
        (
            "cut-off failure domains",
            " ".join(status.unreachable_domains) or "none",
        ),
        ("live processes", " ".join(status.live) or "none"),
        ("linked peers", " ".join(status.links.connected) or "none"),
        ("sent", f"{sent.frames} frames, {sent.frame_bytes} bytes"),
        ("received", f"{received.frames} frames, {received.frame_bytes} bytes"),
        ("waiting calls", status.waiting_calls),
        ("running tasks", status.running_tasks),
    ]


def show_endpoints(settings: connection.ConnectionSettings) -> exit_codes.ExitCode:
    """Print the endpoints that any of the given servers knows."""
    api = settings.create_client()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, settings.as_json)
    collected = api.get_each("/v1/endpoints", models.EndpointsBody)
    if collected.failure is not None:
        return output.print_failure(collected.failure, settings.as_json)
    output.print_unanswered(collected.unanswered)
    merged = merge_endpoints(collected.bodies)
    if settings.as_json:
        output.print_json(merged)
    else:
        output.print_table(ENDPOINT_HEADINGS, map(build_endpoint_row, merged.endpoints))
    return exit_codes.ExitCode.OK


def merge_endpoints(
    bodies: collections.abc.Iterable[models.EndpointsBody],
) -> models.EndpointsBody:
    """Return each endpoint once, with all servers' views of it merged."""
    merged: dict[str, models.EndpointBody] = {}
    for body in bodies:
        for endpoint in body.endpoints:
            other = merged.get(endpoint.endpoint)
            merged[endpoint.endpoint] = (
                endpoint if other is None else merge_views(other, endpoint)
            )
    return models.EndpointsBody(tuple(merged[name] for name in sorted(merged)))


def merge_views(
    one: models.EndpointBody, other: models.EndpointBody
) -> models.EndpointBody:
    """Merge two servers' views of an endpoint.

    A state other than up and a health other than healthy take precedence; running
    tasks are summed.
    """
    state = other.state if one.state == UP else one.state
    health = other.health if one.health == HEALTHY else one.health
    running = one.running + other.running
    return msgspec.structs.replace(one, state=state, health=health, running=running)


def build_endpoint_row(endpoint: models.EndpointBody) -> tuple[object, ...]:
    """Return the table row of an endpoint."""
    return (
        endpoint.endpoint,
        endpoint.service,
        endpoint.domain,
        endpoint.worker,
        endpoint.slots,
        endpoint.running,
        endpoint.state,
        endpoint.health,
        endpoint.keeper,
    )
