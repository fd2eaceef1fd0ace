"""HTTP routes of operators: bundles, status and probes."""

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
    """The traffic of all links in one direction."""

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
    """The current work of a process."""

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
    """The functions of the process that the operators' routes use."""

    proposal_waiters: waiters.ProposalWaiters

    def propose(self, call: int, bundle: str) -> None:
        """Propose a bundle; the answer goes to the waiters."""

    def get_bundle(self, version: int) -> str | outcomes.Refusal:
        """Return the text of an accepted bundle."""

    def get_status(self) -> StatusContent:
        """Return the status of this process."""

    def is_ready(self) -> bool:
        """Return whether the process accepts callers' work."""


class HealthContent(msgspec.Struct):
    """The answer to health and readiness probes."""

    ok: bool


class OperatorApi:
    """Handlers of the operators' routes."""

    def __init__(self, service: OperatorService) -> None:
        self.service = service

    def get_routes(self) -> tuple[router.Route, ...]:
        """Return the operators' routes, including the probes."""
        access = auth.Access.OPERATOR
        bootstrap_access = auth.Access.OPERATOR_OR_UNSET
        return (
            router.Route("GET", "/v1/status", self.get_status, bootstrap_access),
            router.Route("GET", "/v1/bundles/*", self.get_bundle, access),
            router.Route("POST", "/v1/bundles", self.propose, bootstrap_access),
            *self.get_probe_routes(),
        )

    def get_probe_routes(self) -> tuple[router.Route, ...]:
        """Return the routes for the health probes of a load balancer."""
        access = auth.Access.ANYONE
        return (
            router.Route("GET", "/healthz", self.get_health, access),
            router.Route("GET", "/readyz", self.get_readiness, access),
        )

    def get_health(self, request: router.Request) -> replies.Reply:
        """Reply that the process runs."""
        return replies.build_reply(replies.OK, HealthContent(True))

    def get_readiness(self, request: router.Request) -> replies.Reply:
        """Reply whether the process accepts callers' work."""
        ready = self.service.is_ready()
        status = replies.OK if ready else 503
        return replies.build_reply(status, HealthContent(ready))

    def get_status(self, request: router.Request) -> replies.Reply:
        """Reply with the status of this process."""
        return replies.build_reply(replies.OK, self.service.get_status())

    def get_bundle(self, request: router.Request) -> replies.Reply:
        """Reply with the text of an accepted bundle."""
        (text,) = request.path_params
        if not text.isdecimal() or len(text) > 15:
            detail = "the version is a whole number, 0 for the newest"
            return replies.build_refusal(outcomes.Refusal(Reason.INVALID, detail))
        bundle = self.service.get_bundle(int(text))
        if isinstance(bundle, outcomes.Refusal):
            return replies.build_refusal(bundle)
        return replies.build_reply(replies.OK, BundleContent(bundle))

    def propose(self, request: router.Request) -> replies.Reply:
        """Propose a signed bundle and reply with the versions in force per process."""
        try:
            text = request.body.decode()
        except UnicodeDecodeError as error:
            refusal = outcomes.Refusal(Reason.INVALID, str(error))
            return replies.build_refusal(refusal, 422)
        call, result = self.service.proposal_waiters.open()
        self.service.propose(call, text)
        answer = self.wait_for_answer(call, result)
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

    def wait_for_answer(
        self, call: int, result: gevent.event.AsyncResult
    ) -> waiters.ProposalAnswer:
        """Return the answer, or an `OUTCOME_UNKNOWN` refusal after the timeout."""
        try:
            return typing.cast(
                waiters.ProposalAnswer, result.get(timeout=PROPOSAL_TIMEOUT_S)
            )
        except gevent.Timeout:
            self.service.proposal_waiters.results.pop(call, None)
            detail = "no answer in time; send the same bundle again"
            return outcomes.Refusal(Reason.OUTCOME_UNKNOWN, detail)
