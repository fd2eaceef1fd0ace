from __future__ import annotations

import dataclasses
import unittest

from bench.pool import simulation
from knapweedbeam_core.fleet import sharding
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import dispatcher, messages, shards

TERMS = manifest.Terms("queue", "service", 0, 3, 1.6, 60)


def build_submit(
    work_ms: int, cpu_millis: int, hand_in: int, token: int = 0
) -> messages.Submit:
    step = messages.SubmittedStep(1, cpu_millis, 64, 0, work_ms, (), "", "", 0)
    return messages.Submit("j", TERMS, "spec", (step,), 0, 20_000, 0, hand_in, token)


class ProbeCountingSimulation(simulation.Simulation):
    """A simulation that counts the probes of endpoints."""

    probe_count = 0

    def probe(self, by: simulation.Dispatching, name: str) -> None:
        """Count a probe and carry it out."""
        self.probe_count += 1
        super().probe(by, name)


class OneEndpointCutTest(unittest.TestCase):
    """A dispatcher loses its link to the endpoint that runs the task of a job."""

    def setUp(self) -> None:
        self.world = simulation.Simulation()
        for number in range(3):
            self.world.add_endpoint(f"e{number}")
        self.made = self.world.add_dispatcher("a", 10)
        self.world.advance(3_050)
        self.world.submit(self.made, "j", work_ms=5_000, patience_ms=20_000, hand_in=1)
        self.world.advance(100)
        ((_, self.name, _),) = self.world.starts

    def submit(self, hand_in: int) -> None:
        """Let the caller of the job submit it again, by any entry VM."""
        self.world.submit(
            self.made, "j", work_ms=5_000, patience_ms=20_000, hand_in=hand_in
        )

    def move_job_inside(self) -> dispatcher.Dispatcher:
        """Cut the endpoint off with a second dispatcher, which claims the run."""
        self.world.cut_links |= {("a", self.name)}
        self.world.cut_links |= {
            ("b", each) for each in self.world.endpoints if each != self.name
        }
        inside = self.world.add_dispatcher("b", 0)
        self.world.advance(400)
        self.world.run(inside, inside.set_fence(11))
        self.world.submit(inside, "j", work_ms=5_000, attempt_base=100, hand_in=1)
        return inside

    def run_effects(self, produced: dispatcher.Effects) -> None:
        self.world.run(self.made, produced)

    def test_job_that_is_withdrawn_while_it_waits_for_a_former_run_waits_again(
        self,
    ) -> None:
        """Its caller submits it again after a new token, twice."""
        self.world.cut_links.add(("a", self.name))
        self.run_effects(self.made.set_fence(11))
        self.submit(2)
        self.world.advance(50)
        self.run_effects(self.made.on_withdraw(messages.Withdraw("j", 2)))
        self.submit(3)
        self.world.advance(1_500)
        self.assertEqual(self.world.breaches, [])

    def test_job_of_an_entry_vm_that_dropped_it_ends(self) -> None:
        """Its withdrawal was lost with a link, and nobody confirms it."""
        self.world.cut_links.add(("a", self.name))
        self.world.submitted_to["j"] = "nobody"
        self.world.advance(30_000)
        self.assertEqual(list(self.made.jobs), [])
        self.assertEqual(list(self.made.confirmations.asked), [])

    def test_open_job_that_returns_from_another_dispatcher_waits_for_its_runs(
        self,
    ) -> None:
        """The other one, inside a cut, has claimed the run and given up its token."""
        inside = self.move_job_inside()
        self.world.advance(500)
        self.world.run(inside, inside.set_fence(0))
        self.world.submit(
            self.made, "j", work_ms=5_000, attempt_base=200, hand_in=1, token=10
        )
        self.world.advance(1_500)
        self.assertEqual(self.world.breaches, [])

    def test_open_job_that_returns_has_the_crashes_that_were_counted_elsewhere(
        self,
    ) -> None:
        """Its task is at fault: it crashed two endpoints at another dispatcher."""
        counted = tuple(
            messages.TaskCrash("j.0.0.0", number, True) for number in (101, 102)
        )
        submit = dataclasses.replace(
            build_submit(5_000, 27_000, 1, 10),
            attempt_base=200,
            crashes=counted,
            former=("b",),
        )
        self.run_effects(self.made.on_submit(simulation.ENTRY, submit))
        self.assertEqual(self.world.get_outcome("j"), "JobFailed")

    def test_job_is_not_confirmed_by_another_entry_vm_than_the_one_that_moved(
        self,
    ) -> None:
        """Its entry VM is cut off with a dispatcher; its caller asks another one."""
        self.move_job_inside()
        self.world.advance(100)
        self.run_effects(self.made.on_submit("entry-2", build_submit(5_000, 27_000, 9)))
        self.world.submitted_to["j"] = "a"
        self.world.advance(1_500)
        self.assertEqual(self.world.breaches, [])

    def test_copy_of_an_older_submission_does_not_hide_a_withdrawal(self) -> None:
        """It was sent on a former connection and is read late."""
        self.run_effects(
            self.made.on_submit(simulation.ENTRY, build_submit(5_000, 27_000, 2))
        )
        self.run_effects(
            self.made.on_submit(simulation.ENTRY, build_submit(5_000, 27_000, 1))
        )
        self.run_effects(self.made.on_withdraw(messages.Withdraw("j", 2)))
        self.assertEqual(list(self.made.jobs), [])


class NewTokenTest(unittest.TestCase):
    def test_new_token_does_not_count_polls_of_the_former_one_as_lost(self) -> None:
        """Each endpoint was probed every 40 ms, and polls were urgent for 5 s."""
        world = ProbeCountingSimulation()
        for number in range(10):
            world.add_endpoint(f"e{number}")
        made = world.add_dispatcher("a", 10)
        world.advance(3_010)
        world.probe_count = 0
        world.run(made, made.set_fence(11))
        world.advance(400)
        self.assertLessEqual(world.probe_count, 2 * 10)
        self.assertFalse(made.tracker.losses.is_lossy(made.tracker.waiting_ms))


class SeveralShardsTest(unittest.TestCase):
    """One process owns two shards under one token."""

    def setUp(self) -> None:
        self.world = simulation.Simulation()
        for number in range(6):
            self.world.add_endpoint(f"i-{number}")
        self.process = shards.ShardedDispatcher(
            "a", simulation.BOUNDS, self.world.clock
        )
        self.process.started_ms -= 10_000
        self.process.dispatchers[0].started_ms = self.process.started_ms
        self.large = {sharding.get_shard(f"l-{n}", 2): f"l-{n}" for n in range(8)}
        self.home = sharding.get_shard("j", 2)
        self.announce(*self.world.endpoints)
        self.world.dispatchers.append(self.process)
        self.world.run(self.process, self.process.set_tokens(2, {0: 21, 1: 21}))
        self.announce_large(1 - self.home)
        self.world.advance(3_000)
        self.submit(1)
        self.world.advance(100)
        self.assertEqual(len(self.world.starts), 1)

    def announce(self, *names: str) -> None:
        for name in names:
            announcement = self.world.endpoints[name].build_announcement()
            self.world.run(self.process, self.process.on_announcement(announcement))

    def announce_large(self, shard: int) -> None:
        self.world.add_endpoint(self.large[shard], 96_000)
        self.announce(self.large[shard])

    def submit(self, hand_in: int, attempt_base: int = 0) -> None:
        self.world.submit(
            self.process,
            "j",
            work_ms=4_000,
            cpu_millis=80_000,
            patience_ms=9_000,
            hand_in=hand_in,
            attempt_base=attempt_base,
        )

    def test_job_submitted_again_waits_for_a_run_that_is_stopped_in_another_shard(
        self,
    ) -> None:
        """An endpoint that is large enough has joined the shard of its id."""
        self.announce_large(self.home)
        self.world.advance(200)
        withdrawn = self.process.on_withdraw(messages.Withdraw("j", 1))
        self.world.run(self.process, withdrawn)
        self.submit(2)
        self.world.advance(1_000)
        self.assertEqual(self.world.breaches, [])

    def test_job_that_is_sent_again_after_a_new_token_waits_for_another_shard(
        self,
    ) -> None:
        """Its run is in a shard that it no longer belongs to."""
        self.announce_large(self.home)
        self.world.advance(200)
        other = 1 - self.home
        tokens = {self.home: 21, other: 22}
        self.world.run(self.process, self.process.set_tokens(2, tokens))
        self.submit(1)
        self.world.advance(1_000)
        self.assertEqual(self.world.breaches, [])


if __name__ == "__main__":
    unittest.main()
