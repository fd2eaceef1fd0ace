from __future__ import annotations

import unittest

from knapweedbeam_core import clock, patience, waiting_clock

TICK_MS = 20


class PatienceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(5_000, 0)
        self.waiting = waiting_clock.WaitingClock(self.clock)
        self.patience = patience.Patience(self.clock, self.waiting, 300)

    def pass_turns(self, count: int, turn_ms: int) -> None:
        """Let turns of the loop pass, each with a tick at its end."""
        for _ in range(count):
            self.clock.advance(turn_ms)
            self.waiting.tick()

    def test_process_on_time_waits_no_longer(self) -> None:
        self.pass_turns(15, TICK_MS)
        self.assertEqual(self.patience.get_extension_ms(), 0)

    def test_own_lateness_does_not_count_as_silence(self) -> None:
        self.pass_turns(2, 170)
        self.assertEqual(self.patience.get_extension_ms(), 240)
        self.pass_turns(12, TICK_MS)
        self.assertEqual(self.patience.get_extension_ms(), 0)

    def test_process_that_stays_late_gives_up_in_the_end(self) -> None:
        self.pass_turns(8, 150)
        self.assertGreater(self.patience.get_extension_ms(), 0)
        self.pass_turns(1, 150)
        self.assertEqual(self.patience.get_extension_ms(), 0)

    def test_clock_without_ticks_bounds_the_wait(self) -> None:
        self.clock.advance(300 + patience.MAX_EXTENSION_MS)
        self.assertEqual(self.patience.get_extension_ms(), 0)


if __name__ == "__main__":
    unittest.main()
