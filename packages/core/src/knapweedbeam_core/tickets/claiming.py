"""Submissions under callers' own keys, at the entry VM that takes them.

Each gets a ticket of its own to claim the key with. That ticket's text is the
handle of the submission: where another ticket holds the key, the submission is
made under that one, and its answer is given for the handle too.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core import clock, effects, ids, jobs, outcomes, reasons
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import job_data, key_messages, roster, timers

RETRY_MS = 250
PATIENCE_MS = 5 * clock.SECOND_MS

Submit = collections.abc.Callable[[jobs.Job], parts.Effects]


@dataclasses.dataclass(slots=True)
class Pending:
    """A submission whose key is not claimed yet; its job names the handle."""

    job: jobs.Job
    digest: bytes
    registrar: str
    give_up_ms: int
    held_bytes: int


class Claiming:
    """Claims keys, and maps answers back to the handles that wait for them."""

    def __init__(
        self,
        first: roster.Roster,
        time: clock.Clock,
        memory_budget: job_data.MemoryBudget,
        submit: Submit,
    ) -> None:
        self.roster = first
        self.clock = time
        self.memory_budget = memory_budget
        self.submit = submit
        self.pending: dict[str, Pending] = {}
        self.timers: timers.Timers[str] = timers.Timers()
        self.handles: dict[str, dict[str, bytes]] = {}

    def claim(self, job: jobs.Job, digest: bytes) -> parts.Effects | outcomes.Refusal:
        """Claim a key for a job under a ticket minted for it."""
        size = job_data.get_job_bytes(job)
        if not self.memory_budget.has_space(job.member, size):
            return outcomes.Refusal(reasons.Reason.MEMORY, "own keys")
        give_up_ms = self.clock.now_ms() + PATIENCE_MS
        home = self.roster.get_home(digest)
        pair = self.roster.get_pair(home, roster.get_range(digest))
        pending = Pending(job, digest, pair[0], give_up_ms, size)
        self.memory_budget.add(job.member, size)
        self.pending[job.ticket] = pending
        return self.send(pending)

    def send(self, pending: Pending) -> parts.Effects:
        """Ask the registrar for the key."""
        handle = pending.job.ticket
        self.timers.set(handle, self.clock.now_ms() + RETRY_MS)
        claim = key_messages.ClaimKey(self.roster.epoch, pending.digest, handle)
        return [effects.Send(pending.registrar, claim)]

    def on_claimed(
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

    def on_refused(
        self, sender: ids.ProcessId, message: key_messages.ClaimRefused
    ) -> parts.Effects:
        """Refuse a submission whose key the registrar has no room for."""
        pending = self.pending.get(message.wanted)
        if pending is None or sender.name != pending.registrar:
            return []
        self.drop(pending)
        refusal = outcomes.Refusal(reasons.Reason.OVERLOADED, "own keys")
        return [effects.Answer(message.wanted, refusal)]

    def drop(self, pending: Pending) -> None:
        """Wait no longer for a claim."""
        handle = pending.job.ticket
        del self.pending[handle]
        self.timers.drop(handle)
        self.memory_budget.add(pending.job.member, -pending.held_bytes)

    def tick(self) -> parts.Effects:
        """Ask again, or give up where the registrars are out of reach."""
        now_ms = self.clock.now_ms()
        done: parts.Effects = []
        for handle in self.timers.pop_due(now_ms):
            pending = self.pending[handle]
            if now_ms < min(pending.give_up_ms, pending.job.due_ms):
                done += self.send(pending)
                continue
            # An earlier submission under this key may have run.
            self.drop(pending)
            unknown = outcomes.Failed(reasons.Reason.OUTCOME_UNKNOWN)
            done.append(effects.Answer(handle, unknown))
        return done

    def add_handles(self, answer: effects.Answer) -> list[effects.Answer]:
        """Return an answer, and the same for each handle that waits for it."""
        handles = self.handles.get(answer.ticket)
        if handles is None:
            return [answer]
        digest = answer.body_digest
        named = [h for h, body in handles.items() if digest in (b"", body)]
        for handle in named:
            del handles[handle]
        if not handles:
            del self.handles[answer.ticket]
        return [
            answer,
            *(
                dataclasses.replace(answer, ticket=handle, key_ticket=answer.ticket)
                for handle in named
            ),
        ]
