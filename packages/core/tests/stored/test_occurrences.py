"""Occurrences of scheduled jobs over a change of dispatcher."""

from __future__ import annotations

import unittest

from bench.pool import stored_simulation
from knapweedbeam_core.pool import dispatcher

WORK_MS = 3_000
INTERVAL_MS = 700


class ReplacedDispatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = stored_simulation.StoredSimulation()
        for number in range(5):
            self.world.add_endpoint(f"e{number}")
        self.former = self.world.add_dispatcher("a", 10)
        self.world.advance(100)
        step = stored_simulation.build_step(1, cpu_millis=2_000, estimate_ms=WORK_MS)
        self.world.store_job(
            "j", (step,), WORK_MS, repeat_count=40, interval_ms=INTERVAL_MS
        )
        self.world.advance(4_000)

    def take_over(self) -> dispatcher.Dispatcher:
        """Add a successor, which cannot reach an endpoint that the former one uses."""
        self.world.cut_links.add(("b", self.world.starts[-1][1]))
        return self.world.add_dispatcher("b", 11)

    def finish(self) -> None:
        """Let all occurrences end, and check that none ran twice."""
        self.world.cut_links.clear()
        self.world.advance(45_000)
        self.assertEqual(self.world.breaches, [])
        self.assertEqual(self.world.get_state("j"), "complete")

    def test_occurrence_that_comes_due_soon_after_a_takeover_waits(self) -> None:
        """Guards against a former dispatcher without the log that starts it too."""
        self.world.cut_from_log.add("a")
        self.world.cut_links.update(("a", f"e{number}") for number in range(1, 5))
        self.world.advance(500)
        self.world.cut_links.add(("b", "e0"))
        self.world.add_dispatcher("b", 11)
        self.world.advance(6_000)
        self.assertEqual(self.world.breaches, [])
        self.world.run(self.former, self.former.set_fence(0))
        self.finish()

    def test_suspended_dispatcher_starts_nothing_before_the_log_confirms_it(
        self,
    ) -> None:
        """Guards against occurrences that a woken dispatcher opens by the clock."""
        for suspended_ms in (2_600, 8_000):
            with self.subTest(suspended_ms=suspended_ms):
                self.setUp()
                self.world.suspend("a")
                self.take_over()
                self.world.advance(suspended_ms)
                self.world.resume("a")
                self.world.advance(200)
                self.assertEqual(self.world.breaches, [])
                self.finish()

    def test_suspended_dispatcher_that_was_not_replaced_goes_on(self) -> None:
        self.world.suspend("a")
        self.world.advance(2_000)
        started = len(self.world.starts)
        self.world.resume("a")
        self.world.advance(400)
        self.assertGreater(len(self.world.starts), started)
        self.finish()


if __name__ == "__main__":
    unittest.main()
