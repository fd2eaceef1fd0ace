"""Tests that a decision's cost depends on what changes and not on what there is."""

from __future__ import annotations

import unittest

from bench.pool import cost, load

SECONDS = 0.5
SMALL, LARGE = 24, 168
# Logarithmic searches may take a few more steps in a larger deployment.
MAX_GROWTH = 1.5


def count_lines_per_job(endpoints: int, share: float) -> float:
    """Return the lines executed for each job, at a load that suits the endpoints."""
    run = load.LoadRun(share * endpoints / SMALL, 1, endpoints)
    lines = cost.count_lines(lambda: run.run_for(SECONDS))
    return lines / len(run.submitted)


class CostTest(unittest.TestCase):
    def test_cost_of_a_job_does_not_grow_with_the_endpoints(self) -> None:
        small = count_lines_per_job(SMALL, 1.0)
        large = count_lines_per_job(LARGE, 1.0)
        self.assertLess(large, MAX_GROWTH * small)

    def test_cost_of_a_job_does_not_grow_with_the_backlog(self) -> None:
        small = count_lines_per_job(SMALL, 2.5)
        large = count_lines_per_job(LARGE, 2.5)
        self.assertLess(large, MAX_GROWTH * small)


if __name__ == "__main__":
    unittest.main()
