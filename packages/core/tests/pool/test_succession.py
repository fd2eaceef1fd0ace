from __future__ import annotations

import unittest

from knapweedbeam_core import clock
from knapweedbeam_core.pool import succession


class SuspensionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(10_000, 0)
        self.succession = succession.Succession(self.clock)

    def advance(self, by_ms: int) -> None:
        self.clock.advance(by_ms)
        self.succession.tick(self.clock.now_ms())

    def test_dispatcher_with_regular_timers_needs_no_confirmation(self) -> None:
        for _ in range(100):
            self.advance(100)
        self.assertFalse(self.succession.needs_confirmation)

    def test_confirmation_that_was_requested_before_a_suspension_proves_nothing(
        self,
    ) -> None:
        """Guards against an answer of the log that waited while the process slept."""
        self.clock.advance(2_600)
        self.succession.confirm(10_000)
        self.assertTrue(self.succession.may_be_replaced)
        self.succession.tick(self.clock.now_ms())
        self.assertTrue(self.succession.may_be_replaced)
        self.succession.confirm(self.clock.now_ms())
        self.assertFalse(self.succession.may_be_replaced)

    def test_suspension_counts_beyond_a_reset(self) -> None:
        self.advance(2_600)
        self.succession.reset()
        self.succession.confirm(10_000)
        self.assertTrue(self.succession.may_be_replaced)


if __name__ == "__main__":
    unittest.main()
