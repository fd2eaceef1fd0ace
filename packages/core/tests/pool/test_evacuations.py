from __future__ import annotations

import unittest

from bench.pool import simulation, stored_simulation
from knapweedbeam_core import reasons
from knapweedbeam_core.pool import messages, placement_order, queueing, shards

EVACUATED = frozenset({"d1"})
NOWHERE: frozenset[str] = frozenset()


class EvacuationTest(unittest.TestCase):
    """Four endpoints in two failure domains; the first one is evacuated."""

    def setUp(self) -> None:
        self.world = stored_simulation.StoredSimulation()
        for number in range(4):
            endpoint = self.world.add_endpoint(f"e{number}")
            endpoint.domain = "d1" if number < 2 else "d2"
        self.world.endpoints["e0"].cpu_millis = 96_000
        self.owner = self.world.add_dispatcher("a", 10)
        self.world.advance(100)

    def tearDown(self) -> None:
        self.assertEqual(self.world.breaches, [])

    def set_evacuated(self, domains: frozenset[str]) -> None:
        self.owner.set_evacuated(domains)
        self.world.run(self.owner, [])

    def list_used(self, since: int = 0) -> set[str]:
        return {name for _, name, _ in self.world.starts[since:]}

    def get_refusal(self, job_id: str) -> tuple[reasons.Reason, int]:
        refused, _ = self.world.outcomes[job_id]
        assert isinstance(refused, messages.JobRefused)
        return refused.reason, refused.retry_after_ms

    def test_nothing_starts_there_until_it_is_taken_back(self) -> None:
        self.world.submit(self.owner, "before", 8, 300)
        self.world.advance(50)
        self.assertEqual(len(self.list_used()), 4)
        self.set_evacuated(EVACUATED)
        count = len(self.world.starts)
        self.world.submit(self.owner, "meanwhile", 8, 60)
        self.world.advance(700)
        self.assertEqual(self.world.get_outcome("before"), "JobComplete")
        self.assertEqual(self.world.get_outcome("meanwhile"), "JobComplete")
        self.assertEqual(self.list_used(count), {"e2", "e3"})
        self.set_evacuated(NOWHERE)
        count = len(self.world.starts)
        self.world.submit(self.owner, "after", 8, 60)
        self.world.advance(50)
        self.assertEqual(self.list_used(count), set(self.world.endpoints))

    def test_waiting_tasks_start_as_soon_as_it_is_taken_back(self) -> None:
        self.set_evacuated(frozenset({"d1", "d2"}))
        step = stored_simulation.build_step(1)
        self.world.store_job("j", (step,))
        self.world.advance(500)
        self.assertEqual(self.list_used(), set())
        self.set_evacuated(NOWHERE)
        self.world.advance(20)
        self.assertEqual(len(self.world.starts), 1)

    def test_job_that_fits_only_there_is_refused_at_once(self) -> None:
        self.set_evacuated(EVACUATED)
        self.world.submit(self.owner, "wide", 1, 60, cpu_millis=90_000)
        expected = (reasons.Reason.EVACUATED, queueing.MAX_RETRY_AFTER_MS)
        self.assertEqual(self.get_refusal("wide"), expected)
        self.world.submit(self.owner, "never", 1, 60, cpu_millis=99_000)
        self.assertEqual(self.get_refusal("never")[0], reasons.Reason.NEVER_FITS)
        self.assertEqual(self.owner.evacuation_refusals, 1)

    def test_waiting_job_that_fits_only_there_is_not_held_to_its_deadline(self) -> None:
        self.world.submit(self.owner, "first", 1, 900, cpu_millis=90_000)
        self.world.advance(30)
        self.world.submit(self.owner, "second", 1, 900, cpu_millis=90_000)
        self.world.advance(30)
        self.set_evacuated(EVACUATED)
        self.world.advance(40)
        self.assertEqual(self.get_refusal("second")[0], reasons.Reason.EVACUATED)
        self.world.advance(1_000)
        self.assertEqual(self.world.get_outcome("first"), "JobComplete")

    def test_stored_job_that_fits_only_there_waits(self) -> None:
        self.set_evacuated(EVACUATED)
        step = stored_simulation.build_step(1, cpu_millis=90_000)
        self.world.store_job("j", (step,))
        self.world.advance(5_000)
        self.assertEqual(self.world.get_state("j"), "queued")
        self.set_evacuated(NOWHERE)
        self.world.advance(200)
        self.assertEqual(self.world.get_state("j"), "complete")

    def test_no_task_waits_for_a_faster_endpoint_there(self) -> None:
        for name in ("e0", "e1"):
            self.owner.endpoints[name].speed.restore(4.0, 50)
            self.owner.endpoints[name].mark_changed()
        self.set_evacuated(EVACUATED)
        self.world.submit(self.owner, "j", 1, 60, estimate_ms=400, slack_factor=0.5)
        self.world.advance(20)
        self.assertEqual(len(self.world.starts), 1)


class EvacuatedShardTest(unittest.TestCase):
    def test_job_goes_to_a_shard_where_it_fits_outside(self) -> None:
        world = simulation.Simulation()
        owner = shards.ShardedDispatcher("a", simulation.BOUNDS, world.clock)
        for number in range(8):
            endpoint = world.add_endpoint(f"i-{number}")
            owner.on_announcement(endpoint.build_announcement())
        owner.set_evacuated(frozenset({"d1"}))
        owner.set_tokens(2, {0: 10, 1: 11})
        home, other = owner.dispatchers
        for endpoint_ in home.endpoints.values():
            world.endpoints[endpoint_.announcement.endpoint].domain = "d1"
        for each in world.endpoints.values():
            owner.on_announcement(each.build_announcement())
        self.assertTrue(home.endpoints and other.endpoints)
        for number in range(4):
            world.submit(owner, f"j{number}")
        self.assertEqual((len(home.jobs), len(other.jobs)), (0, 4))


class ColdEndpointTest(unittest.TestCase):
    def test_cold_endpoint_is_used_once_the_warm_ones_are_full(self) -> None:
        world = simulation.Simulation()
        world.add_endpoint("fast").cold_ms = 800
        world.add_endpoint("slow")
        owner = world.add_dispatcher("a", 10)
        owner.endpoints["fast"].speed.restore(2.0, 50)
        owner.endpoints["fast"].mark_changed()
        world.advance(100)
        world.submit(owner, "j", 3, 400)
        world.advance(30)
        names = [name for _, name, _ in world.starts]
        self.assertEqual(names, ["slow", "slow", "fast"])

    def test_order_changes_when_an_endpoint_is_warm(self) -> None:
        order = placement_order.PlacementOrder()
        order.update("fast", 2.0, 64_000, is_cold=True)
        order.update("slow", 1.0, 64_000)
        self.assertEqual(list(order.iterate(0)), ["slow", "fast"])
        order.update("fast", 2.0, 64_000)
        self.assertEqual(list(order.iterate(0)), ["fast", "slow"])


if __name__ == "__main__":
    unittest.main()
