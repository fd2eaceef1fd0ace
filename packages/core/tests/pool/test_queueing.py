"""What callers get under load, against first come first served and first fit."""

from __future__ import annotations

import unittest
import unittest.mock

from bench.pool import load
from knapweedbeam_core.pool import messages, placing, queueing

SECONDS = 6
SEEDS = (1, 2)


def play(share: float) -> tuple[float, float]:
    """Return the mean shares of jobs in time, and of worth."""
    results = [load.run(share, seed, SECONDS) for seed in SEEDS]
    in_time = sum(result.in_time for result in results) / len(results)
    return in_time, sum(result.worth for result in results) / len(results)


class LoadTest(unittest.TestCase):
    def test_a_usual_load_is_served_in_time(self) -> None:
        in_time, worth = play(1.0)
        self.assertGreater(in_time, 0.97)
        self.assertGreater(worth, 0.95)

    def test_a_burst_is_served_better_than_first_come_first_served(self) -> None:
        in_time, worth = play(1.7)

        def sort_jobs(waiting, now_ms, best_speed):  # type: ignore[no-untyped-def]
            return sorted(waiting, key=lambda job: job.born_ms)

        with unittest.mock.patch.object(queueing, "sort_jobs", sort_jobs):
            plain_in_time, plain_worth = play(1.7)
        self.assertGreater(in_time, plain_in_time + 0.05)
        self.assertGreater(worth, plain_worth + 0.05)

    def test_a_job_that_is_of_no_use_any_more_is_refused_long_before_its_caller_leaves(
        self,
    ) -> None:
        played = load.Load(2.2, 1)
        played.play(SECONDS)
        played.world.advance(6_000)
        refused = [
            (played.world.outcomes[job.job_id], job)
            for job in played.sent
            if played.world.get_outcome(job.job_id) == "JobRefused"
        ]
        self.assertTrue(refused)
        started = {order.task.partition(".")[0] for _, _, order in played.world.starts}
        for (message, at_ms), job in refused:
            assert isinstance(message, messages.JobRefused)
            self.assertNotIn(job.job_id, started)
            self.assertGreaterEqual(message.retry_after_ms, 200)
            if job.name == "check":
                self.assertLess(at_ms - job.at_ms, 1_200)

    def test_packing_is_better_than_first_fit(self) -> None:
        in_time, worth = play(1.4)

        def choose_endpoint(task, available, now_ms, best_speed):  # type: ignore[no-untyped-def]
            fitting = (e for e in available.endpoints if placing.fits(task, e))
            return next(fitting, None)

        with unittest.mock.patch.object(placing, "choose_endpoint", choose_endpoint):
            plain_in_time, plain_worth = play(1.4)
        self.assertGreater(in_time, plain_in_time)
        self.assertGreater(worth, plain_worth)


if __name__ == "__main__":
    unittest.main()
