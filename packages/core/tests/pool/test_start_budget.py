from __future__ import annotations

import unittest

from knapweedbeam_core.pool import start_budget


class StartBudgetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = start_budget.StartBudget()

    def test_refusals_are_reported_once_a_second_with_their_inputs(self) -> None:
        for _ in range(3):
            self.budget.get_retry_after_ms("j", 5, 1_000)
        (report,) = self.budget.report(1_000, 7)
        self.assertEqual((report.refused, report.waiting), (3, 7))
        self.budget.get_retry_after_ms("j", 5, 1_100)
        self.assertEqual(self.budget.report(1_100, 7), [])
        (report,) = self.budget.report(2_000, 7)
        self.assertEqual(report.refused, 1)

    def test_new_dispatcher_role_begins_without_a_rate(self) -> None:
        for tick in range(20):
            self.budget.window.hold_back()
            self.budget.on_answer("j.0.0.0", tick)
            self.budget.tick(tick * 50, 20)
        self.assertGreater(self.budget.rate.get_wait_ms(10, 950), 0)
        self.budget.reset()
        self.assertEqual(self.budget.rate.get_wait_ms(10, 950), 0)


if __name__ == "__main__":
    unittest.main()
