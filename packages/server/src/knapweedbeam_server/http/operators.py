"""Calls of the operators: bundles and status."""

from __future__ import annotations

import typing

import gevent
import gevent.event
import msgspec

from knapweedbeam_core import outcomes, reasons
from knapweedbeam_server import waiters
from knapweedbeam_server.http import auth, replies, router

Reason = reasons.Reason
PROPOSAL_TIMEOUT_S = 15.0


class TrafficContent(msgspec.Struct):
    """What crossed the links in one direction."""

    messages: dict[str, int]
    frames: int
    frame_bytes: int
    dropped: int


class LinksContent(msgspec.Struct):
    """The links of this process."""

    connected: tuple[str, ...]
    sent: TrafficContent
    received: TrafficContent


class WorkContent(msgspec.Struct):
    """What a process does right now."""

    ready: bool
    stopping: bool
    waiting_calls: int
    running_tasks: int


class StatusContent(msgspec.Struct):
    """The answer to `GET /v1/status`."""

    process: str
    incarnation: int
    domain: str
    ready: bool
    stopping: bool
    version: int
    digest: str
    leader: str
    in_force: dict[str, int]
    unreachable_domains: tuple[str, ...]
    live: tuple[str, ...]
    waiting_calls: int
    running_tasks: int
    links: LinksContent


class AcceptedContent(msgspec.Struct):
    """The answer to an accepted proposal."""

    version: int
    digest: str
    in_force: dict[str, int]
    unreachable_domains: tuple[str, ...]


class BundleContent(msgspec.Struct):
    """The answer to `GET /v1/bundles/{version}`."""

    bundle: str


class OperatorService(typing.Protocol):
    """What operators' calls need of the process."""

    proposal_waiters: waiters.ProposalWaiters

    def propose(self, call: int, bundle: str) -> None:
        """Roll a bundle; the answer reaches the waiters."""

    def get_bundle(self, version: int) -> str | outcomes.Refusal:
        """Return an accepted bundle."""

    def get_status(self) -> StatusContent:
        """Return the status of this process."""

    def is_ready(self) -> bool:
        """Say whether callers' work is taken."""


class HealthContent(msgspec.Struct):
    """The answer to health and readiness probes."""

    ok: bool


class OperatorApi:
    """Handlers of the operators' routes."""

    def __init__(self, service: OperatorService) -> None:
        self.service = service

    def get_routes(self) -> tuple[router.Route, ...]:
        """Return the routes of operators, probes included."""
        access = auth.Access.OPERATOR
        first = auth.Access.OPERATOR_OR_UNSET
        return (
            router.Route("GET", "/v1/status", self.get_status, first),
            router.Route("GET", "/v1/bundles/*", self.get_bundle, access),
            router.Route("POST", "/v1/bundles", self.propose, first),
            *self.get_probe_routes(),
        )

    def get_probe_routes(self) -> tuple[router.Route, ...]:
        """Return the routes that a balancer asks."""
        access = auth.Access.ANYONE
        return (
            router.Route("GET", "/healthz", self.get_health, access),
            router.Route("GET", "/readyz", self.get_readiness, access),
        )

    def get_health(self, request: router.Request) -> replies.Reply:
        """Answer that the process runs."""
        return replies.build_reply(replies.OK, HealthContent(True))

    def get_readiness(self, request: router.Request) -> replies.Reply:
        """Answer whether the process takes callers' work."""
        ready = self.service.is_ready()
        status = replies.OK if ready else 503
        return replies.build_reply(status, HealthContent(ready))

    def get_status(self, request: router.Request) -> replies.Reply:
        """Answer what this process knows."""
        return replies.build_reply(replies.OK, self.service.get_status())

    def get_bundle(self, request: router.Request) -> replies.Reply:
        """Answer with an accepted bundle's text."""
        (text,) = request.places
        if not text.isdecimal() or len(text) > 15:
            detail = "the version is a whole number, 0 for the newest"
            return replies.build_refusal(outcomes.Refusal(Reason.INVALID, detail))
        bundle = self.service.get_bundle(int(text))
        if isinstance(bundle, outcomes.Refusal):
            return replies.build_refusal(bundle)
        return replies.build_reply(replies.OK, BundleContent(bundle))

    def propose(self, request: router.Request) -> replies.Reply:
        """Roll a signed bundle and answer what is in force where."""
        try:
            text = request.body.decode()
        except UnicodeDecodeError as error:
            refusal = outcomes.Refusal(Reason.INVALID, str(error))
            return replies.build_refusal(refusal, 422)
        call, result = self.service.proposal_waiters.open()
        self.service.propose(call, text)
        answer = self.wait(call, result)
        if isinstance(answer, outcomes.Refusal):
            status = 422 if answer.reason is Reason.INVALID else 0
            return replies.build_refusal(answer, status)
        content = AcceptedContent(
            answer.version,
            answer.digest,
            dict(answer.status.in_force),
            answer.status.unreachable_domains,
        )
        return replies.build_reply(
            replies.OK if answer.again else replies.CREATED, content
        )

    def wait(
        self, call: int, result: gevent.event.AsyncResult
    ) -> waiters.ProposalAnswer:
        """Return the answer; without one in time the outcome is unknown."""
        try:
            return typing.cast(
                waiters.ProposalAnswer, result.get(timeout=PROPOSAL_TIMEOUT_S)
            )
        except gevent.Timeout:
            self.service.proposal_waiters.results.pop(call, None)
            detail = "no answer in time; send the same bundle again"
            return outcomes.Refusal(Reason.OUTCOME_UNKNOWN, detail)
