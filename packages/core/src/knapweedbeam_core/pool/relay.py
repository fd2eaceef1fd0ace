"""Relays jobs of entry VMs that cannot reach any core VM.

Fault scenario: single entry VMs lose their paths to the core for some seconds while
other entry VMs still reach it. Their callers' connections stay open, so their jobs are
sent by way of another entry VM.
"""

from __future__ import annotations

import collections
import dataclasses

from knapweedbeam_core import clock, effects
from knapweedbeam_core.pool import messages

# Relayed jobs are kept for longer than callers wait.
RETENTION_MS = 10_000
MAX_JOBS = 10_000

Outcome = (
    messages.JobComplete
    | messages.JobFailed
    | messages.JobRefused
    | messages.JobCancelled
)


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedJob:
    """The entry VM that holds a relayed job open, and where and when the job went."""

    origin: str
    dispatcher: str
    forwarded_ms: int


class Relay:
    """The jobs that this process relays for other entry VMs."""

    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.jobs: collections.OrderedDict[str, RelayedJob] = collections.OrderedDict()

    def forward(
        self, origin: str, dispatcher: str, submit: messages.Submit, token: int = 0
    ) -> list[effects.Send]:
        """Forward a job to a dispatcher that has a fencing token.

        Its origin cannot tell which dispatcher had it before, so `attempt_base` is at
        least 1: another dispatcher may still run it.
        """
        self.jobs.pop(submit.job_id, None)
        self.jobs[submit.job_id] = RelayedJob(origin, dispatcher, self.clock.now_ms())
        if len(self.jobs) > MAX_JOBS:
            self.jobs.popitem(last=False)
        base = max(1, submit.attempt_base)
        forwarded = dataclasses.replace(submit, attempt_base=base, token=token)
        return [effects.Send(dispatcher, forwarded)]

    def withdraw(self, withdraw: messages.Withdraw) -> list[effects.Send]:
        """Forward the withdrawal of a job that was relayed here."""
        relayed = self.jobs.pop(withdraw.job_id, None)
        return [effects.Send(relayed.dispatcher, withdraw)] if relayed else []

    def return_outcome(self, outcome: Outcome) -> list[effects.Send]:
        """Send a job's outcome back to the entry VM that it came from."""
        relayed = self.jobs.pop(outcome.job_id, None)
        return [effects.Send(relayed.origin, outcome)] if relayed is not None else []

    def forward_question(
        self, sender: str, question: messages.ConfirmJob
    ) -> list[effects.Send]:
        """Ask the entry VM that a job came from, for the dispatcher that it went to."""
        relayed = self.jobs.get(question.job_id)
        if relayed is None or relayed.dispatcher != sender:
            return []
        return [effects.Send(relayed.origin, question)]

    def return_confirmation(
        self, confirmed: messages.JobConfirmed
    ) -> list[effects.Send]:
        """Pass the confirmation of a relayed job on to its dispatcher."""
        relayed = self.jobs.get(confirmed.job_id)
        return [effects.Send(relayed.dispatcher, confirmed)] if relayed else []

    def return_crash(self, crashed: messages.TaskCrashed) -> list[effects.Send]:
        """Send a crash under a task back to the entry VM that its job came from."""
        relayed = self.jobs.get(crashed.job_id)
        return [effects.Send(relayed.origin, crashed)] if relayed is not None else []

    def forget_old(self) -> None:
        """Remove jobs whose callers no longer wait."""
        oldest_ms = self.clock.now_ms() - RETENTION_MS
        while self.jobs and next(iter(self.jobs.values())).forwarded_ms < oldest_ms:
            self.jobs.popitem(last=False)
