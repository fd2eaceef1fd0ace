"""Submissions under callers' own keys, at the entry VM that receives them.

Each submission claims its key with a new ticket. The text of that ticket is the
handle of the submission: if another ticket already holds the key, the job is submitted
under that ticket, and its answer is delivered for the handle as well.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core import clock, effects, ids, jobs, outcomes, reasons
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import job_data, key_messages, range_assignment, timers

RETRY_MS = 250
CLAIM_TIMEOUT_MS = 5 * clock.SECOND_MS

SubmitFunction = collections.abc.Callable[[jobs.Job], parts.Effects]


@dataclasses.dataclass(slots=True)
class PendingClaim:
    """A submission whose key is not claimed yet; `job.ticket` is the handle."""

    job: jobs.Job
    digest: bytes
    registrar: str
    give_up_ms: int
    held_bytes: int


class KeyClaimer:
    """Claims keys and maps answers to the handles that wait for them."""

    def __init__(
        self,
        assignment: range_assignment.RangeAssignment,
        time: clock.Clock,
        memory_budget: job_data.MemoryBudget,
        submit: SubmitFunction,
    ) -> None:
        self.assignment = assignment
        self.clock = time
        self.memory_budget = memory_budget
        self.submit = submit
        self.pending: dict[str, PendingClaim] = {}
        self.timers: timers.Timers[str] = timers.Timers()
        self.handles: dict[str, dict[str, bytes]] = {}

    def claim(self, job: jobs.Job, digest: bytes) -> parts.Effects | outcomes.Refusal:
        """Claim a key for a job that has a newly minted ticket."""
        size = job_data.get_job_bytes(job)
        if not self.memory_budget.has_space(job.member, size):
            return outcomes.Refusal(reasons.Reason.MEMORY, "own keys")
        give_up_ms = self.clock.now_ms() + CLAIM_TIMEOUT_MS
        home_domain = self.assignment.get_home_domain(digest)
        registrars = self.assignment.get_registrars(
            home_domain, range_assignment.get_range(digest)
        )
        pending = PendingClaim(job, digest, registrars[0], give_up_ms, size)
        self.memory_budget.add(job.member, size)
        self.pending[job.ticket] = pending
        return self.send(pending)

    def send(self, pending: PendingClaim) -> parts.Effects:
        """Send the claim to the registrar and schedule a retry."""
        handle = pending.job.ticket
        self.timers.set(handle, self.clock.now_ms() + RETRY_MS)
        claim = key_messages.ClaimKey(self.assignment.epoch, pending.digest, handle)
        return [effects.Send(pending.registrar, claim)]

    def on_key_claimed(
        self, sender: ids.ProcessId, message: key_messages.KeyClaimed
    ) -> parts.Effects:
        """Submit the job under the ticket that holds the key."""
        pending = self.pending.get(message.wanted)
        if pending is None or sender.name != pending.registrar:
            return []
        self.drop(pending)
        if message.ticket != message.wanted:
            handles = self.handles.setdefault(message.ticket, {})
            handles[message.wanted] = job_data.get_submission_digest(pending.job)
        return self.submit(dataclasses.replace(pending.job, ticket=message.ticket))

    def on_claim_refused(
        self, sender: ids.ProcessId, message: key_messages.ClaimRefused
    ) -> parts.Effects:
        """Refuse a submission whose key the registrar cannot hold."""
        pending = self.pending.get(message.wanted)
        if pending is None or sender.name != pending.registrar:
            return []
        self.drop(pending)
        refusal = outcomes.Refusal(reasons.Reason.OVERLOADED, "own keys")
        return [effects.Answer(message.wanted, refusal)]

    def drop(self, pending: PendingClaim) -> None:
        """Remove a pending claim and release its memory."""
        handle = pending.job.ticket
        del self.pending[handle]
        self.timers.drop(handle)
        self.memory_budget.add(pending.job.member, -pending.held_bytes)

    def tick(self) -> parts.Effects:
        """Retry due claims, or give up if the registrar does not answer in time."""
        now_ms = self.clock.now_ms()
        produced: parts.Effects = []
        for handle in self.timers.pop_due(now_ms):
            pending = self.pending[handle]
            if now_ms < min(pending.give_up_ms, pending.job.due_ms):
                produced += self.send(pending)
                continue
            # An earlier submission under this key may have run.
            self.drop(pending)
            unknown = outcomes.Failed(reasons.Reason.OUTCOME_UNKNOWN)
            produced.append(effects.Answer(handle, unknown))
        return produced

    def add_handles(self, answer: effects.Answer) -> list[effects.Answer]:
        """Return an answer and a copy for each handle that waits for it."""
        handles = self.handles.get(answer.ticket)
        if handles is None:
            return [answer]
        digest = answer.body_digest
        matching = [h for h, body in handles.items() if digest in (b"", body)]
        for handle in matching:
            del handles[handle]
        if not handles:
            del self.handles[answer.ticket]
        return [
            answer,
            *(
                dataclasses.replace(answer, ticket=handle, key_ticket=answer.ticket)
                for handle in matching
            ),
        ]
