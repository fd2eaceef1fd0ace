from __future__ import annotations

import unittest

from knapweedbeam_core.pool import endpoint_index, placement_order


class PlacementOrderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.order = placement_order.PlacementOrder()
        self.order.update("slow", 0.5, 64_000)
        self.order.update("full", 1.2, 8_000)
        self.order.update("free", 1.2, 64_000)

    def test_fastest_first_then_least_free(self) -> None:
        self.assertEqual(list(self.order.iterate(0)), ["full", "free", "slow"])

    def test_endpoints_without_enough_capacity_are_left_out(self) -> None:
        self.assertEqual(list(self.order.iterate(8_001)), ["free", "slow"])
        self.assertEqual(list(self.order.iterate(64_001)), [])

    def test_endpoint_that_changed_moves(self) -> None:
        self.order.update("slow", 2.0, 32_000)
        self.order.update("free", 1.2, 4_000)
        self.assertEqual(list(self.order.iterate(0)), ["slow", "free", "full"])

    def test_removed_endpoint_is_gone(self) -> None:
        self.order.remove("full")
        self.order.remove("unknown")
        self.assertEqual(list(self.order.iterate(0)), ["free", "slow"])


class EndpointIndexTest(unittest.TestCase):
    def test_endpoints_of_a_job_are_those_with_its_attempts(self) -> None:
        index = endpoint_index.EndpointIndex()
        index.add_attempt("e1", "j")
        index.add_attempt("e1", "j")
        index.add_attempt("e2", "j")
        index.remove_attempt("e1", "j")
        self.assertEqual(index.find_endpoints("j"), ["e1", "e2"])
        index.remove_attempt("e1", "j")
        index.remove_attempt("e2", "j")
        self.assertEqual(index.find_endpoints("j"), [])
        self.assertEqual(index.attempts_by_job, {})
        self.assertEqual(index.changed, {"e1", "e2"})


if __name__ == "__main__":
    unittest.main()
