"""Tests the order and placement of jobs under load against simpler policies.

The policies are first come first served and first fit.
"""

from __future__ import annotations

import unittest
import unittest.mock

from bench.pool import load
from knapweedbeam_core.pool import messages, placing, queueing

SECONDS = 6
SEEDS = (1, 2)


def play(share: float) -> tuple[float, float]:
    """Return the mean share of jobs in time and the mean share of value."""
    results = [load.run(share, seed, SECONDS) for seed in SEEDS]
    in_time = sum(result.in_time for result in results) / len(results)
    return in_time, sum(result.worth for result in results) / len(results)


class LoadTest(unittest.TestCase):
    def test_usual_load_is_served_in_time(self) -> None:
        in_time, value = play(1.0)
        self.assertGreater(in_time, 0.97)
        self.assertGreater(value, 0.95)

    def test_burst_beats_first_come_first_served(self) -> None:
        in_time, value = play(1.7)

        def sort_jobs(waiting, now_ms, best_speed):  # type: ignore[no-untyped-def]
            return sorted(waiting, key=lambda job: job.born_ms)

        with unittest.mock.patch.object(queueing, "sort_jobs", sort_jobs):
            baseline_in_time, baseline_value = play(1.7)
        self.assertGreater(in_time, baseline_in_time + 0.05)
        self.assertGreater(value, baseline_value + 0.05)

    def test_job_without_value_is_refused_long_before_its_caller_gives_up(
        self,
    ) -> None:
        scenario = load.LoadRun(2.2, 1)
        scenario.run_for(SECONDS)
        scenario.simulation.advance(6_000)
        refused = [
            (scenario.simulation.outcomes[job.job_id], job)
            for job in scenario.submitted
            if scenario.simulation.get_outcome(job.job_id) == "JobRefused"
        ]
        self.assertTrue(refused)
        started = {
            order.task.partition(".")[0] for _, _, order in scenario.simulation.starts
        }
        for (message, at_ms), job in refused:
            assert isinstance(message, messages.JobRefused)
            self.assertNotIn(job.job_id, started)
            self.assertGreaterEqual(message.retry_after_ms, 200)
            if job.name == "check":
                self.assertLess(at_ms - job.at_ms, 1_200)

    def test_placement_beats_first_fit(self) -> None:
        in_time, value = play(1.4)

        def choose_endpoint(task, available, now_ms, best_speed):  # type: ignore[no-untyped-def]
            fitting = (
                e for e in available.list_endpoints() if placing.fits(task, e, now_ms)
            )
            return next(fitting, None)

        with unittest.mock.patch.object(placing, "choose_endpoint", choose_endpoint):
            baseline_in_time, baseline_value = play(1.4)
        self.assertGreater(in_time, baseline_in_time)
        self.assertGreater(value, baseline_value)


if __name__ == "__main__":
    unittest.main()
