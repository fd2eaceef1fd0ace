"""How long an answer may take, without the time in which this process was late itself.

Load: more work than the processor can do. Answers then lie in their sockets unread, and
a time-out by plain time takes them for lost: their calls count as uncertain, and
finding out keeps the process busy.
"""

from __future__ import annotations

from knapweedbeam_core import clock, waiting_clock

# A call that has taken this much longer than its time-out says nothing that newer lists
# of its endpoint would not say better.
MAX_EXTENSION_MS = 1_000


class Patience:
    """The time-out of one answer; `waiting` tells when this process was late."""

    def __init__(
        self,
        timer: clock.Clock,
        waiting: waiting_clock.WaitingClock,
        timeout_ms: int,
    ) -> None:
        self.clock = timer
        self.waiting = waiting
        self.timeout_ms = timeout_ms
        self.since_ms = timer.now_ms()
        self.waiting_since_ms = waiting.now_ms()

    def get_extension_ms(self) -> int:
        """Return how much longer the answer may take when its time is over.

        That is the time in which the process was late, up to `MAX_EXTENSION_MS` in all;
        0 means that the answer is overdue.
        """
        passed_ms = self.clock.now_ms() - self.since_ms
        waited_ms = self.waiting.now_ms() - self.waiting_since_ms
        late_ms = passed_ms - waited_ms
        left_ms = self.timeout_ms + MAX_EXTENSION_MS - passed_ms
        return max(0, min(self.timeout_ms - waited_ms, late_ms, left_ms))
