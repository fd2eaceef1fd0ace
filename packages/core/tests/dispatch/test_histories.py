"""Simulations of several dispatchers with faults.

The faults are lost, delayed and reordered messages, crashes, partitions and clock
drift. The simulation checks the dispatchers' guarantees as it runs.
"""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from bench import dispatch_world
from knapweedbeam_core import outcomes
from knapweedbeam_core.slots import lease_times

SECOND = 1_000
WARM_UP_MS = 6 * SECOND
LAST_START_MS = 3 * SECOND
SETTLED_MS = 6 * SECOND
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=12
)


def build(seed: int, **changes: object) -> dispatch_world.World:
    size = {"domains": 2, "per_domain": 2, "endpoints": 6, "slots": 4, **changes}
    world = dispatch_world.World(dispatch_world.Settings(**size), seed)
    world.run(WARM_UP_MS)
    return world


def feed(world: dispatch_world.World, seconds: int, per_s: int = 12) -> None:
    """Submit jobs of 1 to 9 tasks of 20 to 400 ms at random entry VMs."""
    start = world.now
    for number in range(seconds * per_s):
        work = tuple(
            world.rng.uniform(20, 400) for _ in range(world.rng.choice((1, 3, 9)))
        )
        owner = world.rng.choice(world.names)[0]
        member = f"m{number % world.settings.members}"
        world.at(
            start + number * SECOND / per_s,
            lambda o=owner, m=member, w=work: world.submit(o, m, w, due_in_ms=20_000),
        )


class HistoryCase(unittest.TestCase):
    def check(self, world: dispatch_world.World) -> None:
        self.assertEqual(world.breaches, [])
        for record in world.records.values():
            if world.processes[record.owner].alive and not record.lost:
                self.assertIsNotNone(record.outcome, record)


class TestSteady(HistoryCase):
    @SETTINGS
    @hypothesis.given(strategies.integers(0, 10_000))
    def test_no_start_over_slots_with_lost_and_late_messages(self, seed: int) -> None:
        world = build(seed, loss=0.05, disorder_ms=30.0, drift=0.02)
        feed(world, 6)
        world.run(world.now + 20 * SECOND)
        self.check(world)
        self.assertEqual(world.get_over(), 0)
        done = [r for r in world.records.values() if r.outcome is not None]
        complete = [r for r in done if isinstance(r.outcome, outcomes.Complete)]
        self.assertEqual(len(complete), len(world.records))

    def test_first_jobs_complete_or_find_no_endpoint(self) -> None:
        world = dispatch_world.World(dispatch_world.Settings(), 1)
        world.run(500)
        records = [world.submit(name, "m0", (50.0,)) for name, _ in world.names]
        world.run(500 + lease_times.HANDOVER_MS + SECOND)
        kinds = [type(r.outcome) for r in records]
        for record in records:
            if isinstance(record.outcome, outcomes.NotRun):
                self.assertEqual(record.outcome.reason, "no_endpoint")
            else:
                self.assertIsInstance(record.outcome, outcomes.Complete, kinds)


class TestFaults(HistoryCase):
    @SETTINGS
    @hypothesis.given(strategies.integers(0, 10_000))
    def test_crash_and_restart(self, seed: int) -> None:
        """Over-slot starts stay within what the lost entry VM left running."""
        world = build(seed, drift=0.02)
        feed(world, 12)
        name, domain = world.rng.choice(world.names)
        at = world.now + world.rng.uniform(SECOND, 2 * SECOND)
        world.at(at, lambda: world.kill(name))
        world.at(at + 3 * SECOND, lambda: world.restart(name, domain))
        world.run(at + SETTLED_MS)
        over = world.get_over()
        world.run(at + 20 * SECOND)
        self.check(world)
        self.assertEqual(world.get_over(), over)
        for endpoint in world.endpoints.values():
            self.assertLessEqual(endpoint.most, 2 * endpoint.slots)

    @SETTINGS
    @hypothesis.given(strategies.integers(0, 10_000))
    def test_cut_domain_goes_on(self, seed: int) -> None:
        world = build(seed, drift=0.02)
        feed(world, 12)
        cut = frozenset(("d0", "d1"))
        at = world.now + SECOND
        world.at(at, lambda: world.cut.add(cut))
        world.at(at + 5 * SECOND, lambda: world.cut.discard(cut))
        world.run(at + 25 * SECOND)
        self.check(world)
        self.assertEqual(world.get_over(), 0)
        late = [r for r in world.records.values() if r.asked_ms > at + SECOND]
        complete = [r for r in late if isinstance(r.outcome, outcomes.Complete)]
        self.assertEqual(len(complete), len(late))

    @SETTINGS
    @hypothesis.given(strategies.integers(0, 10_000), strategies.booleans())
    def test_leaver_gets_no_start_after_3_s(self, seed: int, cut_off: bool) -> None:
        world = build(seed, drift=0.02, loss=0.02)
        feed(world, 8)
        name = world.rng.choice(sorted(world.endpoints))
        endpoint = world.endpoints[name]
        at = world.now + world.rng.uniform(SECOND, 2 * SECOND)

        def leave() -> None:
            if cut_off:
                world.isolate(endpoint)
            world.leave(name)

        world.at(at, leave)
        world.run(at + 12 * SECOND)
        self.check(world)
        self.assertLessEqual(endpoint.last_start_ms, at + LAST_START_MS)


class TestFairness(HistoryCase):
    def test_equal_standing_over_entry_vms(self) -> None:
        """A member that floods every entry VM leaves half to one on a single VM."""
        world = build(3, members=2)
        for name, _ in world.names:
            for _ in range(60):
                world.submit(name, "m0", (100.0,) * 9, due_in_ms=60_000)
        for _ in range(60):
            world.submit("d0v0", "m1", (100.0,) * 9, due_in_ms=60_000)
        world.run(world.now + SECOND)
        before = dict(world.used_ms)
        world.run(world.now + SECOND)
        first = world.used_ms["m0"] - before["m0"]
        second = world.used_ms["m1"] - before["m1"]
        self.assertGreater(second / (first + second), 0.4)
