from __future__ import annotations

import unittest

from bench.fleet import days


class DomainCutsTest(unittest.TestCase):
    def test_token_that_returns_after_a_cut_runs_no_task_twice(self) -> None:
        played = days.play_domain_cuts(seed=7)
        self.assertEqual(played.list_breaches(), [])
        self.assertGreater(len(played.runs_by_job), 100)
