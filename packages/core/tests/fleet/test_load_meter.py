"""Tests when the processor of a process counts as full."""

from __future__ import annotations

import unittest

from knapweedbeam_core import clock
from knapweedbeam_core.fleet import load_meter


class LoadMeterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(0, 1_700_000_000_000)
        self.meter = load_meter.LoadMeter(self.clock)

    def turn(self, interval_ms: int, count: int) -> None:
        for _ in range(count):
            self.clock.advance(interval_ms)
            self.meter.record_turn()

    def test_process_whose_turns_come_late_is_overloaded(self) -> None:
        self.turn(90, 12)
        self.assertTrue(self.meter.is_overloaded)
        self.turn(21, 60)
        self.assertFalse(self.meter.is_overloaded)

    def test_process_that_was_suspended_is_not_overloaded(self) -> None:
        self.turn(21, 60)
        self.turn(4_000, 1)
        self.turn(21, 60)
        self.assertFalse(self.meter.is_overloaded)

    def test_share_of_late_turns_between_the_limits_changes_nothing(self) -> None:
        self.turn(21, 60)
        for _ in range(20):
            self.turn(60, 1)
            self.turn(21, 1)
        self.assertFalse(self.meter.is_overloaded)
        self.turn(90, 12)
        for _ in range(20):
            self.turn(60, 1)
            self.turn(21, 1)
        self.assertTrue(self.meter.is_overloaded)


if __name__ == "__main__":
    unittest.main()
