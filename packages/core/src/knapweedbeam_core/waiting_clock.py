"""A clock for waiting on others that slows down while this process is late.

What others sent waits unread while the process is busy or stands still. Measured in
plain time they would count as lost, and finding out would keep the process busy.
"""

from __future__ import annotations

from knapweedbeam_core import clock

# Time between two ticks of a process that is on time, with some margin.
MAX_TICK_MS = 30


class WaitingClock:
    """Time that advances by at most `MAX_TICK_MS` from one tick to the next.

    It must not be used for leases and other promises that others measure. `late_ms` is
    how late the last tick was.
    """

    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.ticked_ms = timer.now_ms()
        self.base_ms = self.ticked_ms
        self.late_ms = 0

    def now_ms(self) -> int:
        """Return the time in milliseconds."""
        passed_ms = self.clock.now_ms() - self.ticked_ms
        return self.base_ms + min(passed_ms, MAX_TICK_MS)

    def tick(self) -> None:
        """Record that the process has come to its periodic work."""
        now_ms = self.clock.now_ms()
        self.late_ms = max(0, now_ms - self.ticked_ms - MAX_TICK_MS)
        self.base_ms = self.now_ms()
        self.ticked_ms = now_ms
