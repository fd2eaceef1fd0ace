from __future__ import annotations

import random
import unittest

from knapweedbeam_core.pool import clocks, health, speeds


class SpeedTest(unittest.TestCase):
    def test_speed_is_learned_from_estimates_off_by_two(self) -> None:
        rng = random.Random(1)
        speed = speeds.Speed()
        for _ in range(60):
            work_ms = rng.uniform(50, 900)
            estimate_ms = work_ms * 2 ** rng.uniform(-1, 1)
            speed.add(estimate_ms, work_ms / 0.55 + speeds.OVERHEAD_MS)
        self.assertAlmostEqual(speed.value, 0.55, delta=0.15)

    def test_overdue_time_is_longer_with_few_samples(self) -> None:
        unreliable, reliable = speeds.Speed(), speeds.Speed(samples=20)
        self.assertGreater(
            unreliable.get_overdue_ms(100, 0), reliable.get_overdue_ms(100, 0)
        )
        self.assertGreater(
            reliable.get_overdue_ms(100, 0), reliable.get_overdue_ms(100, 1)
        )


class HealthTest(unittest.TestCase):
    def test_cool_down_grows_and_ends_with_success(self) -> None:
        endpoint_health = health.Health()
        self.assertFalse(endpoint_health.record_fault(0))
        self.assertTrue(endpoint_health.record_fault(0))
        self.assertTrue(endpoint_health.is_cooling_down(health.FIRST_COOL_DOWN_MS - 1))
        self.assertFalse(endpoint_health.is_cooling_down(health.FIRST_COOL_DOWN_MS))
        self.assertTrue(endpoint_health.record_fault(5_000))
        self.assertTrue(
            endpoint_health.is_cooling_down(5_000 + health.FIRST_COOL_DOWN_MS)
        )
        endpoint_health.record_success()
        self.assertFalse(endpoint_health.is_cooling_down(5_000))
        self.assertFalse(endpoint_health.is_on_probation)


class ReadingTest(unittest.TestCase):
    def test_clock_lies_between_earliest_and_latest(self) -> None:
        reading = clocks.Reading(clock_ms=1_000, sent_ms=50, received_ms=60)
        for rate in (1 - clocks.DRIFT, 1.0, 1 + clocks.DRIFT):
            for read_at_ms in (50, 60):
                true_ms = 1_000 + (10_060 - read_at_ms) * rate
                self.assertLessEqual(reading.get_earliest_ms(10_060), true_ms + 1)
                self.assertGreaterEqual(reading.get_latest_ms(10_060), true_ms - 1)


if __name__ == "__main__":
    unittest.main()
