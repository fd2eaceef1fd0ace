from __future__ import annotations

import unittest

from bench.fleet import days, deployment, windows


class DeploymentTest(unittest.TestCase):
    def assert_no_breach(
        self, played: deployment.Deployment, at_least: int = 60
    ) -> None:
        self.assertEqual(played.list_breaches(), [])
        self.assertGreater(len(played.runs_by_job), at_least)

    def test_token_that_returns_after_a_cut_runs_no_task_twice(self) -> None:
        self.assert_no_breach(days.play_domain_cuts(seed=7), at_least=100)

    def test_run_that_a_cut_off_dispatcher_claims_is_not_started_outside(self) -> None:
        self.assert_no_breach(windows.play_claimed_runs(seed=4))

    def test_jobs_handed_in_again_around_restarts_run_no_task_twice(self) -> None:
        self.assert_no_breach(windows.play_repeated_jobs(seed=0))

    def test_day_with_troubles_breaks_no_rule(self) -> None:
        self.assert_no_breach(days.play(seed=1, is_patient=True))
