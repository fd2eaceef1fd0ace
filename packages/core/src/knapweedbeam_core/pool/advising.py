"""Which endpoints may run a step, where only a service beside the product knows.

Load: queues whose policy allows a step on some endpoints only. The service takes some
milliseconds for each endpoint that it is asked about, and serves one call of a machine
at a time. So a step asks about few endpoints, those that would suit it best now, and
about others only once none of the allowed ones is left.
"""

from __future__ import annotations

import dataclasses
import typing

from knapweedbeam_core.pool import calls, endpoints, jobs, placing

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher

# What a job's objective grants: one call about thirty endpoints a step.
MAX_ENDPOINTS_PER_CALL = 30
# A ticket is used no more when it is valid for less than an order takes to arrive.
TICKET_MARGIN_MS = 100
# After a call without an answer the service is left alone for a moment.
RETRY_PAUSE_MS = 100


@dataclasses.dataclass(slots=True)
class StepAdvice:
    """What is known for one step: answers by endpoint, none for those not allowed."""

    tickets: dict[str, Ticket | None] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """The right to start a step's tasks in one life of an endpoint for a time."""

    text: str
    born_ms: int
    until_ms: int


class AdviceCache:
    """Asks for advice, one call at a time, and keeps the answers."""

    def __init__(self, owner: dispatcher.Dispatcher) -> None:
        self.owner = owner
        self.steps: dict[str, StepAdvice] = {}
        self.pending_step = ""
        self.pause_until_ms = 0

    def reset(self) -> None:
        """Forget all answers; one that is under way comes to nothing."""
        self.steps.clear()
        self.pending_step = ""

    def forget(self, job: jobs.Job) -> None:
        """Forget what was said of an ended job."""
        for number in range(len(job.steps)):
            self.steps.pop(get_step_name(job, number), None)

    def restrict(
        self, task: jobs.Task, available: placing.AvailableEndpoints, now_ms: int
    ) -> placing.AvailableEndpoints:
        """Return the endpoints that are known to be allowed for a task's step."""
        if not task.job.terms.advice_valid_ms:
            return available
        return available.filter_endpoints(
            lambda endpoint: bool(self.find_ticket(task, endpoint, now_ms))
        )

    def find_ticket(
        self, task: jobs.Task, endpoint: endpoints.Endpoint, now_ms: int
    ) -> str:
        """Return the ticket to start a task with, empty when there is none."""
        known = self.steps.get(get_step_name(task.job, task.step))
        ticket = known.tickets.get(endpoint.announcement.endpoint) if known else None
        if ticket is None or ticket.born_ms != endpoint.announcement.born_ms:
            return ""
        return ticket.text if now_ms + TICKET_MARGIN_MS < ticket.until_ms else ""

    def request(
        self, task: jobs.Task, available: placing.AvailableEndpoints, now_ms: int
    ) -> list[calls.RequestAdvice]:
        """Ask about endpoints that have room for a waiting task."""
        is_needed = task.job.terms.advice_valid_ms
        if not is_needed or self.pending_step or now_ms < self.pause_until_ms:
            return []
        name = get_step_name(task.job, task.step)
        known = self.steps.setdefault(name, StepAdvice())
        wanted = [
            endpoint
            for endpoint in available.endpoints
            if placing.fits(task, endpoint)
            and self.needs_advice(known, endpoint, now_ms)
        ]
        if not wanted:
            return []
        wanted.sort(key=lambda each: (-each.speed.value, each.announcement.endpoint))
        chosen = wanted[:MAX_ENDPOINTS_PER_CALL]
        self.pending_step = name
        return [
            calls.RequestAdvice(
                name,
                tuple(
                    (each.announcement.endpoint, each.announcement.born_ms)
                    for each in chosen
                ),
                task.job.terms.advice_valid_ms,
                now_ms,
            )
        ]

    def needs_advice(
        self, known: StepAdvice, endpoint: endpoints.Endpoint, now_ms: int
    ) -> bool:
        """Say whether an endpoint's answer is missing or no longer valid."""
        name = endpoint.announcement.endpoint
        if name not in known.tickets:
            return True
        ticket = known.tickets[name]
        if ticket is None:
            return False
        is_old = now_ms + TICKET_MARGIN_MS >= ticket.until_ms
        return is_old or ticket.born_ms != endpoint.announcement.born_ms

    def on_advice(
        self, asked: calls.RequestAdvice, advice: calls.Advice | None
    ) -> None:
        """Take the answer to a call, or that none came."""
        if self.pending_step != asked.step:
            return
        self.pending_step = ""
        known = self.steps.get(asked.step)
        if advice is None:
            self.pause_until_ms = self.owner.clock.now_ms() + RETRY_PAUSE_MS
        if advice is None or known is None:
            return
        allowed = dict(advice.allowed)
        until_ms = asked.asked_ms + asked.valid_ms
        for endpoint, born_ms in asked.endpoints:
            text = allowed.get(endpoint, "")
            known.tickets[endpoint] = Ticket(text, born_ms, until_ms) if text else None

    def discard_ticket(self, task: jobs.Task, endpoint: endpoints.Endpoint) -> None:
        """Drop a ticket that an endpoint did not take."""
        known = self.steps.get(get_step_name(task.job, task.step))
        if known is not None:
            known.tickets.pop(endpoint.announcement.endpoint, None)


def get_step_name(job: jobs.Job, number: int) -> str:
    """Return the name of a step as endpoints know it."""
    return f"{job.job_id}.{job.occurrence}.{number}"
