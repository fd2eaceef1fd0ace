from __future__ import annotations

import unittest

from bench.pool import simulation
from knapweedbeam_core import effects
from knapweedbeam_core.fleet import membership, participant, sharding
from knapweedbeam_core.fleet import messages as fleet_messages
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import dispatcher, messages, shards


def run_on_one_endpoint(
    work_ms: int = 900,
) -> tuple[simulation.Simulation, dispatcher.Dispatcher, str]:
    """Return a dispatcher that runs one long task, and the endpoint of the task."""
    world = simulation.Simulation()
    for number in range(3):
        world.add_endpoint(f"e{number}")
    made = world.add_dispatcher("a", 10)
    world.advance(3_050)
    world.submit(made, "j", work_ms=work_ms, patience_ms=20_000)
    world.advance(100)
    (name,) = (used for _, used, _ in world.starts)
    return world, made, name


class NewTokenTest(unittest.TestCase):
    def test_job_that_comes_as_new_after_a_new_token_starts_no_task_twice(self) -> None:
        """Its caller submits it again, at another entry VM."""
        world, made, _ = run_on_one_endpoint()
        world.submit(made, "filling", work_ms=900)
        world.advance(70)
        world.submit(made, "short", work_ms=100)
        world.advance(60)
        world.run(made, made.set_fence(11))
        world.submit(made, "j", work_ms=900, hand_in=2)
        world.advance(1_500)
        self.assertEqual(world.breaches, [])

    def test_job_that_comes_as_new_waits_for_a_run_behind_a_cut_link(self) -> None:
        world, made, name = run_on_one_endpoint()
        world.cut_links.add(("a", name))
        world.run(made, made.set_fence(11))
        world.advance(400)
        world.submit(made, "j", work_ms=900, hand_in=2)
        world.advance(1_500)
        self.assertEqual(world.breaches, [])

    def test_job_that_comes_as_new_at_the_next_owner_starts_no_task_twice(self) -> None:
        """The former owner is gone; its successor does not reach one endpoint."""
        world, _, name = run_on_one_endpoint()
        world.cut_links |= {("b", name)} | {("a", each) for each in world.endpoints}
        second = world.add_dispatcher("b", 11)
        world.advance(200)
        world.submit(second, "j", work_ms=900, hand_in=2)
        world.advance(1_500)
        self.assertEqual(world.breaches, [])

    def test_takeover_that_is_withdrawn_and_comes_as_new_starts_no_task_twice(
        self,
    ) -> None:
        """Its caller leaves one entry VM for another one soon after the takeover."""
        world, _, name = run_on_one_endpoint()
        world.cut_links |= {("b", name)} | {("a", each) for each in world.endpoints}
        second = world.add_dispatcher("b", 11)
        world.advance(200)
        world.submit(second, "j", work_ms=900, hand_in=2, attempt_base=100)
        world.advance(20)
        world.run(second, second.on_withdraw(messages.Withdraw("j", 2)))
        world.advance(80)
        world.submit(second, "j", work_ms=900, hand_in=3)
        world.advance(1_500)
        self.assertEqual(world.breaches, [])

    def test_job_that_runs_from_a_former_token_is_not_refused_as_not_run(self) -> None:
        world, made, name = run_on_one_endpoint()
        world.cut_links.add(("a", name))
        world.run(made, made.set_fence(11))
        world.submit(made, "j", work_ms=900, patience_ms=100, hand_in=2)
        world.advance(50)
        self.assertTrue(world.endpoints[name].running_attempts)
        self.assertNotEqual(world.get_outcome("j"), "JobRefused")

    def test_endpoints_are_read_with_a_new_token_at_once(self) -> None:
        """They were read when their poll with the former token had returned."""
        world, made, _ = run_on_one_endpoint()
        world.run(made, made.set_fence(11))
        world.advance(10)
        self.assertEqual([each.is_held for each in made.endpoints.values()], [True] * 3)


class DivisionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = simulation.Simulation()
        for number in range(12):
            self.world.add_endpoint(f"i-{number}")
        self.process = shards.ShardedDispatcher(
            "a", simulation.BOUNDS, self.world.clock
        )
        self.process.started_ms -= 10_000
        self.process.dispatchers[0].started_ms = self.process.started_ms
        self.announce(*self.world.endpoints)
        self.world.dispatchers.append(self.process)

    def announce(self, *names: str) -> None:
        for name in names:
            announcement = self.world.endpoints[name].build_announcement()
            self.world.run(self.process, self.process.on_announcement(announcement))

    def assign(self, *tokens: int) -> None:
        produced = self.process.set_tokens(len(tokens), dict(enumerate(tokens)))
        self.world.run(self.process, produced)

    def test_job_that_comes_as_new_after_a_division_starts_no_task_twice(self) -> None:
        """Its caller submits it again, at another entry VM."""
        self.assign(10)
        self.world.advance(400)
        job_ids = [f"j{n}" for n in range(9) if sharding.get_shard(f"j{n}", 2) == 1]
        for job_id in job_ids:
            self.world.submit(self.process, job_id, work_ms=2_000)
        self.world.advance(50)
        self.assign(21, 22)
        for job_id in job_ids:
            self.world.submit(self.process, job_id, work_ms=2_000, hand_in=2)
        self.world.advance(1_000)
        self.assertEqual(self.world.breaches, [])

    def test_open_job_that_is_sent_again_stays_in_its_shard(self) -> None:
        """Meanwhile an endpoint that is large enough joins the shard of its id."""
        self.assign(21, 21)
        self.world.advance(3_000)
        large = {sharding.get_shard(f"large-{n}", 2): f"large-{n}" for n in range(8)}
        home = sharding.get_shard("j", 2)
        self.world.add_endpoint(large[1 - home], 96_000)
        self.announce(large[1 - home])
        self.world.advance(3_000)
        self.send_large_job()
        self.world.advance(300)
        self.assertEqual(len(self.world.starts), 1)
        self.world.add_endpoint(large[home], 96_000)
        self.announce(large[home])
        self.world.advance(400)
        self.send_large_job()
        self.world.advance(100)
        self.assertEqual(self.world.breaches, [])

    def test_job_that_fits_only_in_another_shard_is_taken_there(self) -> None:
        """It names the token of the shard of its id; the other shard has another."""
        large = {sharding.get_shard(f"large-{n}", 2): f"large-{n}" for n in range(8)}
        home = sharding.get_shard("j", 2)
        self.world.add_endpoint(large[1 - home], 96_000)
        self.announce(large[1 - home])
        self.assign(21, 22)
        self.world.advance(400)
        step = messages.SubmittedStep(1, 80_000, 64, 0, 60, (), "", "", 0)
        terms = manifest.Terms("queue", "service", 0, 3, 1.6, 60)
        submit = messages.Submit(
            "j", terms, "", (step,), 0, 1_000, 0, 1, (21, 22)[home]
        )
        produced = self.process.on_submit(simulation.ENTRY, submit)
        refusal = messages.NotDispatching("j", "", 1)
        self.assertNotIn(effects.Send(simulation.ENTRY, refusal), produced)

    def send_large_job(self) -> None:
        self.world.submit(
            self.process, "j", 1, 2_000, 80_000, patience_ms=9_000, hand_in=1
        )


class ClaimedRunTest(unittest.TestCase):
    def test_run_that_a_cut_off_dispatcher_claimed_is_not_started_outside(self) -> None:
        """The owner outside counts the entry VM as lost only after its own lease."""
        lost_ms = participant.SILENT_ENTRY_MS + membership.REPLY_TIMEOUT_MS
        for offset_ms in range(0, 250, 25):
            world, outside, inner = run_on_one_endpoint(2_000)
            world.advance(offset_ms)
            world.cut_links |= {("a", inner)}
            world.cut_links |= {("b", name) for name in world.endpoints} - {
                ("b", inner)
            }
            inside = world.add_dispatcher("b", 0)
            world.advance(450)
            world.run(inside, inside.set_fence(11))
            world.submit(inside, "j", 1, 2_000, attempt_base=100)
            world.advance(lost_ms - 450)
            world.run(outside, outside.on_entry_lost(simulation.ENTRY))
            world.advance(1_000)
            self.assertEqual(world.breaches, [], offset_ms)

    def test_late_lead_starts_no_run_again_that_another_dispatcher_claimed(
        self,
    ) -> None:
        """It counts members as silent by a clock that slows down, its leases do not."""
        for tick_ms in (20, 100):
            world, outside, inner = run_on_one_endpoint(2_000)
            members = membership.Membership("a", True, (), world.clock)
            members.record_heartbeat(build_entry())
            world.cut_links |= {("a", inner), ("b", "e1"), ("b", "e2")}
            inside = world.add_dispatcher("b", 0)
            for passed_ms in range(0, 1_500, tick_ms):
                if passed_ms == 500:
                    world.run(inside, inside.set_fence(11))
                    world.submit(inside, "j", 1, 2_000, attempt_base=100)
                world.advance(tick_ms, tick_ms)
                members.tick()
                if members.take_silent():
                    world.run(outside, outside.on_entry_lost(simulation.ENTRY))
            self.assertEqual(world.breaches, [], tick_ms)

    def test_owner_that_hears_no_lead_stops_before_its_jobs_start_elsewhere(
        self,
    ) -> None:
        """It still hears the entry VM, which has gone over to the next owner."""
        world, former, name = run_on_one_endpoint(5_000)
        world.cut_links.add(("b", name))
        second = world.add_dispatcher("b", 0)
        world.advance(membership.UNRESPONSIVE_MS)
        world.run(second, second.set_fence(11))
        world.submit(second, "j", 1, 5_000, attempt_base=100, patience_ms=20_000)
        world.advance(sharding.LEAD_TIMEOUT_MS)
        world.run(former, former.set_fence(0))
        world.advance(1_500)
        self.assertEqual(world.breaches, [])


def build_entry() -> fleet_messages.Presence:
    """Return the state of an entry VM that sends heartbeats at the fast rate."""
    return fleet_messages.Presence(
        simulation.ENTRY, False, "d", "", True, False, 0, 0, "a", "a", 1
    )


if __name__ == "__main__":
    unittest.main()
