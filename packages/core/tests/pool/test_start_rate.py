from __future__ import annotations

import unittest

from knapweedbeam_core.pool import start_rate

TICK_MS = 40


class StartRateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rate = start_rate.StartRate()
        self.now_ms = 1_000

    def tick(self, late_ms: int, held_back: int, answers: int) -> None:
        for _ in range(answers):
            self.rate.record_answer()
        self.now_ms += TICK_MS
        self.rate.record_tick(self.now_ms, late_ms, held_back)

    def test_full_processor_learns_what_it_finishes(self) -> None:
        for _ in range(50):
            self.tick(10, 3, 8)
        self.assertAlmostEqual(self.rate.per_s, 200, delta=1)
        self.assertAlmostEqual(self.rate.get_wait_ms(20, self.now_ms), 100, delta=1)

    def test_dispatcher_on_time_holds_nothing_beyond_it(self) -> None:
        for _ in range(50):
            self.tick(0, 3, 8)
        self.assertEqual(self.rate.get_wait_ms(1_000, self.now_ms), 0)

    def test_late_dispatcher_without_waiting_jobs_holds_nothing_beyond_it(self) -> None:
        for _ in range(50):
            self.tick(10, 0, 8)
        self.assertEqual(self.rate.get_wait_ms(1_000, self.now_ms), 0)

    def test_jobs_are_taken_again_once_the_load_has_fallen(self) -> None:
        for _ in range(50):
            self.tick(10, 3, 8)
        for _ in range(start_rate.FULL_MS // TICK_MS):
            self.tick(0, 0, 2)
        self.assertEqual(self.rate.get_wait_ms(1_000, self.now_ms), 0)

    def test_refused_callers_return_after_the_backlog_and_not_together(self) -> None:
        times_ms = [start_rate.get_retry_after_ms(f"j{n}", 600) for n in range(100)]
        self.assertGreaterEqual(min(times_ms), 600)
        self.assertLessEqual(max(times_ms), 600 + start_rate.MIN_SPREAD_MS)
        self.assertGreater(len(set(times_ms)), 50)


if __name__ == "__main__":
    unittest.main()
