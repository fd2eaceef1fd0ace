"""Passes jobs on for entry VMs that are cut off from every core VM.

Load: single entry VMs lose their paths to the core for some seconds while other entry
VMs still reach it. Their callers' connections stay open, so their jobs go round.
"""

from __future__ import annotations

import collections
import dataclasses

from knapweedbeam_core import clock, effects
from knapweedbeam_core.pool import messages

# Longer than callers wait.
RETENTION_MS = 10_000
MAX_JOBS = 10_000

Outcome = messages.JobComplete | messages.JobFailed | messages.JobRefused


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedJob:
    """Who holds a job open that went through here, and since when it is noted."""

    origin: str
    forwarded_ms: int


class Relay:
    """The jobs that this process passed on for others."""

    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.jobs: collections.OrderedDict[str, RelayedJob] = collections.OrderedDict()

    def forward(
        self, origin: str, dispatcher: str, submit: messages.Submit
    ) -> list[effects.Send]:
        """Pass a job on to a dispatcher.

        Its origin cannot tell which dispatcher had it before, so it counts as one
        that another may still run.
        """
        self.jobs.pop(submit.job_id, None)
        self.jobs[submit.job_id] = RelayedJob(origin, self.clock.now_ms())
        if len(self.jobs) > MAX_JOBS:
            self.jobs.popitem(last=False)
        base = max(1, submit.attempt_base)
        passed = dataclasses.replace(submit, attempt_base=base)
        return [effects.Send(dispatcher, passed)]

    def withdraw(
        self, dispatcher: str, withdraw: messages.Withdraw
    ) -> list[effects.Send]:
        """Pass on that a caller left."""
        if self.jobs.pop(withdraw.job_id, None) is None:
            return []
        return [effects.Send(dispatcher, withdraw)]

    def return_outcome(self, end: Outcome) -> list[effects.Send]:
        """Bring a job's end to where it came from."""
        passed = self.jobs.pop(end.job_id, None)
        return [effects.Send(passed.origin, end)] if passed is not None else []

    def forget_old(self) -> None:
        """Forget jobs whose callers have long left."""
        oldest_ms = self.clock.now_ms() - RETENTION_MS
        while self.jobs and next(iter(self.jobs.values())).forwarded_ms < oldest_ms:
            self.jobs.popitem(last=False)
