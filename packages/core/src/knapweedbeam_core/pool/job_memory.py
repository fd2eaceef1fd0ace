"""The jobs that ended or were given up at one process, over all its terms and shards.

A caller may submit a job again at another entry VM, which knows of no earlier
dispatcher. A process that lost the role meanwhile still knows what it started.
"""

from __future__ import annotations

import collections
import dataclasses

from knapweedbeam_core import clock
from knapweedbeam_core.pool import messages

# Ended jobs are kept this long so that a late copy of the request starts nothing.
RETENTION_MS = 15_000
MAX_JOBS = 50_000

Outcome = messages.JobComplete | messages.JobFailed | messages.JobRefused


@dataclasses.dataclass(slots=True)
class EndedJob:
    """The result of a job, kept to answer late copies of its request.

    `outcome` is None for a job that was withdrawn, orphaned, refused or given up with
    the dispatcher role. Copies with the `hand_in` of a withdrawn or refused request
    start nothing (0 for none); the same job submitted again has another `hand_in` and
    may run. `crashes` are those under its tasks. It was placed in `shard` under the
    token `fence`; until `not_before_ms` it may run at the dispatchers `former`.
    """

    outcome: Outcome | None
    last_attempt: int
    ended_ms: int
    fence: int
    shard: int
    refusal: messages.JobRefused | messages.JobCancelled | None = None
    hand_in: int = 0
    crashes: tuple[messages.TaskCrash, ...] = ()
    not_before_ms: int = 0
    former: tuple[str, ...] = ()


class JobMemory:
    """The ended jobs of one process by key, for `RETENTION_MS`."""

    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.jobs: collections.OrderedDict[str, EndedJob] = collections.OrderedDict()

    def get(self, key: str) -> EndedJob | None:
        """Return an ended job, None if it is not known."""
        return self.jobs.get(key)

    def record(self, key: str, ended: EndedJob) -> None:
        """Keep an ended job in place of what was known of it."""
        self.jobs[key] = ended
        self.jobs.move_to_end(key)
        if len(self.jobs) > MAX_JOBS:
            self.jobs.popitem(last=False)

    def forget_old(self) -> None:
        """Remove the jobs whose retention time is over."""
        oldest_ms = self.clock.now_ms() - RETENTION_MS
        while self.jobs and next(iter(self.jobs.values())).ended_ms < oldest_ms:
            self.jobs.popitem(last=False)
