from __future__ import annotations

import random
import unittest

from bench.pool import simulation
from knapweedbeam_core.pool import calls


class ChangingCapacityTest(unittest.TestCase):
    """An endpoint's capacity shrinks and grows again while it runs."""

    def setUp(self) -> None:
        self.simulation = simulation.Simulation()
        self.endpoint = self.simulation.add_endpoint("e0", 64_000)
        self.dispatcher = self.simulation.add_dispatcher("a", 10)
        self.simulation.advance(100)

    def tearDown(self) -> None:
        self.assertEqual(self.simulation.breaches, [])

    def resize(self, cpu_millis: int) -> None:
        self.endpoint.cpu_millis = cpu_millis
        announcement = self.endpoint.build_announcement()
        self.simulation.run(
            self.dispatcher, self.dispatcher.on_announcement(announcement)
        )

    def count_starts(self, job_id: str) -> int:
        return sum(
            start.task.startswith(job_id + ".")
            for _, _, start in self.simulation.starts
        )

    def test_nothing_starts_on_capacity_that_has_shrunk(self) -> None:
        self.simulation.submit(self.dispatcher, "j", 2, 400, patience_ms=9_000)
        self.simulation.advance(50)
        self.assertEqual(self.count_starts("j"), 2)
        self.resize(30_000)
        self.simulation.submit(self.dispatcher, "k", 1, 60, patience_ms=9_000)
        self.simulation.advance(200)
        self.assertEqual(self.count_starts("k"), 0)
        self.simulation.advance(400)
        self.assertEqual(self.simulation.get_outcome("j"), "JobComplete")
        self.assertEqual(self.count_starts("k"), 1)

    def test_capacity_that_has_grown_again_is_used(self) -> None:
        self.resize(30_000)
        self.simulation.submit(self.dispatcher, "j", 2, 400, patience_ms=9_000)
        self.simulation.advance(50)
        self.assertEqual(self.count_starts("j"), 1)
        self.resize(64_000)
        self.simulation.advance(50)
        self.assertEqual(self.count_starts("j"), 2)

    def test_late_announcement_of_more_capacity_is_ignored(self) -> None:
        former = self.endpoint.build_announcement()
        self.resize(30_000)
        self.simulation.run(self.dispatcher, self.dispatcher.on_announcement(former))
        self.simulation.submit(self.dispatcher, "j", 2, 60, patience_ms=9_000)
        self.simulation.advance(30)
        self.assertEqual(self.count_starts("j"), 1)

    def test_what_is_being_stopped_still_counts(self) -> None:
        self.simulation.submit(self.dispatcher, "j", 2, 900, patience_ms=9_000)
        self.simulation.advance(50)
        self.simulation.submit(self.dispatcher, "k", 1, 60, patience_ms=9_000)
        withdrawn = self.dispatcher.jobs["j"]
        self.simulation.run(self.dispatcher, self.dispatcher.end_job(withdrawn, None))
        self.resize(54_000)
        self.simulation.advance(20)
        self.assertEqual(len(self.endpoint.running_attempts), 2)
        self.assertEqual(self.count_starts("k"), 0)
        self.simulation.advance(300)
        self.assertEqual(self.count_starts("k"), 1)

    def test_next_dispatcher_counts_what_runs_on_shrunk_capacity(self) -> None:
        self.simulation.submit(self.dispatcher, "j", 2, 900, patience_ms=9_000)
        self.simulation.advance(50)
        self.endpoint.cpu_millis = 30_000
        self.simulation.run(self.dispatcher, self.dispatcher.set_fence(0))
        successor = self.simulation.add_dispatcher("b", 11)
        self.simulation.submit(successor, "j", 2, 900, attempt_base=100)
        self.simulation.submit(successor, "k", 1, 60, patience_ms=9_000)
        self.simulation.advance(500)
        self.assertEqual(self.count_starts("k"), 0)


class RandomCapacityTest(unittest.TestCase):
    def test_no_start_exceeds_a_capacity_that_was_announced(self) -> None:
        for seed in range(10):
            with self.subTest(seed=seed):
                self.play(seed)

    def play(self, seed: int) -> None:
        rng = random.Random(seed)
        world = simulation.Simulation(seed)
        for number in range(6):
            world.add_endpoint(f"e{number}", rng.choice((32_000, 64_000, 96_000)))
        owner = world.add_dispatcher("a", 10)
        world.advance(100)
        for number in range(120):
            world.submit(
                owner,
                f"j{number}",
                rng.randint(1, 6),
                rng.randint(40, 900),
                rng.randint(14_000, 30_000),
                patience_ms=8_000,
            )
            if rng.random() < 0.3:
                endpoint = world.endpoints[rng.choice(sorted(world.endpoints))]
                endpoint.cpu_millis = rng.choice((16_000, 32_000, 64_000, 96_000))
                world.run(owner, owner.on_announcement(endpoint.build_announcement()))
            if rng.random() < 0.1:
                endpoint = world.endpoints[rng.choice(sorted(world.endpoints))]
                endpoint.drops_answers = not endpoint.drops_answers
            world.advance(rng.randint(5, 60))
        self.assertTrue(any(isinstance(s, calls.Start) for _, _, s in world.starts))
        self.assertEqual(world.breaches, [])
