"""Failure detection: timeouts, new incarnations and messages of ended ones."""

from __future__ import annotations

import unittest

from knapweedbeam_core import clock, ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.membership import membership, rendezvous

OLD = ids.ProcessId("a2", 7)
NEW = ids.ProcessId("a2", 3)


class TestMembership(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(1_000)
        peers = (parts.Peer("a2", "a"), parts.Peer("b1", "b"))
        self.me = ids.ProcessId("a1", 1)
        self.membership = membership.Membership(self.me, "a", peers, self.clock)

    def test_new_incarnation_replaces_the_old_one_for_good(self) -> None:
        self.membership.record_contact(OLD)
        change = self.membership.record_contact(NEW)
        assert change is not None
        self.assertEqual((change.arrived, change.gone), (NEW, OLD))
        self.assertIsNone(self.membership.record_contact(OLD))
        self.assertEqual(self.membership.get_live(), frozenset({self.me, NEW}))

    def test_unresponsive_peer_is_gone_and_comes_back(self) -> None:
        self.membership.record_contact(OLD)
        self.clock.advance(membership.LOCAL_TIMEOUT_MS + 1)
        self.assertEqual(
            self.membership.expire_unresponsive(self.clock.now_ms()), [OLD]
        )
        self.assertEqual(self.membership.get_live(), frozenset({self.me}))
        self.membership.record_contact(OLD)
        self.assertIn(OLD, self.membership.get_live())

    def test_messages_of_unknown_processes_are_ignored(self) -> None:
        self.assertIsNone(self.membership.record_contact(ids.ProcessId("x9", 1)))

    def test_other_failure_domains_are_not_live_here(self) -> None:
        self.membership.record_contact(ids.ProcessId("b1", 1))
        self.assertEqual(self.membership.get_live(), frozenset({self.me}))
        self.assertEqual(self.membership.get_names("b"), ("b1",))


class TestRendezvous(unittest.TestCase):
    def test_only_the_endpoints_of_a_lost_name_move(self) -> None:
        names = ("a1", "a2", "a3", "a4")
        before = {f"e{i}": rendezvous.choose(f"e{i}", names) for i in range(400)}
        for endpoint, keeper in before.items():
            after = rendezvous.choose(endpoint, names[:3])
            self.assertTrue(after == keeper or keeper == "a4")
        for name in names:
            self.assertGreater(list(before.values()).count(name), 60)
