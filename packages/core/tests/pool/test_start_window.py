from __future__ import annotations

import unittest

from knapweedbeam_core.pool import start_window


class StartWindowTest(unittest.TestCase):
    def setUp(self) -> None:
        self.window = start_window.StartWindow()

    def fill(self, now_ms: int) -> None:
        for number in range(start_window.MAX_OPEN_STARTS):
            self.window.add("task", number, now_ms)

    def test_answers_make_space(self) -> None:
        self.fill(0)
        self.assertEqual(self.window.count_free(10), 0)
        self.window.remove("task", 3)
        self.window.remove("task", 3)
        self.assertEqual(self.window.count_free(10), 1)

    def test_starts_that_are_never_answered_do_not_block_others(self) -> None:
        self.fill(0)
        self.assertEqual(self.window.count_free(start_window.OVERDUE_MS), 0)
        later_ms = start_window.OVERDUE_MS + 1
        self.assertEqual(self.window.count_free(later_ms), start_window.MAX_OPEN_STARTS)

    def test_new_dispatcher_role_begins_empty(self) -> None:
        self.fill(0)
        self.window.clear()
        self.assertEqual(self.window.count_free(0), start_window.MAX_OPEN_STARTS)

    def test_window_shrinks_while_the_dispatcher_is_late_and_grows_again(self) -> None:
        for _ in range(20):
            self.window.record_tick(start_window.MAX_LATE_MS + 1)
        self.assertEqual(self.window.count_free(0), start_window.MIN_OPEN_STARTS)
        for _ in range(start_window.MAX_OPEN_STARTS):
            self.window.record_tick(0)
        self.assertEqual(self.window.count_free(0), start_window.MAX_OPEN_STARTS)

    def test_late_dispatcher_reads_answers_before_they_count_as_overdue(self) -> None:
        self.fill(0)
        self.window.record_tick(1)
        free = self.window.count_free(start_window.OVERDUE_MS + 1)
        self.assertEqual(free, 0)


if __name__ == "__main__":
    unittest.main()
