"""HTTP routes of callers: tickets, jobs and cancellations."""

from __future__ import annotations

import collections.abc
import contextlib
import typing

import gevent.event
import msgspec

from knapweedbeam_core import jobs, outcomes, reasons, rules
from knapweedbeam_core.tickets import job_data
from knapweedbeam_server import waiters
from knapweedbeam_server.http import auth, bodies, replies, router

Reason = reasons.Reason
ANSWER_MARGIN_MS = 5_000
MAX_KEY_BYTES = 200
MS_PER_S = 1_000


class CallerService(typing.Protocol):
    """The functions of the process that the callers' routes use."""

    job_waiters: waiters.JobWaiters

    def get_rules(self) -> rules.Rules:
        """Return the rules in force."""

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""

    def mint(self, member: str, count: int) -> tuple[str, ...] | outcomes.Refusal:
        """Mint a block of tickets for a member."""

    def submit(self, job: jobs.Job) -> outcomes.Refusal | None:
        """Submit a job; the answer goes to the waiters."""

    def submit_new(self, job: jobs.Job, key: str) -> str | outcomes.Refusal:
        """Submit a job without a ticket; return the handle to wait for."""

    def look_up(self, ticket: str, member: str) -> outcomes.Refusal | None:
        """Request the outcome of a job; the answer goes to the waiters."""

    def cancel(self, ticket: str, member: str) -> outcomes.Refusal | None:
        """Cancel a job; the answer goes to the waiters."""


class TicketsContent(msgspec.Struct):
    """The answer to `POST /v1/tickets`."""

    tickets: tuple[str, ...]
    retention_ms: int


class CallerBounds(msgspec.Struct, frozen=True):
    """The maximums for one call."""

    tasks_per_job: int
    tickets_per_call: int
    wait_ms: int


class CallerApi:
    """Handlers of the callers' routes."""

    def __init__(self, service: CallerService, bounds: CallerBounds) -> None:
        self.service = service
        self.bounds = bounds

    def get_routes(self) -> tuple[router.Route, ...]:
        """Return the callers' routes."""
        access = auth.Access.CALLER
        return (
            router.Route("POST", "/v1/tickets", self.mint, access),
            router.Route("PUT", "/v1/jobs/*", self.submit, access),
            router.Route("POST", "/v1/jobs", self.submit_new, access),
            router.Route("GET", "/v1/jobs/*", self.look_up, access),
            router.Route("DELETE", "/v1/jobs/*", self.cancel, access),
        )

    def mint(self, request: router.Request) -> replies.Reply:
        """Mint a block of tickets."""
        body = bodies.decode(request.body or b"{}", bodies.TicketsBody)
        if isinstance(body, outcomes.Refusal):
            return replies.build_refusal(body)
        if body.count > self.bounds.tickets_per_call:
            detail = f"count is {body.count}, at most {self.bounds.tickets_per_call}"
            return replies.build_refusal(outcomes.Refusal(Reason.INVALID, detail))
        tickets = self.service.mint(request.caller.member, body.count)
        if isinstance(tickets, outcomes.Refusal):
            return replies.build_refusal(tickets)
        services = self.service.get_rules().services.values()
        retention_ms = min((service.retention_ms for service in services), default=0)
        return replies.build_reply(
            replies.CREATED, TicketsContent(tickets, retention_ms)
        )

    def submit(self, request: router.Request) -> replies.Reply:
        """Submit a job under a ticket and wait for its outcome."""
        (ticket,) = request.path_params
        job = self.build_job(request, ticket)
        if isinstance(job, outcomes.Refusal):
            return replies.build_refusal(job)
        wait_ms = self.get_wait_ms(request, job)
        if isinstance(wait_ms, outcomes.Refusal):
            return replies.build_refusal(wait_ms)
        with self.join_waiters(ticket, job_data.get_submission_digest(job)) as group:
            refusal = self.service.submit(job)
            return self.wait_for_reply(ticket, group, refusal, wait_ms)

    def submit_new(self, request: router.Request) -> replies.Reply:
        """Submit a job without a ticket, with or without the caller's own key."""
        if len(request.key) > MAX_KEY_BYTES:
            detail = f"Idempotency-Key holds at most {MAX_KEY_BYTES} bytes"
            return replies.build_refusal(outcomes.Refusal(Reason.INVALID, detail))
        job = self.build_job(request, "")
        if isinstance(job, outcomes.Refusal):
            return replies.build_refusal(job)
        wait_ms = self.get_wait_ms(request, job)
        if isinstance(wait_ms, outcomes.Refusal):
            return replies.build_refusal(wait_ms)
        handle = self.service.submit_new(job, request.key)
        if isinstance(handle, outcomes.Refusal):
            return replies.build_refusal(handle)
        with self.join_waiters(handle, job_data.get_submission_digest(job)) as group:
            return self.wait_for_reply(handle, group, None, wait_ms)

    def look_up(self, request: router.Request) -> replies.Reply:
        """Return the outcome of a job; by default without waiting for it."""
        return self.call_and_wait(request, self.service.look_up, 0)

    def cancel(self, request: router.Request) -> replies.Reply:
        """Cancel a job and return its outcome."""
        return self.call_and_wait(request, self.service.cancel, ANSWER_MARGIN_MS)

    def call_and_wait(
        self, request: router.Request, call: typing.Any, default_wait_ms: int
    ) -> replies.Reply:
        """Make a call that has no body, and wait for the answer."""
        (ticket,) = request.path_params
        wait_ms = request.get_int("wait_ms", default_wait_ms)
        if isinstance(wait_ms, outcomes.Refusal):
            return replies.build_refusal(wait_ms)
        with self.join_waiters(ticket, b"") as group:
            refusal = call(ticket, request.caller.member)
            bounded_ms = min(wait_ms, self.bounds.wait_ms)
            return self.wait_for_reply(ticket, group, refusal, bounded_ms)

    @contextlib.contextmanager
    def join_waiters(
        self, ticket: str, digest: bytes
    ) -> collections.abc.Iterator[waiters.WaiterGroup]:
        """Join the waiters of a ticket within a `with` block."""
        group = self.service.job_waiters.join(ticket, digest)
        try:
            yield group
        finally:
            self.service.job_waiters.leave(ticket, digest, group)

    def wait_for_reply(
        self,
        ticket: str,
        group: waiters.WaiterGroup,
        refusal: outcomes.Refusal | None,
        wait_ms: int,
    ) -> replies.Reply:
        """Return the answer, or a reply that the job is pending."""
        if refusal is not None:
            return replies.build_refusal(refusal)
        try:
            resolved = group.result.get(timeout=wait_ms / MS_PER_S)
        except gevent.Timeout:
            return replies.build_pending(ticket)
        if isinstance(resolved.answer, outcomes.Refusal):
            return replies.build_refusal(resolved.answer)
        return replies.build_outcome(resolved.ticket, resolved.answer)

    def get_wait_ms(
        self, request: router.Request, job: jobs.Job
    ) -> int | outcomes.Refusal:
        """Return how long the call waits for an answer.

        Without `wait_ms` this is until `ANSWER_MARGIN_MS` after the job's deadline.
        """
        remaining_ms = job.due_ms - self.service.now_ms()
        wait_ms = request.get_int("wait_ms", remaining_ms + ANSWER_MARGIN_MS)
        if isinstance(wait_ms, outcomes.Refusal):
            return wait_ms
        return min(wait_ms, self.bounds.wait_ms)

    def build_job(
        self, request: router.Request, ticket: str
    ) -> jobs.Job | outcomes.Refusal:
        """Return the job of a request, or a refusal if it is not valid."""
        body = bodies.decode(request.body, bodies.JobBody)
        if isinstance(body, outcomes.Refusal):
            return body
        if len(body.tasks) > self.bounds.tasks_per_job:
            detail = f"{len(body.tasks)} tasks, at most {self.bounds.tasks_per_job}"
            return outcomes.Refusal(Reason.INVALID, detail)
        service = self.service.get_rules().services.get(body.service)
        if service is None:
            return outcomes.Refusal(Reason.UNKNOWN_SERVICE, body.service)
        deadline_ms = body.deadline_ms or service.deadline_ms
        return jobs.Job(
            ticket=ticket,
            member=request.caller.member,
            service=service.name,
            job_class=body.job_class,
            due_ms=self.service.now_ms() + deadline_ms,
            tasks=tuple(build_task(task, service) for task in body.tasks),
            repeatable=service.repeatable,
        )


def build_task(task: bodies.TaskBody, service: rules.ServiceRules) -> jobs.TaskSpec:
    """Return a task; sizes that it does not state are the service's."""
    return jobs.TaskSpec(
        bytes(task.payload),
        task.cpu_millis or service.cpu_millis,
        task.memory_mib or service.memory_mib,
        task.run_ms or service.run_ms,
    )
