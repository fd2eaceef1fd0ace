"""Measures the delays of the event loop and the CPU time that the process takes.

The loop runs greenlets whose timer or socket is ready before those that other greenlets
woke. Under load the second kind can wait long while the first kind is on time, so both
delays are measured.
"""

from __future__ import annotations

import dataclasses
import time

import gevent

from knapweedbeam_core import clock

WINDOW_MS = clock.SECOND_MS
NANOS_PER_MS = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class LoopLoad:
    """The longest delays in a window of `window_ms`, and the CPU time used in it.

    `timer_lag_ms` is the delay of a greenlet that sleeps, `wake_lag_ms` that of one
    which another greenlet woke.
    """

    timer_lag_ms: int
    wake_lag_ms: int
    window_ms: int
    cpu_ms: int


class LoopMonitor:
    """Measures the delays of one loop; reports once per window."""

    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.paused_ms = timer.now_ms()
        self.window_start_ms = timer.now_ms()
        self.window_start_cpu_ms = self.get_cpu_ms()
        self.timer_lag_ms = 0
        self.wake_lag_ms = 0
        self.woken_ms: int | None = None

    def get_cpu_ms(self) -> int:
        """Return the CPU time of this process."""
        return time.process_time_ns() // NANOS_PER_MS

    def start_pause(self) -> None:
        """Record that the loop starts a pause, and measure the delay of a wake-up."""
        self.paused_ms = self.clock.now_ms()
        if self.woken_ms is None:
            self.woken_ms = self.paused_ms
            gevent.get_hub().loop.run_callback(self.end_wake)

    def end_wake(self) -> None:
        """Record the delay of the pending wake-up."""
        if self.woken_ms is not None:
            self.wake_lag_ms = max(self.wake_lag_ms, self.get_wake_lag_ms())
            self.woken_ms = None

    def get_wake_lag_ms(self) -> int:
        """Return how long the pending wake-up has been delayed, 0 if none is."""
        return 0 if self.woken_ms is None else self.clock.now_ms() - self.woken_ms

    def end_pause(self, planned_s: float) -> LoopLoad | None:
        """Record the end of a pause; return the load of a window that is over."""
        now_ms = self.clock.now_ms()
        lag_ms = now_ms - self.paused_ms - int(planned_s * clock.SECOND_MS)
        self.timer_lag_ms = max(self.timer_lag_ms, lag_ms)
        self.wake_lag_ms = max(self.wake_lag_ms, self.get_wake_lag_ms())
        window_ms = now_ms - self.window_start_ms
        if window_ms < WINDOW_MS:
            return None
        cpu_ms = self.get_cpu_ms()
        load = LoopLoad(
            self.timer_lag_ms,
            self.wake_lag_ms,
            window_ms,
            cpu_ms - self.window_start_cpu_ms,
        )
        self.window_start_ms = now_ms
        self.window_start_cpu_ms = cpu_ms
        self.timer_lag_ms = 0
        self.wake_lag_ms = 0
        return load
