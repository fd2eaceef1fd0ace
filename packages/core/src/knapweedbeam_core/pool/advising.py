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
ASKED_AT_ONCE = 30
# A ticket is used no more when it is valid for less than an order takes to arrive.
MARGIN_MS = 100
# After a call without an answer the service is left alone for a moment.
PAUSE_MS = 100


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


class Advisor:
    """Asks for advice, one call at a time, and keeps the answers."""

    def __init__(self, owner: dispatcher.Dispatcher) -> None:
        self.owner = owner
        self.steps: dict[str, StepAdvice] = {}
        self.under_way = ""
        self.pause_until_ms = 0

    def reset(self) -> None:
        """Forget all answers; one that is under way comes to nothing."""
        self.steps.clear()
        self.under_way = ""

    def forget(self, job: jobs.Job) -> None:
        """Forget what was said of an ended job."""
        for number in range(len(job.steps)):
            self.steps.pop(get_step_name(job, number), None)

    def limit(
        self, task: jobs.Task, openings: placing.Openings, now_ms: int
    ) -> placing.Openings:
        """Return the endpoints that are known to be allowed for a task's step."""
        if not task.job.terms.advice_valid_ms:
            return openings
        return openings.select(
            lambda endpoint: bool(self.find_ticket(task, endpoint, now_ms))
        )

    def find_ticket(
        self, task: jobs.Task, endpoint: endpoints.Endpoint, now_ms: int
    ) -> str:
        """Return the ticket to start a task with, empty when there is none."""
        known = self.steps.get(get_step_name(task.job, task.step))
        ticket = known.tickets.get(endpoint.said.endpoint) if known else None
        if ticket is None or ticket.born_ms != endpoint.said.born_ms:
            return ""
        return ticket.text if now_ms + MARGIN_MS < ticket.until_ms else ""

    def ask(
        self, task: jobs.Task, openings: placing.Openings, now_ms: int
    ) -> list[calls.AskAdvice]:
        """Ask about endpoints that have room for a waiting task."""
        is_needed = task.job.terms.advice_valid_ms
        if not is_needed or self.under_way or now_ms < self.pause_until_ms:
            return []
        name = get_step_name(task.job, task.step)
        known = self.steps.setdefault(name, StepAdvice())
        wanted = [
            endpoint
            for endpoint in openings.endpoints
            if placing.fits(task, endpoint) and self.is_unknown(known, endpoint, now_ms)
        ]
        if not wanted:
            return []
        wanted.sort(key=lambda each: (-each.speed.value, each.said.endpoint))
        chosen = wanted[:ASKED_AT_ONCE]
        self.under_way = name
        return [
            calls.AskAdvice(
                name,
                tuple((each.said.endpoint, each.said.born_ms) for each in chosen),
                task.job.terms.advice_valid_ms,
                now_ms,
            )
        ]

    def is_unknown(
        self, known: StepAdvice, endpoint: endpoints.Endpoint, now_ms: int
    ) -> bool:
        """Say whether an endpoint's answer is missing or no longer valid."""
        name = endpoint.said.endpoint
        if name not in known.tickets:
            return True
        ticket = known.tickets[name]
        if ticket is None:
            return False
        is_old = now_ms + MARGIN_MS >= ticket.until_ms
        return is_old or ticket.born_ms != endpoint.said.born_ms

    def on_advice(self, asked: calls.AskAdvice, advice: calls.Advice | None) -> None:
        """Take the answer to a call, or that none came."""
        if self.under_way != asked.step:
            return
        self.under_way = ""
        known = self.steps.get(asked.step)
        if advice is None:
            self.pause_until_ms = self.owner.clock.now_ms() + PAUSE_MS
        if advice is None or known is None:
            return
        allowed = dict(advice.allowed)
        until_ms = asked.asked_ms + asked.valid_ms
        for endpoint, born_ms in asked.endpoints:
            text = allowed.get(endpoint, "")
            known.tickets[endpoint] = Ticket(text, born_ms, until_ms) if text else None

    def refuse(self, task: jobs.Task, endpoint: endpoints.Endpoint) -> None:
        """Drop a ticket that an endpoint did not take."""
        known = self.steps.get(get_step_name(task.job, task.step))
        if known is not None:
            known.tickets.pop(endpoint.said.endpoint, None)


def get_step_name(job: jobs.Job, number: int) -> str:
    """Return the name of a step as endpoints know it."""
    return f"{job.job_id}.{job.occurrence}.{number}"
