"""Caches which endpoints may run a step, as advised by an external service.

Expected load: queues whose policy allows a step on some endpoints only. The service
takes some milliseconds for each endpoint in a request and serves one call per machine
at a time. So a step asks about a few endpoints, those that suit it best now, and about
others only when none of the allowed ones is available.
"""

from __future__ import annotations

import dataclasses
import typing

from knapweedbeam_core.pool import calls, endpoints, jobs, placing

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher

# A job's objective allows one call about this many endpoints for each step.
MAX_ENDPOINTS_PER_CALL = 30
# A ticket with less validity left than this is not used: the call has to arrive first.
TICKET_MARGIN_MS = 100
# Pause after a request without an answer.
RETRY_PAUSE_MS = 100


@dataclasses.dataclass(slots=True)
class StepAdvice:
    """The tickets for one step by endpoint, None for endpoints not allowed."""

    tickets: dict[str, Ticket | None] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to start a step's tasks on one incarnation of an endpoint.

    Valid until `until_ms` on the dispatcher's clock.
    """

    text: str
    born_ms: int
    until_ms: int


class AdviceCache:
    """Requests advice, one call at a time, and keeps the answers."""

    def __init__(self, owner: dispatcher.Dispatcher) -> None:
        self.owner = owner
        self.steps: dict[str, StepAdvice] = {}
        self.pending_step = ""
        self.pause_until_ms = 0

    def reset(self) -> None:
        """Drop all answers, and ignore the answer to a pending request."""
        self.steps.clear()
        self.pending_step = ""

    def forget(self, job: jobs.Job) -> None:
        """Drop the answers for an ended job."""
        for number in range(len(job.steps)):
            self.steps.pop(get_step_name(job, number), None)

    def restrict(
        self, task: jobs.Task, available: placing.AvailableEndpoints, now_ms: int
    ) -> placing.AvailableEndpoints:
        """Return the endpoints with a valid ticket for a task's step.

        All endpoints, if the job's queue needs no advice.
        """
        if not task.job.terms.advice_valid_ms:
            return available
        return available.filter_endpoints(
            lambda endpoint: bool(self.find_ticket(task, endpoint, now_ms))
        )

    def find_ticket(
        self, task: jobs.Task, endpoint: endpoints.Endpoint, now_ms: int
    ) -> str:
        """Return the ticket for starting a task, or an empty string for none."""
        step_advice = self.steps.get(get_step_name(task.job, task.step))
        ticket = (
            step_advice.tickets.get(endpoint.announcement.endpoint)
            if step_advice
            else None
        )
        if ticket is None or ticket.born_ms != endpoint.announcement.born_ms:
            return ""
        return ticket.text if now_ms + TICKET_MARGIN_MS < ticket.until_ms else ""

    def request(
        self, task: jobs.Task, available: placing.AvailableEndpoints, now_ms: int
    ) -> list[calls.RequestAdvice]:
        """Return a request about endpoints that a waiting task fits on.

        The list is empty if no request is needed or one is pending.
        """
        is_needed = task.job.terms.advice_valid_ms
        if not is_needed or self.pending_step or now_ms < self.pause_until_ms:
            return []
        name = get_step_name(task.job, task.step)
        step_advice = self.steps.setdefault(name, StepAdvice())
        candidates = [
            endpoint
            for endpoint in available.list_endpoints()
            if placing.fits(task, endpoint, now_ms)
            and self.needs_advice(step_advice, endpoint, now_ms)
        ]
        if not candidates:
            return []
        candidates.sort(
            key=lambda endpoint: (-endpoint.speed.value, endpoint.announcement.endpoint)
        )
        batch = candidates[:MAX_ENDPOINTS_PER_CALL]
        self.pending_step = name
        return [
            calls.RequestAdvice(
                name,
                tuple(
                    (endpoint.announcement.endpoint, endpoint.announcement.born_ms)
                    for endpoint in batch
                ),
                task.job.terms.advice_valid_ms,
                now_ms,
            )
        ]

    def needs_advice(
        self, step_advice: StepAdvice, endpoint: endpoints.Endpoint, now_ms: int
    ) -> bool:
        """Return whether the answer for an endpoint is missing or no longer valid."""
        name = endpoint.announcement.endpoint
        if name not in step_advice.tickets:
            return True
        ticket = step_advice.tickets[name]
        if ticket is None:
            return False
        is_expired = now_ms + TICKET_MARGIN_MS >= ticket.until_ms
        return is_expired or ticket.born_ms != endpoint.announcement.born_ms

    def on_advice(
        self, request: calls.RequestAdvice, advice: calls.Advice | None
    ) -> None:
        """Store the answer to a request; `advice` is None if there was no answer."""
        if self.pending_step != request.step:
            return
        self.pending_step = ""
        step_advice = self.steps.get(request.step)
        if advice is None:
            self.pause_until_ms = self.owner.clock.now_ms() + RETRY_PAUSE_MS
        if advice is None or step_advice is None:
            return
        allowed = dict(advice.allowed)
        until_ms = request.asked_ms + request.valid_ms
        for endpoint, born_ms in request.endpoints:
            text = allowed.get(endpoint, "")
            step_advice.tickets[endpoint] = (
                Ticket(text, born_ms, until_ms) if text else None
            )

    def discard_ticket(self, task: jobs.Task, endpoint: endpoints.Endpoint) -> None:
        """Drop a ticket that an endpoint refused."""
        step_advice = self.steps.get(get_step_name(task.job, task.step))
        if step_advice is not None:
            step_advice.tickets.pop(endpoint.announcement.endpoint, None)


def get_step_name(job: jobs.Job, number: int) -> str:
    """Return the name of a step as endpoints know it."""
    return f"{job.job_id}.{job.occurrence}.{number}"
