"""Tests what the held endpoints of a service offer."""

from __future__ import annotations

import unittest

from bench.pool import simulation
from knapweedbeam_core.pool import service_means


class ServiceMeansTest(unittest.TestCase):
    def test_best_speed_and_mean_capacity_are_found_at_intervals(self) -> None:
        played = simulation.Simulation()
        played.add_endpoint("e0", 16_000)
        played.add_endpoint("e1", 24_000)
        dispatcher = played.add_dispatcher("a", 10)
        played.advance(50)
        means = service_means.ServiceMeans()
        self.assertEqual(0.0, means.get_mean_millis("service"))
        find = dispatcher.iterate_service
        self.assertEqual(1.0, means.get_best_speed("service", find, 100))
        self.assertEqual(20_000, means.get_mean_millis("service"))
        dispatcher.endpoints["e1"].speed.restore(2.0, 8)
        self.assertEqual(1.0, means.get_best_speed("service", find, 119))
        self.assertEqual(2.0, means.get_best_speed("service", find, 120))


if __name__ == "__main__":
    unittest.main()
