"""HTTP routes of endpoints and the platform: announcements and usage reports."""

from __future__ import annotations

import typing

import msgspec

from knapweedbeam_core import outcomes, reasons
from knapweedbeam_core.entry import parts
from knapweedbeam_server.http import auth, bodies, replies, router
from knapweedbeam_server.tasks import http_exchange


class WorkerService(typing.Protocol):
    """The functions of the process that these routes use."""

    def announce(
        self, announcement: parts.Announcement
    ) -> parts.EndpointLease | outcomes.Refusal:
        """Handle an endpoint's announcement; return its lease or a refusal."""

    def report_usage(self, report: parts.UsageReport) -> None:
        """Handle a usage report of a worker."""


class LeaseContent(msgspec.Struct):
    """The answer to an announcement."""

    lease_ms: int
    next_ms: int


class TakenContent(msgspec.Struct):
    """The answer to a call that returns no data."""

    taken: bool = True


class WorkerApi:
    """Handlers of the endpoints' and the platform's routes."""

    def __init__(self, service: WorkerService) -> None:
        self.service = service

    def get_routes(self) -> tuple[router.Route, ...]:
        """Return the routes."""
        access = auth.Access
        return (
            router.Route("PUT", "/v1/endpoints/*", self.announce, access.ENDPOINT),
            router.Route("POST", "/v1/usage", self.report_usage, access.PLATFORM),
        )

    def announce(self, request: router.Request) -> replies.Reply:
        """Handle an announcement and reply with its lease."""
        body = bodies.decode(request.body, bodies.AnnouncementBody)
        if isinstance(body, outcomes.Refusal):
            return replies.build_refusal(body)
        try:
            http_exchange.parse_address(body.address)
        except ValueError as error:
            refusal = outcomes.Refusal(reasons.Reason.INVALID, str(error))
            return replies.build_refusal(refusal)
        announcement = parts.Announcement(
            endpoint=request.path_params[0],
            service=body.service,
            address=body.address,
            domain=body.domain,
            worker=body.worker,
            incarnation=body.incarnation,
            sequence=body.sequence,
            slots=body.slots,
            connections=body.connections,
            leaving=body.state == "leaving",
        )
        lease = self.service.announce(announcement)
        if isinstance(lease, outcomes.Refusal):
            return replies.build_refusal(lease)
        content = LeaseContent(lease.lease_ms, lease.next_ms)
        return replies.build_reply(replies.OK, content)

    def report_usage(self, request: router.Request) -> replies.Reply:
        """Handle a usage report."""
        body = bodies.decode(request.body, bodies.UsageBody)
        if isinstance(body, outcomes.Refusal):
            return replies.build_refusal(body)
        self.service.report_usage(parts.UsageReport(**msgspec.structs.asdict(body)))
        return replies.build_reply(replies.OK, TakenContent())
