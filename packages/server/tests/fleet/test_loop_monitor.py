from __future__ import annotations

import unittest

import gevent

from knapweedbeam_core import clock
from knapweedbeam_server.fleet import loop_monitor


class LoopMonitorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(1_000)
        self.monitor = loop_monitor.LoopMonitor(self.clock)

    def test_reports_once_per_window(self) -> None:
        loads = []
        for _ in range(150):
            self.monitor.start_pause()
            self.clock.advance(20)
            loads.append(self.monitor.end_pause(0.02))
        reported = [load for load in loads if load is not None]
        self.assertEqual([load.window_ms for load in reported], [1_000] * 3)
        self.assertEqual([load.timer_lag_ms for load in reported], [0] * 3)

    def test_reports_late_timer(self) -> None:
        self.monitor.start_pause()
        self.clock.advance(1_500)
        load = self.monitor.end_pause(0.02)
        assert load is not None
        self.assertEqual(load.timer_lag_ms, 1_480)

    def test_reports_wake_up_that_is_late_while_timers_are_on_time(self) -> None:
        load = None
        for _ in range(50):
            self.monitor.start_pause()
            self.clock.advance(20)
            load = self.monitor.end_pause(0.02) or load
        assert load is not None
        self.assertEqual(load.timer_lag_ms, 0)
        self.assertEqual(load.wake_lag_ms, 1_000)

    def test_wake_up_that_ran_counts_no_longer(self) -> None:
        self.monitor.start_pause()
        gevent.sleep(0)
        self.clock.advance(1_020)
        load = self.monitor.end_pause(0.02)
        assert load is not None
        self.assertEqual(load.wake_lag_ms, 0)


if __name__ == "__main__":
    unittest.main()
