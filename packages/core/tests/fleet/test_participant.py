from __future__ import annotations

import dataclasses
import unittest

from knapweedbeam_core import clock
from knapweedbeam_core.fleet import (
    dispatcher_role,
    membership,
    messages,
    participant,
)
from knapweedbeam_core.pool import dispatcher, takeover

TICK_MS = 20
STOP_MS = 50
# An entry VM that is cut off needs at least this long to choose another dispatcher.
CHANGE_MS = 350


class SilentEntryTest(unittest.TestCase):
    """An owner of a shard, to which an entry VM sends heartbeats at the slow rate."""

    def setUp(self) -> None:
        self.clock = clock.ManualClock(10_000, 1_700_000_000_000)
        members = membership.Membership("c0", True, (), self.clock)
        role = dispatcher_role.DispatcherRole(members, 1, self.clock)
        self.members = members
        self.participant = participant.Participant(members, role, self.clock)
        self.entry = self.build_presence("e0", is_core=False)
        self.participant.receive(self.entry, "e0")
        lead = self.build_presence("c1", is_core=True)
        self.lead = dataclasses.replace(lead, generation=7, interval_ms=100)

    def build_presence(self, name: str, is_core: bool) -> messages.Presence:
        return messages.Presence(
            name,
            is_core,
            "d",
            "",
            True,
            False,
            0,
            0,
            "c1",
            "c1",
            1,
            interval_ms=membership.SLOW_INTERVAL_MS,
        )

    def run_until_silent(self, has_jobs: bool, is_answering: bool) -> int:
        """Return after which time the entry VM counts as silent, at most 5 s."""
        own = self.build_presence("c0", is_core=True)
        for passed_ms in range(TICK_MS, 5_000, TICK_MS):
            self.clock.advance(TICK_MS)
            self.participant.receive(self.lead, "c1")
            if self.participant.update(own).silent:
                return passed_ms
            if has_jobs and passed_ms % 100 == 0:
                self.participant.ask_silent(["e0", "unknown"])
            for sent in self.participant.build_heartbeats(own, has_jobs):
                message = sent.message
                is_question = isinstance(message, messages.Presence)
                if is_answering and is_question and message.wants_reply:
                    self.participant.receive(self.entry, "e0")
        return 5_000

    def test_owner_notices_a_lost_entry_vm_before_its_jobs_start_elsewhere(
        self,
    ) -> None:
        """It noticed after 2.3 s, and tasks ran twice when a domain was cut off."""
        silent_ms = self.run_until_silent(has_jobs=True, is_answering=False)
        ended_ms = silent_ms + dispatcher.ORPHAN_GRACE_MS + TICK_MS + STOP_MS
        self.assertLess(ended_ms, CHANGE_MS + takeover.TAKEOVER_MS)

    def test_entry_vm_that_answers_is_not_silent(self) -> None:
        silent_ms = self.run_until_silent(has_jobs=True, is_answering=True)
        self.assertEqual(silent_ms, 5_000)

    def test_entry_vm_without_jobs_is_not_asked(self) -> None:
        silent_ms = self.run_until_silent(has_jobs=False, is_answering=False)
        limit_ms = membership.get_silence_limit_ms(membership.SLOW_INTERVAL_MS)
        self.assertGreater(silent_ms, limit_ms)


if __name__ == "__main__":
    unittest.main()
