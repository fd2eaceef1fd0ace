"""Show what a process knows, and its endpoints."""

from __future__ import annotations

from knapweedbeam_ctl import exit_codes, failures, models, output
from knapweedbeam_ctl.commands import connection

ENDPOINT_HEADINGS = (
    "endpoint",
    "service",
    "domain",
    "worker",
    "slots",
    "running here",
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
    """Print the endpoints that a process knows."""
    api = access.open()
    if isinstance(api, failures.BadFile):
        return output.print_failure(api, access.as_json)
    found = api.get("/v1/endpoints", models.EndpointsBody)
    if not isinstance(found, models.EndpointsBody):
        return output.print_failure(found, access.as_json)
    if access.as_json:
        output.print_json(found)
        return exit_codes.ExitCode.OK
    rows = [
        (
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
        for one in found.endpoints
    ]
    output.print_table(ENDPOINT_HEADINGS, rows)
    return exit_codes.ExitCode.OK
