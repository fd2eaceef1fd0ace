"""Calls of endpoints and of the platform: announcements and usage."""

from __future__ import annotations

import typing

import msgspec

from knapweedbeam_core import outcomes
from knapweedbeam_core.entry import parts
from knapweedbeam_server.http import auth, bodies, replies, router


class WorkerService(typing.Protocol):
    """What these calls need of the process."""

    def announce(
        self, announcement: parts.Announcement
    ) -> parts.EndpointLease | outcomes.Refusal:
        """Take an endpoint's announcement."""

    def report_usage(self, report: parts.UsageReport) -> None:
        """Take a worker's usage."""


class LeaseContent(msgspec.Struct):
    """The answer to an announcement."""

    lease_ms: int
    next_ms: int


class TakenContent(msgspec.Struct):
    """The answer to a call that brings no content back."""

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
        """Take an announcement and answer with its lease."""
        body = bodies.decode(request.body, bodies.AnnouncementBody)
        if isinstance(body, outcomes.Refusal):
            return replies.build_refusal(body)
        announcement = parts.Announcement(
            endpoint=request.places[0],
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
        """Take a usage report."""
        body = bodies.decode(request.body, bodies.UsageBody)
        if isinstance(body, outcomes.Refusal):
            return replies.build_refusal(body)
        self.service.report_usage(parts.UsageReport(**msgspec.structs.asdict(body)))
        return replies.build_reply(replies.OK, TakenContent())
