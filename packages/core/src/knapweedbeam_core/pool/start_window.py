"""Decides how many starts a dispatcher may have sent without an answer.

Load: more work arrives than the dispatcher's processor can start, as with hundreds of
endpoints in a burst. Starts that are sent faster than answers are read look lost; the
polls, probes and stops that find out take the processor that the work needs, and the
backlog never ends. Tasks that wait here cost nothing, and their jobs can be refused as
not run.

A start counts until it is answered, or until its answer is overdue: an endpoint that
does not answer must not block the others.
"""

from __future__ import annotations

import collections

MAX_OPEN_STARTS = 48
# An answer takes a few milliseconds while both sides are on time.
OVERDUE_MS = 60

Key = tuple[str, int]


class StartWindow:
    """The starts that wait for an answer, the oldest one first.

    `jobs_held_back` counts the jobs that were passed over while the window was full.
    """

    def __init__(self) -> None:
        self.open: collections.OrderedDict[Key, int] = collections.OrderedDict()
        self.jobs_held_back = 0

    def take_held_back(self) -> int:
        """Return the count of jobs that were held back since the last call."""
        count, self.jobs_held_back = self.jobs_held_back, 0
        return count

    def add(self, task: str, number: int, now_ms: int) -> None:
        """Record a start."""
        self.open[(task, number)] = now_ms

    def remove(self, task: str, number: int) -> None:
        """Record that a start was answered, or not sent after all."""
        self.open.pop((task, number), None)

    def clear(self) -> None:
        """Forget all starts."""
        self.open.clear()

    def count_free(self, now_ms: int) -> int:
        """Return how many more starts may be sent now."""
        while self.open:
            key, started_ms = next(iter(self.open.items()))
            if now_ms - started_ms <= OVERDUE_MS:
                break
            del self.open[key]
        return max(0, MAX_OPEN_STARTS - len(self.open))
