from __future__ import annotations

import random
import unittest

from bench.pool import simulation
from knapweedbeam_core.fleet import dispatcher_role, membership, sharding
from knapweedbeam_core.fleet import messages as fleet_messages
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import messages, shards

ENDPOINTS = 12


class Owners:
    """Two processes that share the endpoints of a simulation, and the open jobs."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = simulation.Simulation(seed)
        for number in range(ENDPOINTS):
            self.simulation.add_endpoint(f"i-{number}")
        self.processes = {name: self.add(name) for name in "ab"}
        self.owners = ["a"]
        self.sent: dict[str, int] = {}
        self.down: set[str] = set()

    def add(self, name: str) -> shards.ShardedDispatcher:
        """Add a process that was on standby for some time."""
        clock = self.simulation.clock
        made = shards.ShardedDispatcher(name, simulation.BOUNDS, clock)
        made.started_ms -= 10_000
        made.dispatchers[0].started_ms = made.started_ms
        for endpoint in self.simulation.endpoints.values():
            made.on_announcement(endpoint.build_announcement())
        self.simulation.dispatchers.append(made)
        return made

    def assign(self, owners: list[str], tokens: list[int]) -> None:
        """Let each shard have an owner, and send the open jobs to new owners."""
        for name, process in self.processes.items():
            own = {
                shard: token
                for shard, token in enumerate(tokens)
                if owners[shard] == name
            }
            if name not in self.down:
                produced = process.set_tokens(len(owners), own)
                self.simulation.run(process, produced)
        before, self.owners = self.owners, owners
        for job_id in list(self.sent):
            if self.simulation.get_outcome(job_id):
                continue
            old = before[sharding.get_shard(job_id, len(before))]
            if len(before) != len(owners) or old != self.get_owner(job_id):
                self.sent[job_id] += 100
                self.send(job_id)

    def get_owner(self, job_id: str) -> str:
        return self.owners[sharding.get_shard(job_id, len(self.owners))]

    def submit(self, count: int) -> None:
        for _ in range(count):
            job_id = f"{self.rng.getrandbits(64):016x}"
            self.sent[job_id] = 0
            self.send(job_id, self.rng.choice((30, 200, 900)))

    def send(self, job_id: str, work_ms: int = 0) -> None:
        self.simulation.submit(
            self.processes[self.get_owner(job_id)],
            job_id,
            count=4,
            work_ms=work_ms or self.simulation.work_ms[job_id],
            patience_ms=20_000,
            slack_factor=50,
            attempt_base=self.sent[job_id],
        )

    def list_open(self) -> list[str]:
        return [
            job_id for job_id in self.sent if not self.simulation.get_outcome(job_id)
        ]


class ShardsTest(unittest.TestCase):
    def assert_all_complete(self, owners: Owners, case: object) -> None:
        owners.simulation.advance(15_000)
        self.assertEqual(owners.simulation.breaches, [], case)
        self.assertEqual(owners.list_open(), [], case)

    def test_division_while_jobs_run_starts_no_task_twice(self) -> None:
        for seed in range(10):
            owners = Owners(seed)
            owners.assign(["a"], [10])
            owners.simulation.advance(200)
            owners.submit(10)
            owners.simulation.advance(seed * 20)
            owners.assign(["a", "b"], [21, 22])
            owners.submit(5)
            self.assert_all_complete(owners, seed)

    def test_end_of_division_while_jobs_run_starts_no_task_twice(self) -> None:
        for seed in range(10):
            owners = Owners(seed)
            owners.assign(["a", "b"], [21, 22])
            owners.simulation.advance(200)
            owners.submit(10)
            owners.simulation.advance(seed * 20)
            owners.assign(["b"], [31])
            owners.submit(5)
            self.assert_all_complete(owners, seed)

    def test_lost_owner_is_replaced_and_no_task_starts_twice(self) -> None:
        for seed in range(10):
            owners = Owners(seed)
            owners.assign(["a", "b"], [21, 22])
            owners.simulation.advance(200)
            owners.submit(10)
            owners.simulation.advance(seed * 20)
            owners.down.add("a")
            owners.simulation.dispatchers.remove(owners.processes["a"])
            owners.simulation.cut_links |= {("a", f"i-{n}") for n in range(ENDPOINTS)}
            owners.simulation.advance(450)
            owners.assign(["b", "b"], [32, 22])
            owners.submit(5)
            self.assert_all_complete(owners, seed)

    def test_successor_of_a_lost_shard_learns_the_shares_of_room_anew(self) -> None:
        owners = Owners(1)
        owners.assign(["a", "b"], [21, 22])
        owners.simulation.advance(200)
        owners.submit(20)
        owners.simulation.advance(100)
        owners.down.add("a")
        owners.simulation.dispatchers.remove(owners.processes["a"])
        owners.simulation.cut_links |= {("a", f"i-{n}") for n in range(ENDPOINTS)}
        owners.simulation.advance(450)
        successor = owners.processes["b"].dispatchers[0]
        self.assertEqual(successor.task_starter.room.shortages, {})
        owners.assign(["b", "b"], [32, 22])
        parts = successor.task_starter.room.shortages["service"].shares.get_parts(
            owners.simulation.now_ms
        )
        self.assertEqual(sum(parts.values()), 1.0)
        self.assert_all_complete(owners, "")

    def test_two_owners_that_act_at_once_start_no_task_twice(self) -> None:
        """The former owner learns of the change only after a second."""
        for seed in range(10):
            owners = Owners(seed)
            owners.assign(["a", "b"], [21, 22])
            owners.simulation.advance(200)
            owners.submit(10)
            owners.simulation.advance(seed * 20)
            owners.down.add("a")
            owners.assign(["b", "b"], [32, 22])
            owners.submit(5)
            owners.simulation.advance(1_000)
            owners.processes["a"].set_tokens(2, {})
            self.assert_all_complete(owners, seed)

    def test_each_process_uses_the_endpoints_of_its_shards_only(self) -> None:
        owners = Owners(1)
        owners.assign(["a", "b"], [21, 22])
        owners.simulation.advance(200)
        owners.submit(20)
        self.assert_all_complete(owners, "")
        for _, endpoint, call in owners.simulation.starts:
            shard = sharding.get_shard(endpoint, 2)
            self.assertEqual(call.fence, [21, 22][shard])

    def test_job_belongs_to_a_shard_where_its_tasks_fit(self) -> None:
        owners = Owners(1)
        owners.assign(["a", "b"], [21, 22])
        process = owners.processes["a"]
        large = owners.simulation.add_endpoint("i-large", 96_000)
        process.on_announcement(large.build_announcement())
        step = messages.SubmittedStep(1, 80_000, 64, 0, 60, (), "", "", 0)
        terms = manifest.Terms("queue", "service", 0, 3, 1.6, 60)
        expected = sharding.get_shard("i-large", 2)
        for number in range(8):
            submit = messages.Submit(f"j{number}", terms, "", (step,), 0, 1_000, 0)
            self.assertEqual(process.find_shard(submit), expected)

    def test_process_without_a_shard_is_ready_for_one(self) -> None:
        owners = Owners(1)
        process = owners.processes["b"]
        process.set_tokens(3, {})
        self.assertEqual(len(process.dispatchers), 3)
        process.set_tokens(1, {})
        self.assertEqual(len(process.dispatchers), 3)
        self.assertFalse(process.is_active())

    def test_speed_and_health_are_kept_when_endpoints_are_divided(self) -> None:
        owners = Owners(1)
        owners.assign(["a"], [10])
        process = owners.processes["a"]
        process.find("i-3").endpoints["i-3"].speed.restore(0.5, 9)
        process.find("i-4").endpoints["i-4"].health.faults = 1
        process.divide(3)
        self.assertEqual(process.count_endpoints(), ENDPOINTS)
        self.assertEqual(process.find("i-3").endpoints["i-3"].speed.value, 0.5)
        self.assertEqual(process.find("i-4").endpoints["i-4"].health.faults, 1)

    def test_owner_that_gave_up_a_shard_may_still_have_used_its_endpoints(self) -> None:
        """Its next list names none of them; a task may run on one all the same."""
        process = Owners(1).processes["b"]
        process.set_tokens(2, {})
        used = messages.LearnedSpeed("i-3", 1, 1.0, 0)
        process.on_speeds("x", messages.SpeedsLearned((used,)))
        process.on_speeds("x", messages.SpeedsLearned(()))
        predecessors = process.find("i-3").takeover.predecessors
        self.assertTrue(predecessors.may_miss_endpoints(("x",), set()))


class Follower:
    """Process `a`, which owns the shards that the lead it follows gives to it."""

    def __init__(self) -> None:
        self.owners = Owners(1)
        self.process = self.owners.processes["a"]
        timer = self.owners.simulation.clock
        self.members = membership.Membership("a", True, (), timer)
        self.role = dispatcher_role.DispatcherRole(self.members, 1, timer)
        self.sharding = sharding.Sharding(self.members, self.role, 1, timer)

    def follow(self, lead: str, owners: str, tokens: list[int]) -> None:
        table = tuple(
            fleet_messages.ShardOwner(name, 1, token)
            for name, token in zip(owners, tokens, strict=True)
        )
        presence = fleet_messages.Presence(
            lead, True, "domain", "", True, False, 50, 50, lead, "", 1, shards=table
        )
        self.members.record_heartbeat(presence)
        self.role.following = dispatcher_role.Choice(lead, 50)
        self.sharding.update(presence, sharding.Work(ENDPOINTS, True, False))
        produced = self.process.set_tokens(2, self.sharding.list_own_tokens())
        self.owners.simulation.run(self.process, produced)

    def submit(self, job_id: str, work_ms: int, token: int) -> None:
        """Send a job as an entry VM does that has seen no change."""
        self.owners.simulation.submit(
            self.process,
            job_id,
            4,
            work_ms,
            patience_ms=20_000,
            slack_factor=50,
            token=token,
        )


class ReturningTokenTest(unittest.TestCase):
    def test_shard_given_back_with_its_token_runs_no_task_twice(self) -> None:
        follower = Follower()
        played = follower.owners.simulation
        follower.follow("lead", "aa", [21, 21])
        played.advance(200)
        follower.submit("long", 900, 21)
        follower.submit("short", 120, 21)
        played.advance(100)
        follower.follow("other", "bb", [22, 22])
        played.advance(20)
        follower.follow("lead", "aa", [21, 21])
        follower.submit("long", 900, 21)
        played.advance(3_000)
        self.assertEqual(played.breaches, [])


if __name__ == "__main__":
    unittest.main()
