from __future__ import annotations

import unittest

from knapweedbeam_core import clock
from knapweedbeam_core.pool import predecessors


class PredecessorsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(10_000)
        self.lists = predecessors.Predecessors(self.clock)
        self.lists.record("a", ("e0", "e1"))

    def may_miss_endpoints(self, *former: str, known: str = "e0 e1 e2") -> bool:
        return self.lists.may_miss_endpoints(former, set(known.split()))

    def test_all_endpoints_of_a_former_dispatcher_are_known(self) -> None:
        self.assertFalse(self.may_miss_endpoints("a"))
        self.assertFalse(self.may_miss_endpoints())

    def test_endpoint_of_a_former_dispatcher_is_unknown(self) -> None:
        self.assertTrue(self.may_miss_endpoints("a", known="e0 e2"))

    def test_dispatcher_without_a_list_may_have_used_any_endpoint(self) -> None:
        self.assertTrue(self.may_miss_endpoints("a", "b"))
        self.assertTrue(self.may_miss_endpoints(*predecessors.UNKNOWN))

    def test_old_list_proves_nothing(self) -> None:
        self.clock.advance(predecessors.FRESH_MS + 1)
        self.assertTrue(self.may_miss_endpoints("a"))
        self.assertEqual(self.lists.list_fresh(), ())

    def test_endpoint_that_ended_need_not_be_known(self) -> None:
        self.lists.forget("e1")
        self.assertFalse(self.may_miss_endpoints("a", known="e0"))

    def test_old_lists_are_dropped(self) -> None:
        self.clock.advance(predecessors.FRESH_MS + 1)
        self.lists.record("b", ())
        self.assertEqual(list(self.lists.lists), ["b"])


if __name__ == "__main__":
    unittest.main()
