from __future__ import annotations

import dataclasses
import unittest

from knapweedbeam_core import clock
from knapweedbeam_core.fleet import dispatcher_role, membership, messages

TICK_MS = 20


class Process:
    """A process with its view of the members and its dispatcher role."""

    def __init__(self, name: str, is_core: bool, timer: clock.Clock) -> None:
        self.name = name
        self.is_core = is_core
        self.members = membership.Membership(name, is_core, (), timer)
        self.dispatcher_role = dispatcher_role.DispatcherRole(
            self.members, hash(name), timer
        )
        self.is_up = True
        self.is_stopping = False
        self.is_ready = True

    def get_presence(self) -> messages.Presence:
        return messages.Presence(
            self.name,
            self.is_core,
            "domain",
            "",
            self.is_ready,
            self.is_stopping,
            self.dispatcher_role.generation,
            self.members.highest_generation,
            self.dispatcher_role.following.name,
            "",
            1,
        )


class Deployment:
    """Processes that receive heartbeats at once, except across partitions."""

    def __init__(self, cores: int, entries: int) -> None:
        self.clock = clock.ManualClock(0, 1_700_000_000_000)
        names = [(f"c{number}", True) for number in range(cores)]
        names += [(f"e{number}", False) for number in range(entries)]
        self.processes = {
            name: Process(name, is_core, self.clock) for name, is_core in names
        }
        self.partitioned: set[frozenset[str]] = set()

    def partition(self, some: list[str], others: list[str]) -> None:
        self.partitioned |= {frozenset((a, b)) for a in some for b in others}

    def advance(self, by_ms: int) -> None:
        for _ in range(0, by_ms, TICK_MS):
            self.clock.advance(TICK_MS)
            running = [process for process in self.processes.values() if process.is_up]
            for process in running:
                process.dispatcher_role.update(process.get_presence())
            for sender in running:
                presence = sender.get_presence()
                for receiver in running:
                    pair = frozenset((sender.name, receiver.name))
                    if len(pair) == 2 and pair not in self.partitioned:
                        receiver.members.record_heartbeat(presence)

    def get_followed_names(self, *names: str) -> set[str]:
        return {self.processes[name].dispatcher_role.following.name for name in names}

    def get_active_names(self) -> list[str]:
        return [
            p.name
            for p in self.processes.values()
            if p.is_up and p.dispatcher_role.generation
        ]


class DispatcherRoleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = Deployment(3, 4)
        self.deployment.advance(1_500)

    def test_one_core_process_dispatches(self) -> None:
        self.assertEqual(self.deployment.get_active_names(), ["c0"])
        self.assertEqual(self.deployment.get_followed_names("e0", "e3", "c1"), {"c0"})

    def test_a_lost_dispatcher_is_replaced_within_a_second(self) -> None:
        self.deployment.processes["c0"].is_up = False
        self.deployment.advance(800)
        self.assertEqual(self.deployment.get_active_names(), ["c1"])
        self.assertEqual(self.deployment.get_followed_names("e0", "e3", "c2"), {"c1"})

    def test_a_successor_has_a_higher_token(self) -> None:
        first = self.deployment.processes["c0"].dispatcher_role.generation
        self.deployment.processes["c0"].is_up = False
        self.deployment.advance(800)
        second = self.deployment.processes["c1"].dispatcher_role.generation
        self.assertGreater(second, first)

    def test_a_returning_dispatcher_does_not_become_active_again(self) -> None:
        self.deployment.processes["c0"].is_up = False
        self.deployment.advance(800)
        restarted = Process("c0", True, self.deployment.clock)
        self.deployment.processes["c0"] = restarted
        self.deployment.advance(2_000)
        self.assertEqual(self.deployment.get_active_names(), ["c1"])

    def test_a_frozen_dispatcher_gives_up_the_role(self) -> None:
        self.deployment.processes["c0"].is_up = False
        self.deployment.advance(3_000)
        self.deployment.processes["c0"].is_up = True
        self.deployment.advance(200)
        self.assertEqual(self.deployment.get_active_names(), ["c1"])

    def test_candidate_that_is_often_late_claims_the_role(self) -> None:
        """It counted as catching up for as long as one tick in ten came late."""
        timer = clock.ManualClock(0, 1_700_000_000_000)
        candidate = Process("c0", True, timer)
        entry = Process("e0", False, timer)
        for number in range(1_000):
            timer.advance(500 if number % 10 == 0 else TICK_MS)
            heard = dataclasses.replace(entry.get_presence(), following="c0")
            candidate.members.record_heartbeat(heard)
            candidate.dispatcher_role.update(candidate.get_presence())
        self.assertNotEqual(candidate.dispatcher_role.generation, 0)

    def test_a_frozen_candidate_that_wakes_claims_nothing_by_what_it_heard(
        self,
    ) -> None:
        """It was about to take over when it stood still; another one did meanwhile."""
        for frozen_ms in range(400, 600, TICK_MS):
            deployment = Deployment(3, 4)
            deployment.advance(1_500)
            deployment.processes["c0"].is_up = False
            deployment.advance(frozen_ms)
            candidate = deployment.processes["c1"]
            before = candidate.dispatcher_role.generation
            candidate.is_up = False
            deployment.advance(3_000)
            self.assertEqual(deployment.get_active_names(), ["c2"])
            candidate.is_up = True
            deployment.advance(TICK_MS)
            self.assertEqual(candidate.dispatcher_role.generation, before, frozen_ms)

    def test_a_partitioned_domain_gets_its_own_dispatcher(self) -> None:
        inside, outside = ["c1", "e0"], ["c0", "c2", "e1", "e2", "e3"]
        self.deployment.partition(inside, outside)
        self.deployment.advance(1_000)
        self.assertEqual(self.deployment.get_followed_names("e0"), {"c1"})
        self.assertEqual(self.deployment.get_followed_names("e1", "e2", "e3"), {"c0"})
        self.deployment.partitioned.clear()
        self.deployment.advance(600)
        self.assertEqual(len(self.deployment.get_active_names()), 1)

    def test_a_partition_between_core_processes_keeps_the_dispatcher(
        self,
    ) -> None:
        self.deployment.partition(["c0"], ["c1", "c2"])
        self.deployment.advance(3_000)
        self.assertEqual(self.deployment.get_active_names(), ["c0"])

    def test_a_dispatcher_reaching_one_entry_process_is_replaced_for_all(self) -> None:
        self.deployment.partition(["c0"], ["c1", "c2", "e1", "e2", "e3"])
        self.deployment.advance(1_000)
        self.assertIn("c1", self.deployment.get_active_names())
        followed = self.deployment.get_followed_names("e0", "e1", "e2", "e3")
        self.assertEqual(followed, {"c1"})
        self.deployment.advance(1_500)
        self.assertEqual(self.deployment.get_active_names(), ["c1"])

    def test_a_short_link_loss_at_one_entry_process_changes_nothing(self) -> None:
        self.deployment.partition(["c0"], ["e1"])
        self.deployment.advance(700)
        self.deployment.partitioned.clear()
        self.deployment.advance(1_000)
        self.assertEqual(self.deployment.get_active_names(), ["c0"])

    def test_entry_processes_dispatch_when_the_core_is_down(self) -> None:
        self.deployment.advance(dispatcher_role.ENTRY_LISTEN_MS)
        for name in ("c0", "c1", "c2"):
            self.deployment.processes[name].is_up = False
        self.deployment.advance(1_200)
        self.assertEqual(self.deployment.get_active_names(), ["e0"])
        self.assertEqual(self.deployment.get_followed_names("e1", "e3"), {"e0"})
        self.deployment.processes["c2"].is_up = True
        self.deployment.advance(1_200)
        self.assertEqual(self.deployment.get_active_names(), ["c2"])

    def test_entry_processes_wait_for_a_core_that_starts_a_second_later(self) -> None:
        deployment = Deployment(3, 4)
        for name in ("c0", "c1", "c2"):
            deployment.processes[name].is_up = False
        deployment.advance(1_000)
        self.assertEqual(deployment.get_active_names(), [])
        for name in ("c0", "c1", "c2"):
            deployment.processes[name].is_up = True
        deployment.advance(700)
        self.assertEqual(deployment.get_active_names(), ["c0"])

    def test_a_stopping_dispatcher_hands_over_before_it_exits(self) -> None:
        self.deployment.processes["c0"].is_stopping = True
        self.deployment.advance(200)
        self.assertEqual(self.deployment.get_active_names(), ["c1"])

    def test_the_role_is_kept_until_the_successor_is_active(self) -> None:
        self.deployment.processes["c0"].is_stopping = True
        for _ in range(20):
            self.deployment.advance(TICK_MS)
            self.assertTrue(self.deployment.get_active_names())
        self.assertEqual(self.deployment.get_active_names(), ["c1"])

    def test_a_core_process_without_endpoints_does_not_become_active(self) -> None:
        self.deployment.advance(dispatcher_role.ENTRY_LISTEN_MS)
        for name in ("c0", "c1", "c2"):
            self.deployment.processes[name].is_up = False
        self.deployment.advance(1_200)
        restarted = Process("c1", True, self.deployment.clock)
        restarted.is_ready = False
        self.deployment.processes["c1"] = restarted
        self.deployment.advance(1_500)
        self.assertEqual(self.deployment.get_active_names(), ["e0"])
        restarted.is_ready = True
        self.deployment.advance(400)
        self.assertEqual(self.deployment.get_active_names(), ["c1"])

    def test_a_refused_token_is_not_used_again(self) -> None:
        process = self.deployment.processes["c0"]
        before = process.dispatcher_role.generation
        process.dispatcher_role.handle_refused_token(500)
        self.deployment.advance(1_500)
        self.assertNotEqual(process.dispatcher_role.generation, before)
        self.assertEqual(len(self.deployment.get_active_names()), 1)


class MembershipTest(unittest.TestCase):
    def test_a_member_list_adds_members(self) -> None:
        timer = clock.ManualClock(0)
        members = membership.Membership("e9", False, ("c0",), timer)
        presence = Process("c0", True, timer).get_presence()
        members.record_heartbeat(
            dataclasses.replace(presence, members=("c0", "c1", "e1"))
        )
        self.assertEqual(members.get_link_peers(), {"c0", "c1", "e1"})

    def test_an_entry_process_links_only_to_core_and_standbys(self) -> None:
        timer = clock.ManualClock(0)
        members = membership.Membership("e9", False, (), timer)
        for name in ("c0", "e1", "e2", "e3", "e4", "e5"):
            members.record_heartbeat(Process(name, name == "c0", timer).get_presence())
        self.assertEqual(members.get_link_peers(), {"c0", "e1", "e2", "e3"})

    def test_a_process_that_stood_still_takes_no_member_for_lost(self) -> None:
        timer = clock.ManualClock(0)
        members = membership.Membership("e0", False, (), timer)
        presence = Process("c0", True, timer).get_presence()
        for _ in range(10):
            timer.advance(TICK_MS)
            members.tick()
            members.record_heartbeat(presence)
        timer.advance(3_000)
        members.tick()
        self.assertTrue(members.is_live("c0"))
        self.assertEqual([p.name for p in members.get_live()], ["c0"])
        for _ in range(0, 500, TICK_MS):
            timer.advance(TICK_MS)
            members.tick()
        self.assertFalse(members.is_live("c0"))

    def test_a_member_without_contact_for_long_is_removed(self) -> None:
        timer = clock.ManualClock(0)
        members = membership.Membership("e9", False, ("c0",), timer)
        members.record_heartbeat(Process("e1", False, timer).get_presence())
        for _ in range(0, membership.FORGET_AFTER_MS, TICK_MS):
            timer.advance(TICK_MS)
            members.tick()
            members.remove_stale()
        self.assertEqual(set(members.members), {"c0", "e1"})
        timer.advance(TICK_MS)
        members.tick()
        members.remove_stale()
        self.assertEqual(set(members.members), {"c0"})


if __name__ == "__main__":
    unittest.main()
