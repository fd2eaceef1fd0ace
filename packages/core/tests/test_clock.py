from __future__ import annotations

import unittest

from knapweedbeam_core import clock


class ManualClockTest(unittest.TestCase):
    def test_advance_moves_both_readings(self) -> None:
        manual = clock.ManualClock(5, 100)
        manual.advance(7)
        self.assertEqual((manual.now_ms(), manual.wall_ms()), (12, 107))
