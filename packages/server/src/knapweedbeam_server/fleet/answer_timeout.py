"""A time-out of an answer that this process's own lateness does not trigger."""

from __future__ import annotations

import types

import gevent

from knapweedbeam_core import clock, patience

# As with `gevent.Timeout`, what has arrived is read first.
TIMER_PRIORITY = -1


class AnswerTimeout:
    """Raises `gevent.Timeout` in the greenlet that made it once an answer is overdue.

    A timer that fires while the process is late lets the loop read again before it
    decides.
    """

    def __init__(self, allowed: patience.Patience) -> None:
        self.patience = allowed
        self.greenlet = gevent.getcurrent()
        self.timer = self.build_timer(allowed.timeout_ms)

    def build_timer(self, wait_ms: int) -> gevent._types._TimerWatcher:
        """Return a timer that is not started yet."""
        loop = gevent.get_hub().loop
        return loop.timer(wait_ms / clock.SECOND_MS, priority=TIMER_PRIORITY)

    def __enter__(self) -> None:
        """Start the timer."""
        self.timer.start(self.expire)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Stop the timer."""
        self.timer.close()

    def expire(self) -> None:
        """Raise in the waiting greenlet, or wait on if the process was late itself."""
        extension_ms = self.patience.get_extension_ms()
        if not extension_ms:
            self.greenlet.throw(gevent.Timeout())
            return
        self.timer.close()
        self.timer = self.build_timer(extension_ms)
        self.timer.start(self.expire)
