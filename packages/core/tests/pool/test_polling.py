from __future__ import annotations

import unittest

from bench.pool import simulation
from knapweedbeam_core.pool import polling

LEASE_MS = 1_000
# What a poll waits longer than planned when it is lost: see `CALL_TIMEOUT_S` of the
# client, and the pause before the next poll.
LOST_POLL_MS = 320


class PollingTest(unittest.TestCase):
    def get_polls_per_s(self, count: int, is_urgent: bool) -> float:
        return count * 1_000 / polling.get_interval_ms(count, is_urgent, LEASE_MS)

    def test_few_endpoints_are_polled_often(self) -> None:
        for count in (0, 1, 24, 100):
            self.assertEqual(polling.get_interval_ms(count, False, LEASE_MS), 250)
            self.assertEqual(polling.get_interval_ms(count, True, LEASE_MS), 100)

    def test_polls_of_many_endpoints_grow_slower_than_their_number(self) -> None:
        self.assertLessEqual(self.get_polls_per_s(270, True), 1_000)
        self.assertLessEqual(self.get_polls_per_s(270, False), 700)
        self.assertLess(self.get_polls_per_s(176, False), 176 * 4)

    def test_polls_are_urgent_only_for_some_seconds_after_a_loss(self) -> None:
        losses = polling.LossRecord()
        self.assertFalse(losses.is_lossy(0))
        losses.record(100)
        self.assertTrue(losses.is_lossy(5_000))
        self.assertFalse(losses.is_lossy(5_100))

    def test_a_healthy_deployment_makes_few_polls_without_an_end(self) -> None:
        running = simulation.Simulation()
        for number in range(8):
            running.add_endpoint(f"e{number}")
        made = running.add_dispatcher("a", 10)
        running.advance(1_000)
        build_hold = made.build_hold
        polls: list[str] = []
        made.build_hold = lambda name: polls.append(name) or build_hold(name)
        for number in range(8):
            running.submit(made, f"j{number}", count=1, work_ms=900, estimate_ms=900)
        running.advance(900)
        self.assertEqual(len(running.starts), 8)
        self.assertLessEqual(len(polls), 8 * 5)

    def test_lease_is_renewed_after_a_lost_poll(self) -> None:
        """The endpoint's clock may be 2% slow, ours 2% fast."""
        for lease_ms in (1_000, 3_000):
            for count in (24, 270, 10_000):
                interval_ms = polling.get_interval_ms(count, False, lease_ms)
                self.assertLess(1.04 * (interval_ms + LOST_POLL_MS), lease_ms)


if __name__ == "__main__":
    unittest.main()
