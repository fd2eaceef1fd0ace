"""Simulations of several dispatchers with faults.

The faults are lost, delayed and reordered messages, crashes, partitions and clock
drift. The simulation checks the dispatchers' guarantees as it runs.
"""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from bench import dispatch_simulation
from knapweedbeam_core import outcomes
from knapweedbeam_core.slots import lease_times

SECOND = 1_000
WARM_UP_MS = 6 * SECOND
LAST_START_MS = 3 * SECOND
SETTLED_MS = 6 * SECOND
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=12
)


def build(seed: int, **changes: object) -> dispatch_simulation.Simulation:
    size = {"domains": 2, "per_domain": 2, "endpoints": 6, "slots": 4, **changes}
    simulation = dispatch_simulation.Simulation(
        dispatch_simulation.Settings(**size), seed
    )
    simulation.run(WARM_UP_MS)
    return simulation


def feed(
    simulation: dispatch_simulation.Simulation, seconds: int, per_s: int = 12
) -> None:
    """Submit jobs of 1 to 9 tasks of 20 to 400 ms at random entry VMs."""
    start = simulation.now
    for number in range(seconds * per_s):
        work = tuple(
            simulation.rng.uniform(20, 400)
            for _ in range(simulation.rng.choice((1, 3, 9)))
        )
        owner = simulation.rng.choice(simulation.names)[0]
        member = f"m{number % simulation.settings.members}"
        simulation.schedule(
            start + number * SECOND / per_s,
            lambda o=owner, m=member, w=work: simulation.submit(
                o, m, w, due_in_ms=20_000
            ),
        )


class HistoryCase(unittest.TestCase):
    def check(self, simulation: dispatch_simulation.Simulation) -> None:
        self.assertEqual(simulation.breaches, [])
        for record in simulation.records.values():
            if simulation.processes[record.owner].is_alive and not record.is_lost:
                self.assertIsNotNone(record.outcome, record)


class TestSteady(HistoryCase):
    @SETTINGS
    @hypothesis.given(strategies.integers(0, 10_000))
    def test_no_start_over_slots_with_lost_and_late_messages(self, seed: int) -> None:
        simulation = build(
            seed, loss_probability=0.05, jitter_ms=30.0, clock_drift=0.02
        )
        feed(simulation, 6)
        simulation.run(simulation.now + 20 * SECOND)
        self.check(simulation)
        self.assertEqual(simulation.count_over_slots(), 0)
        done = [r for r in simulation.records.values() if r.outcome is not None]
        complete = [r for r in done if isinstance(r.outcome, outcomes.Complete)]
        self.assertEqual(len(complete), len(simulation.records))

    def test_first_jobs_complete_or_find_no_endpoint(self) -> None:
        simulation = dispatch_simulation.Simulation(dispatch_simulation.Settings(), 1)
        simulation.run(500)
        records = [
            simulation.submit(name, "m0", (50.0,)) for name, _ in simulation.names
        ]
        simulation.run(500 + lease_times.HANDOVER_MS + SECOND)
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
        simulation = build(seed, clock_drift=0.02)
        feed(simulation, 12)
        name, domain = simulation.rng.choice(simulation.names)
        at = simulation.now + simulation.rng.uniform(SECOND, 2 * SECOND)
        simulation.schedule(at, lambda: simulation.kill(name))
        simulation.schedule(at + 3 * SECOND, lambda: simulation.restart(name, domain))
        simulation.run(at + SETTLED_MS)
        over = simulation.count_over_slots()
        simulation.run(at + 20 * SECOND)
        self.check(simulation)
        self.assertEqual(simulation.count_over_slots(), over)
        for endpoint in simulation.endpoints.values():
            self.assertLessEqual(endpoint.max_running, 2 * endpoint.slots)

    @SETTINGS
    @hypothesis.given(strategies.integers(0, 10_000))
    def test_cut_domain_goes_on(self, seed: int) -> None:
        simulation = build(seed, clock_drift=0.02)
        feed(simulation, 12)
        cut = frozenset(("d0", "d1"))
        at = simulation.now + SECOND
        simulation.schedule(at, lambda: simulation.partitions.add(cut))
        simulation.schedule(at + 5 * SECOND, lambda: simulation.partitions.discard(cut))
        simulation.run(at + 25 * SECOND)
        self.check(simulation)
        self.assertEqual(simulation.count_over_slots(), 0)
        late = [r for r in simulation.records.values() if r.submitted_ms > at + SECOND]
        complete = [r for r in late if isinstance(r.outcome, outcomes.Complete)]
        self.assertEqual(len(complete), len(late))

    @SETTINGS
    @hypothesis.given(strategies.integers(0, 10_000), strategies.booleans())
    def test_leaver_gets_no_start_after_3_s(self, seed: int, cut_off: bool) -> None:
        simulation = build(seed, clock_drift=0.02, loss_probability=0.02)
        feed(simulation, 8)
        name = simulation.rng.choice(sorted(simulation.endpoints))
        endpoint = simulation.endpoints[name]
        at = simulation.now + simulation.rng.uniform(SECOND, 2 * SECOND)

        def leave() -> None:
            if cut_off:
                simulation.isolate(endpoint)
            simulation.leave(name)

        simulation.schedule(at, leave)
        simulation.run(at + 12 * SECOND)
        self.check(simulation)
        self.assertLessEqual(endpoint.last_start_ms, at + LAST_START_MS)


class TestFairness(HistoryCase):
    def test_equal_standing_over_entry_vms(self) -> None:
        """A member that floods every entry VM leaves half to one on a single VM."""
        simulation = build(3, members=2)
        for name, _ in simulation.names:
            for _ in range(60):
                simulation.submit(name, "m0", (100.0,) * 9, due_in_ms=60_000)
        for _ in range(60):
            simulation.submit("d0v0", "m1", (100.0,) * 9, due_in_ms=60_000)
        simulation.run(simulation.now + SECOND)
        before = dict(simulation.used_ms)
        simulation.run(simulation.now + SECOND)
        first = simulation.used_ms["m0"] - before["m0"]
        second = simulation.used_ms["m1"] - before["m1"]
        self.assertGreater(second / (first + second), 0.4)
