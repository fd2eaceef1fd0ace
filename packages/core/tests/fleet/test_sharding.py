from __future__ import annotations

import dataclasses
import unittest

from knapweedbeam_core import clock
from knapweedbeam_core.fleet import (
    dispatcher_role,
    membership,
    messages,
    relief,
    sharding,
)

TICK_MS = 20
WORK = sharding.Work(360, has_open_jobs=False, has_stored_jobs=False)


class Process:
    """A process with its view of the members, the lead and the shards."""

    def __init__(
        self, name: str, is_core: bool, timer: clock.Clock, number: int
    ) -> None:
        self.name = name
        self.is_core = is_core
        self.incarnation = number
        self.members = membership.Membership(name, is_core, (), timer)
        self.role = dispatcher_role.DispatcherRole(self.members, number, timer)
        self.sharding = sharding.Sharding(self.members, self.role, number, timer)
        self.is_up = True
        self.is_stopping = False
        self.is_overloaded = False

    def build_presence(self) -> messages.Presence:
        return messages.Presence(
            self.name,
            self.is_core,
            "domain",
            "",
            True,
            self.is_stopping,
            self.role.generation,
            self.members.highest_generation,
            self.role.following.name,
            "",
            1,
            incarnation=self.incarnation,
            shards=self.sharding.table if self.role.generation else (),
            refused=tuple(token for _, token in sorted(self.sharding.refused)),
            refused_shards=tuple(shard for shard, _ in sorted(self.sharding.refused)),
            is_overloaded=self.is_overloaded,
        )


class Deployment:
    """Processes that receive heartbeats at once, except across partitions."""

    def __init__(self, cores: int, entries: int, work: sharding.Work = WORK) -> None:
        self.clock = clock.ManualClock(0, 1_700_000_000_000)
        self.work = work
        self.numbers = 0
        self.processes: dict[str, Process] = {}
        for number in range(cores):
            self.start(f"c{number}", True)
        for number in range(entries):
            self.start(f"e{number}", False)
        self.partitioned: set[frozenset[str]] = set()

    def start(self, name: str, is_core: bool) -> None:
        self.numbers += 1
        self.processes[name] = Process(name, is_core, self.clock, self.numbers)

    def partition(self, some: list[str], others: list[str]) -> None:
        self.partitioned |= {frozenset((a, b)) for a in some for b in others}

    def advance(self, by_ms: int) -> None:
        for _ in range(0, by_ms, TICK_MS):
            self.clock.advance(TICK_MS)
            running = [process for process in self.processes.values() if process.is_up]
            for process in running:
                process.role.update(process.build_presence())
                process.sharding.update(process.build_presence(), self.work)
            for sender in running:
                presence = sender.build_presence()
                for receiver in running:
                    pair = frozenset((sender.name, receiver.name))
                    if len(pair) == 2 and pair not in self.partitioned:
                        receiver.members.record_heartbeat(presence)

    def get_lead(self) -> Process:
        (lead,) = [p for p in self.processes.values() if p.is_up and p.role.generation]
        return lead

    def get_owned(self) -> dict[int, list[str]]:
        """Return the processes that believe to own each shard."""
        owned: dict[int, list[str]] = {}
        for process in self.processes.values():
            if process.is_up:
                for shard in process.sharding.list_own_tokens():
                    owned.setdefault(shard, []).append(process.name)
        return owned


class CountTest(unittest.TestCase):
    def test_number_of_shards_follows_endpoints_and_core_vms(self) -> None:
        for endpoints, owners, expected in (
            (0, 4, 1),
            (24, 4, 1),
            (119, 4, 1),
            (176, 8, 2),
            (270, 6, 4),
            (360, 6, 6),
            (1_200, 7, 7),
        ):
            work = sharding.Work(endpoints, False, False)
            count = sharding.count_shards(work, owners, 60)
            self.assertEqual(count, expected, endpoints)

    def test_size_of_shards_follows_the_processor_of_core_vms(self) -> None:
        for cores, expected in ((0, 60), (2.58, 60), (1.72, 60), (0.4, 14), (0.1, 12)):
            self.assertEqual(sharding.get_endpoints_per_shard(cores), expected)

    def test_stored_jobs_are_placed_by_one_dispatcher(self) -> None:
        work = sharding.Work(270, has_open_jobs=False, has_stored_jobs=True)
        self.assertEqual(sharding.count_shards(work, 6, 60), 1)

    def test_shards_are_of_similar_size(self) -> None:
        counts = [0] * 6
        for number in range(1_200):
            counts[sharding.get_shard(f"i-{number * 7919:08x}", 6)] += 1
        self.assertGreater(min(counts), 150)


class ShardingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = Deployment(6, 3)
        self.deployment.advance(4_000)

    def assert_each_shard_has_one_owner(self) -> None:
        owned = self.deployment.get_owned()
        self.assertEqual(sorted(owned), list(range(6)))
        self.assertEqual([len(names) for names in owned.values()], [1] * 6)

    def test_each_core_vm_owns_a_shard(self) -> None:
        self.assert_each_shard_has_one_owner()
        owners = {names[0] for names in self.deployment.get_owned().values()}
        self.assertEqual(owners, {f"c{number}" for number in range(6)})

    def test_a_small_deployment_is_not_divided(self) -> None:
        deployment = Deployment(4, 3, dataclasses.replace(WORK, endpoint_count=24))
        deployment.advance(4_000)
        self.assertEqual(deployment.get_owned(), {0: ["c0"]})
        self.assertEqual(deployment.get_lead().sharding.table, ())

    def test_division_waits_for_a_pause_in_the_work(self) -> None:
        busy = dataclasses.replace(WORK, has_open_jobs=True)
        deployment = Deployment(6, 3, busy)
        deployment.advance(2_200)
        self.assertEqual(deployment.get_lead().sharding.table, ())
        deployment.work = WORK
        deployment.advance(200)
        self.assertEqual(len(deployment.get_lead().sharding.table), 6)

    def test_division_under_load_does_not_wait_for_long(self) -> None:
        busy = dataclasses.replace(WORK, has_open_jobs=True)
        deployment = Deployment(6, 3, busy)
        deployment.advance(sharding.MAX_PAUSE_WAIT_MS + 1_000)
        self.assertEqual(len(deployment.get_lead().sharding.table), 6)

    def test_number_of_shards_counts_core_vms_that_are_away(self) -> None:
        deployment = Deployment(6, 3, dataclasses.replace(WORK, endpoint_count=0))
        deployment.advance(1_500)
        for name in ("c3", "c4", "c5"):
            deployment.processes[name].is_up = False
        deployment.work = WORK
        deployment.advance(3_000)
        self.assertEqual(len(deployment.get_lead().sharding.table), 6)
        self.assertEqual(len(deployment.get_owned()), 6)

    def test_loss_of_an_owner_concerns_only_its_shard(self) -> None:
        before = self.deployment.get_lead().sharding.table
        self.deployment.processes["c3"].is_up = False
        self.deployment.advance(600)
        after = self.deployment.get_lead().sharding.table
        changed = [n for n in range(6) if before[n] != after[n]]
        self.assertEqual([before[n].name for n in changed], ["c3"])
        self.assertGreater(after[changed[0]].token, before[changed[0]].token)
        self.assert_each_shard_has_one_owner()

    def test_loss_of_the_lead_keeps_the_other_owners(self) -> None:
        before = self.deployment.get_lead().sharding.table
        lead = self.deployment.get_lead().name
        self.deployment.processes[lead].is_up = False
        self.deployment.advance(900)
        after = self.deployment.get_lead().sharding.table
        kept = [n for n in range(6) if before[n] == after[n]]
        self.assertEqual([before[n].name for n in range(6) if n not in kept], [lead])
        self.assert_each_shard_has_one_owner()

    def test_loss_of_the_lead_and_an_owner_in_the_same_second(self) -> None:
        lead = self.deployment.get_lead().name
        self.deployment.processes[lead].is_up = False
        self.deployment.processes["c5"].is_up = False
        self.deployment.advance(900)
        self.assert_each_shard_has_one_owner()

    def test_a_restarted_owner_gets_a_new_token(self) -> None:
        before = self.deployment.get_lead().sharding.table
        self.deployment.start("c3", True)
        self.assertEqual(self.deployment.processes["c3"].sharding.list_own_tokens(), {})
        self.deployment.advance(3_000)
        after = self.deployment.get_lead().sharding.table
        shard = [owner.name for owner in before].index("c3")
        self.assertGreater(after[shard].token, before[shard].token)
        self.assert_each_shard_has_one_owner()

    def test_a_frozen_owner_that_wakes_gives_up_its_shard(self) -> None:
        self.deployment.processes["c3"].is_up = False
        self.deployment.advance(3_000)
        self.deployment.processes["c3"].is_up = True
        self.deployment.advance(100)
        self.assert_each_shard_has_one_owner()

    def test_a_refused_token_stays_refused_while_two_leads_alternate(self) -> None:
        timer = clock.ManualClock(0, 1_700_000_000_000)
        own = messages.ShardOwner("c0", 1, 50)
        process = Process("c0", True, timer, 1)

        def follow(lead: str, generation: int, table: sharding.Table) -> None:
            presence = Process(lead, True, timer, generation).build_presence()
            process.members.record_heartbeat(
                dataclasses.replace(presence, generation=generation, shards=table)
            )
            process.role.following = dispatcher_role.Choice(lead, generation)
            process.sharding.update(process.build_presence(), WORK)

        follow("c1", 40, (own, own))
        self.assertTrue(process.sharding.handle_refused_token(50))
        follow("c2", 41, (messages.ShardOwner("c2", 41, 60),) * 2)
        follow("c1", 40, (own, own))
        self.assertEqual(process.sharding.list_own_tokens(), {})

    def test_a_frozen_lead_that_wakes_divides_nothing_by_what_it_knew(self) -> None:
        """The deployment grew just before; its successor has divided it since."""
        deployment = Deployment(6, 3, dataclasses.replace(WORK, endpoint_count=0))
        deployment.advance(1_500)
        former = deployment.get_lead()
        deployment.work = WORK
        deployment.advance(100)
        former.is_up = False
        deployment.advance(4_000)
        former.is_up = True
        deployment.advance(TICK_MS)
        self.assertEqual(former.sharding.table, ())

    def test_a_lead_that_is_often_late_replaces_a_lost_owner(self) -> None:
        """It counted as catching up for as long as one tick in ten came late."""
        lead = self.deployment.get_lead()
        names = {owner.name for owner in lead.sharding.table} - {lead.name}
        lost = min(names)
        self.deployment.processes[lost].is_up = False
        for _ in range(40):
            self.deployment.clock.advance(500 - TICK_MS)
            self.deployment.advance(10 * TICK_MS)
        table = self.deployment.get_lead().sharding.table
        self.assertNotIn(lost, [owner.name for owner in table])

    def test_a_process_that_returned_gets_a_shard_again(self) -> None:
        self.deployment.processes["c3"].is_up = False
        self.deployment.advance(3_000)
        self.deployment.start("c3", True)
        self.deployment.advance(2_000)
        owners = {names[0] for names in self.deployment.get_owned().values()}
        self.assertNotIn("c3", owners)
        self.deployment.advance(sharding.MATURE_MS)
        owners = {names[0] for names in self.deployment.get_owned().values()}
        self.assertIn("c3", owners)
        self.assert_each_shard_has_one_owner()

    def test_a_stopping_owner_hands_its_shard_over(self) -> None:
        self.deployment.processes["c3"].is_stopping = True
        self.deployment.advance(100)
        self.assertEqual(self.deployment.processes["c3"].sharding.list_own_tokens(), {})
        self.assert_each_shard_has_one_owner()

    def test_an_owner_without_a_lead_gives_up_its_shard(self) -> None:
        others = [name for name in self.deployment.processes if name != "c3"]
        self.deployment.partition(["c3"], others)
        self.deployment.advance(sharding.LEAD_TIMEOUT_MS + 700)
        self.assertEqual(self.deployment.processes["c3"].sharding.list_own_tokens(), {})

    def test_a_partitioned_domain_dispatches_on_all_shards_itself(self) -> None:
        inside = ["c3", "e1"]
        outside = [name for name in self.deployment.processes if name not in inside]
        self.deployment.partition(inside, outside)
        self.deployment.advance(2_000)
        own = self.deployment.processes["c3"].sharding.list_own_tokens()
        self.assertEqual(sorted(own), list(range(6)))
        self.deployment.partitioned.clear()
        self.deployment.advance(4_000)
        self.assert_each_shard_has_one_owner()

    def test_shards_are_shared_again_soon_after_a_partition(self) -> None:
        self.deployment.advance(sharding.MATURE_MS)
        inside = ["c3", "e1"]
        outside = [name for name in self.deployment.processes if name not in inside]
        self.deployment.partition(inside, outside)
        self.deployment.advance(5_800)
        self.deployment.partitioned.clear()
        self.deployment.advance(1_500)
        self.assert_each_shard_has_one_owner()
        owners = {names[0] for names in self.deployment.get_owned().values()}
        self.assertEqual(len(owners), 6)

    def test_restarted_deployment_is_divided_as_before_at_once(self) -> None:
        for name in list(self.deployment.processes):
            self.deployment.start(name, name.startswith("c"))
            self.deployment.processes[name].sharding.recalled_count = 6
        self.deployment.work = dataclasses.replace(
            WORK, endpoint_count=13, has_open_jobs=True
        )
        self.deployment.advance(1_000)
        self.assertEqual(len(self.deployment.get_lead().sharding.table), 6)
        self.assert_each_shard_has_one_owner()

    def test_core_vms_that_start_later_leave_the_division_as_it_was(self) -> None:
        late = {}
        for name in list(self.deployment.processes):
            self.deployment.start(name, name.startswith("c"))
            self.deployment.processes[name].sharding.recalled_count = 6
            if name in ("c3", "c4", "c5"):
                late[name] = self.deployment.processes[name]
                late[name].is_up = False
        self.deployment.advance(1_500)
        self.assertEqual(len(self.deployment.get_lead().sharding.table), 6)
        for process in late.values():
            process.is_up = True
        table = self.deployment.get_lead().sharding.table
        self.deployment.advance(4_000)
        self.assertEqual(len(self.deployment.get_lead().sharding.table), 6)
        self.assertEqual(self.deployment.get_lead().sharding.table, table)

    def test_count_is_known_while_no_lead_names_a_division(self) -> None:
        process = self.deployment.processes["c3"]
        process.sharding.recalled_count = 6
        process.sharding.table = ()
        self.assertEqual(process.sharding.get_known_count(), 6)

    def test_lead_of_a_running_deployment_recalls_no_division(self) -> None:
        work = dataclasses.replace(WORK, endpoint_count=24)
        deployment = Deployment(6, 3, work)
        for process in deployment.processes.values():
            process.sharding.recalled_count = 6
        deployment.clock.advance(sharding.MATURE_MS)
        deployment.advance(4_000)
        self.assertEqual(deployment.get_lead().sharding.table, ())

    def test_tokens_increase_no_faster_than_decisions(self) -> None:
        """After a loss of all memory, tokens are above former ones by the time."""
        before = self.deployment.get_lead().members.highest_generation
        self.deployment.processes["c3"].is_up = False
        self.deployment.processes["c4"].is_up = False
        self.deployment.advance(600)
        after = self.deployment.get_lead().members.highest_generation
        bits = dispatcher_role.PROCESS_BITS
        self.assertLessEqual((after >> bits) - (before >> bits), 4)
        tokens = {owner.token for owner in self.deployment.get_lead().sharding.table}
        self.assertLessEqual(len(tokens), 2)

    def test_tokens_after_a_loss_of_all_memory_are_above_former_ones(self) -> None:
        for name in ("c3", "c0", "c4"):
            self.deployment.processes[name].is_up = False
            self.deployment.advance(600)
            self.deployment.start(name, True)
            self.deployment.advance(sharding.MATURE_MS + 1_000)
        newest = self.deployment.get_lead().members.highest_generation
        for name, process in list(self.deployment.processes.items()):
            self.deployment.start(name, process.is_core)
        self.deployment.advance(1_000)
        self.assertGreater(self.deployment.get_lead().role.generation, newest)

    def test_tokens_of_a_shard_only_increase(self) -> None:
        newest = [0] * 6
        for name in ("c1", "c0", "c2", "c4"):
            self.deployment.processes[name].is_up = False
            self.deployment.advance(1_500)
            table = self.deployment.get_lead().sharding.table
            tokens = [owner.token for owner in table]
            for shard in range(6):
                self.assertGreaterEqual(tokens[shard], newest[shard])
            newest = tokens
            self.deployment.start(name, True)
            self.deployment.advance(3_000)

    def test_a_refused_token_is_replaced_by_a_higher_one(self) -> None:
        owner = self.deployment.get_lead().sharding.table[2]
        process = self.deployment.processes[owner.name]
        self.assertTrue(process.sharding.handle_refused_token(owner.token))
        self.assertNotIn(2, process.sharding.list_own_tokens())
        self.deployment.advance(600)
        self.assertGreater(process.sharding.list_own_tokens()[2], owner.token)
        self.assertEqual(process.sharding.refused, set())

    def test_refused_tokens_of_two_shards_are_replaced_at_once(self) -> None:
        """The second shard waited for the pause of the first one, without an owner."""
        for shard in (2, 4):
            owner = self.deployment.get_lead().sharding.table[shard]
            process = self.deployment.processes[owner.name]
            self.assertTrue(process.sharding.handle_refused_token(owner.token))
            self.deployment.advance(3 * TICK_MS)
            self.assertIn(shard, process.sharding.list_own_tokens())

    def test_owner_that_follows_another_lead_for_a_moment_gets_a_new_token(
        self,
    ) -> None:
        """It used the same token with an empty memory, and tasks ran twice."""
        owner = self.deployment.get_lead().sharding.table[2]
        process = self.deployment.processes[owner.name]
        self.assertFalse(process.role.generation)
        other = messages.ShardOwner("c9", 9, owner.token + 1)
        presence = Process("c9", True, self.deployment.clock, 9).build_presence()
        claim = dataclasses.replace(
            presence, generation=owner.token + 1, shards=(other,) * 6
        )
        process.members.record_heartbeat(claim)
        self.deployment.advance(TICK_MS)
        self.assertEqual(process.sharding.list_own_tokens(), {})
        process.members.record_heartbeat(presence)
        self.deployment.advance(TICK_MS)
        self.assertNotIn(owner.token, process.sharding.list_own_tokens().values())
        self.deployment.advance(600)
        self.assertGreater(process.sharding.list_own_tokens()[2], owner.token)

    def test_the_first_stored_job_ends_the_division(self) -> None:
        table = self.deployment.get_lead().sharding.table
        tokens = [owner.token for owner in table]
        self.deployment.work = dataclasses.replace(WORK, has_stored_jobs=True)
        self.deployment.advance(100)
        lead = self.deployment.get_lead()
        self.assertEqual(self.deployment.get_owned(), {0: [lead.name]})
        self.assertGreater(lead.role.generation, max(tokens))
        self.deployment.work = WORK
        self.deployment.advance(15_000)
        self.assertEqual(self.deployment.get_owned(), {0: [lead.name]})

    def test_all_processes_start_again_at_once(self) -> None:
        for name, process in list(self.deployment.processes.items()):
            self.deployment.start(name, process.is_core)
        self.deployment.advance(6_000)
        self.assert_each_shard_has_one_owner()


class ReliefTest(unittest.TestCase):
    """120 endpoints: two owners, four core VMs that stand by."""

    def setUp(self) -> None:
        self.deployment = Deployment(
            6, 3, dataclasses.replace(WORK, endpoint_count=120, has_open_jobs=True)
        )
        self.deployment.advance(relief.PAUSE_MS + 5_000)
        self.table = self.deployment.get_lead().sharding.table

    def overload(self, name: str) -> None:
        self.deployment.processes[name].is_overloaded = True

    def test_shard_of_an_overloaded_owner_moves_to_an_idle_core_vm(self) -> None:
        self.overload(self.table[1].name)
        self.deployment.advance(relief.OVERLOAD_MS + 500)
        after = self.deployment.get_lead().sharding.table
        self.assertEqual(after[0], self.table[0])
        self.assertNotIn(after[1].name, [owner.name for owner in self.table])
        self.assertGreater(after[1].token, self.table[1].token)
        self.assertEqual(
            self.deployment.get_owned(), {0: [after[0].name], 1: [after[1].name]}
        )

    def test_shard_that_overloads_its_next_owner_too_is_divided_once(self) -> None:
        for _ in range(40):
            for owner in self.deployment.get_lead().sharding.table[1:]:
                self.overload(owner.name)
            self.deployment.advance(500)
            if len(self.deployment.get_lead().sharding.table) > 2:
                break
        self.assertEqual(len(self.deployment.get_lead().sharding.table), 4)
        for process in self.deployment.processes.values():
            process.is_overloaded = False
        self.deployment.advance(20_000)
        self.assertEqual(len(self.deployment.get_lead().sharding.table), 4)
        self.assertEqual(
            [len(names) for names in self.deployment.get_owned().values()], [1] * 4
        )

    def test_shard_that_moved_long_ago_moves_again_to_another_core_vm(self) -> None:
        former = self.table[1].name
        self.overload(former)
        self.deployment.advance(relief.OVERLOAD_MS + 500)
        self.deployment.processes[former].is_overloaded = False
        self.deployment.advance(relief.MEMORY_MS)
        second = self.deployment.get_lead().sharding.table[1].name
        self.overload(second)
        self.deployment.advance(relief.OVERLOAD_MS + 500)
        after = self.deployment.get_lead().sharding.table
        self.assertEqual(len(after), 2)
        self.assertNotEqual(after[1].name, second)

    def test_some_endpoints_more_leave_a_division_as_it_is(self) -> None:
        """176 endpoints in two shards were divided again when 4 restarted."""
        self.deployment.work = dataclasses.replace(
            self.deployment.work, endpoint_count=190
        )
        self.deployment.advance(5_000)
        self.assertEqual(self.deployment.get_lead().sharding.table, self.table)
        self.deployment.work = dataclasses.replace(
            self.deployment.work, endpoint_count=360
        )
        self.deployment.advance(5_000)
        self.assertEqual(len(self.deployment.get_lead().sharding.table), 4)

    def test_owners_that_are_all_overloaded_are_divided(self) -> None:
        for owner in self.table:
            self.overload(owner.name)
        self.deployment.advance(relief.OVERLOAD_MS + sharding.MAX_PAUSE_WAIT_MS + 500)
        self.assertEqual(len(self.deployment.get_lead().sharding.table), 4)

    def test_lead_that_is_lost_meanwhile_leaves_one_owner_for_each_shard(self) -> None:
        for owner in self.table:
            self.overload(owner.name)
        self.deployment.advance(relief.OVERLOAD_MS + sharding.MAX_PAUSE_WAIT_MS)
        lead = self.deployment.get_lead()
        lead.is_up = False
        self.deployment.advance(3_000)
        owned = self.deployment.get_owned()
        self.assertEqual([len(names) for names in owned.values()], [1] * len(owned))
        self.assertNotIn([lead.name], owned.values())

    def test_small_deployment_is_not_divided_by_load(self) -> None:
        deployment = Deployment(
            4, 3, dataclasses.replace(WORK, endpoint_count=24, has_open_jobs=True)
        )
        deployment.advance(relief.PAUSE_MS + 5_000)
        deployment.get_lead().is_overloaded = True
        deployment.advance(5_000)
        self.assertEqual(deployment.get_lead().sharding.table, ())


if __name__ == "__main__":
    unittest.main()
