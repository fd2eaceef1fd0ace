from __future__ import annotations

import dataclasses
import random
import unittest

from fleet import test_endpoint_calls
from knapweedbeam_core.fleet import messages as fleet_messages
from knapweedbeam_core.pool import attempt_tracker, messages
from knapweedbeam_server import system_clock
from knapweedbeam_server.fleet import node, settings

NAME = "127.0.0.1:7000"
LEAD = "127.0.0.2:7000"
ENTRY = "127.0.0.9:7000"
TOKEN = 9 << 20
INCARNATION = 5


class MessageRouterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.node = node.Node(
            settings.FleetSettings(
                NAME,
                True,
                "d1",
                "127.0.0.1:8166",
                (NAME,),
                None,
                True,
                b"k" * 32,
                attempt_tracker.ProtocolBounds(1_000, 50, 1_500),
            ),
            test_endpoint_calls.FailingClient(),
            test_endpoint_calls.refuse_manifest,
            system_clock.SystemClock(),
            random.Random(1),
        )
        self.router = self.node.message_router

    def hear(self, name: str, using: str, is_lead: bool = False) -> None:
        """Receive a heartbeat at the slow rate."""
        owner = fleet_messages.ShardOwner(NAME, self.node.incarnation, TOKEN)
        presence = fleet_messages.Presence(
            name,
            is_lead,
            "d1",
            "",
            True,
            False,
            TOKEN - 1 if is_lead else 0,
            TOKEN,
            LEAD,
            using,
            0,
            interval_ms=1_000,
            incarnation=INCARNATION,
            shards=(owner, owner) if is_lead else (),
        )
        self.router.route(name, presence)

    def test_newest_evacuations_come_with_heartbeats(self) -> None:
        for version, domains in ((2, ("d1", "d2")), (1, ("d1",)), (2, ())):
            presence = dataclasses.replace(
                self.node.build_presence(),
                name=LEAD,
                evacuation_version=version,
                evacuated=domains,
            )
            self.router.route(LEAD, presence)
        self.assertEqual(self.node.shards.evacuated, frozenset({"d1", "d2"}))
        self.assertEqual(self.node.build_presence().evacuated, ("d1", "d2"))
        metrics = self.node.get_metrics()
        self.assertIn(b"knapweedbeam_evacuated_domains 2.0", metrics)

    def test_entry_vm_that_follows_the_lead_is_not_expected_at_the_fast_rate(
        self,
    ) -> None:
        self.hear(ENTRY, LEAD)
        self.router.route(ENTRY, test_endpoint_calls.SUBMIT)
        self.assertEqual(self.node.members.members[ENTRY].interval_ms, 1_000)

    def test_entry_vm_that_follows_this_process_is(self) -> None:
        self.hear(ENTRY, NAME)
        self.router.route(ENTRY, test_endpoint_calls.SUBMIT)
        self.assertEqual(self.node.members.members[ENTRY].interval_ms, 100)

    def test_entry_vm_that_follows_the_lead_is_served_by_an_owner(self) -> None:
        self.hear(LEAD, LEAD, is_lead=True)
        self.hear(ENTRY, LEAD)
        for each in self.node.shards.dispatchers:
            self.assertNotIn(ENTRY, each.lost_entries)
        self.hear(ENTRY, "127.0.0.3:7000")
        for each in self.node.shards.dispatchers:
            self.assertIn(ENTRY, each.lost_entries)

    def test_lead_passes_a_job_on_to_the_owner_of_its_shard(self) -> None:
        other = fleet_messages.ShardOwner("127.0.0.3:7000", INCARNATION, TOKEN)
        self.node.dispatcher_role.generation = TOKEN - 1
        self.node.sharding.table = (other, other)
        sent = self.router.find_relay_target(test_endpoint_calls.SUBMIT.job_id, 0)
        assert sent is not None
        self.assertEqual((sent.name, sent.token), (other.name, TOKEN))

    def test_job_without_an_owner_elsewhere_is_handled_here(self) -> None:
        submit: messages.Submit = test_endpoint_calls.SUBMIT
        self.assertIsNone(self.router.find_relay_target(submit.job_id, 0))


if __name__ == "__main__":
    unittest.main()
