"""Decides how many starts a dispatcher may have sent without an answer.

Load: more work arrives than the dispatcher's processor can start, as with hundreds of
endpoints in a burst. Starts that are sent faster than answers are read look lost; the
polls, probes and stops that find out take the processor that the work needs, and the
backlog never ends. Tasks that wait here cost nothing, and their jobs can be refused as
not run.

A start counts until it is answered, or until its answer is overdue: an endpoint that
does not answer must not block the others. Times are those of the dispatcher's
`waiting_clock`, so that answers which the dispatcher has not read yet are not overdue.

A dispatcher that is late reads the answers to all open starts in one turn of its loop,
so the number of open starts bounds how late it is. While it is late the window shrinks,
and once it is on time the window grows again.
"""

from __future__ import annotations

import collections

MAX_OPEN_STARTS = 48
# With fewer, a process that handles other events could start almost nothing.
MIN_OPEN_STARTS = 16
# An answer takes a few milliseconds while both sides are on time.
OVERDUE_MS = 60
# A late process needs several turns of its loop to connect, send and read, and its
# `waiting_clock` advances in each of them.
LATE_OVERDUE_MS = 150
# Objectives allow some 100 ms in addition to the work, and each of the events between a
# start and the answer to its caller waits for one turn.
MAX_LATE_MS = 20
SHRINK_FACTOR = 0.75
GROWTH_A_TICK = 1

Key = tuple[str, int]


class StartWindow:
    """The starts that wait for an answer, the oldest one first.

    `size` is how many there may be, `jobs_held_back` counts the jobs that were
    passed over while the window was full.
    """

    def __init__(self) -> None:
        self.open: collections.OrderedDict[Key, int] = collections.OrderedDict()
        self.size = MAX_OPEN_STARTS
        self.overdue_ms = OVERDUE_MS
        self.jobs_held_back = 0
        self.tick_held_back = 0

    def hold_back(self) -> None:
        """Count a job that is passed over."""
        self.jobs_held_back += 1
        self.tick_held_back += 1

    def take_tick_held_back(self) -> int:
        """Return the count of jobs that were held back since the last tick."""
        count, self.tick_held_back = self.tick_held_back, 0
        return count

    def record_tick(self, late_ms: int) -> None:
        """Adapt the size to how late the last tick was."""
        self.overdue_ms = LATE_OVERDUE_MS if late_ms else OVERDUE_MS
        if late_ms > MAX_LATE_MS:
            self.size = max(MIN_OPEN_STARTS, int(SHRINK_FACTOR * self.size))
        elif not late_ms:
            self.size = min(MAX_OPEN_STARTS, self.size + GROWTH_A_TICK)

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
            if now_ms - started_ms <= self.overdue_ms:
                break
            del self.open[key]
        return max(0, self.size - len(self.open))
