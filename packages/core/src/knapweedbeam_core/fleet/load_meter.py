"""Decides whether the processor of a process is full.

Load: more work than one dispatcher's processor can do, for seconds. Its periodic work
then comes late nearly each time. A pause of any length, as when the VM is suspended,
makes one late turn and is no load.
"""

from __future__ import annotations

import collections

from knapweedbeam_core import clock

WINDOW_MS = 2 * clock.SECOND_MS
# A turn counts as late if it follows the one before after more than this time.
LATE_TURN_MS = 50
# With fewer turns in a window, the process was suspended for most of it.
MIN_TURNS = 5
# The process is overloaded from the first share of late turns on, until the second.
HIGH_SHARE = 0.6
LOW_SHARE = 0.2


class LoadMeter:
    """The turns of the periodic work of one process in the last window."""

    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.turned_ms = timer.now_ms()
        self.turns: collections.deque[tuple[int, bool]] = collections.deque()
        self.late_count = 0
        self.is_overloaded = False

    def record_turn(self) -> None:
        """Record that the process has come to its periodic work."""
        now_ms = self.clock.now_ms()
        is_late = now_ms - self.turned_ms > LATE_TURN_MS
        self.turned_ms = now_ms
        self.turns.append((now_ms, is_late))
        self.late_count += is_late
        while self.turns[0][0] <= now_ms - WINDOW_MS:
            self.late_count -= self.turns.popleft()[1]
        if len(self.turns) < MIN_TURNS:
            return
        limit = LOW_SHARE if self.is_overloaded else HIGH_SHARE
        self.is_overloaded = self.late_count >= limit * len(self.turns)
