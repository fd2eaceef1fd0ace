from __future__ import annotations

import pathlib
import random
import tempfile
import unittest
import unittest.mock

import gevent

from knapweedbeam_core import clock, effects
from knapweedbeam_core.entry import parts
from knapweedbeam_core.stored import commands
from knapweedbeam_server import system_clock
from knapweedbeam_server.fleet import replicated_log, supervising
from knapweedbeam_server.logs import catalogue

NAME = "127.0.0.1:7000"


class ReplicatedLogTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.applied = 0
        self.log = self.build()

    def build(self) -> replicated_log.ReplicatedLog:
        timer: clock.Clock = system_clock.SystemClock()
        return replicated_log.ReplicatedLog(
            NAME,
            (NAME,),
            self.folder,
            timer,
            random.Random(1),
            self.drop,
            self.count_applied,
        )

    def drop(self, effect: effects.Send) -> None:
        """Discard the message: the log has only one replica."""

    def count_applied(self) -> None:
        self.applied += 1

    def wait_for_leadership(self, log: replicated_log.ReplicatedLog) -> None:
        log.start(supervising.Supervisor())
        with gevent.Timeout(30, AssertionError("no leader")):
            while not log.is_caught_up_leader():
                log.tick()
                gevent.sleep(0.01)

    def test_waiting_writes_form_one_batch(self) -> None:
        for number in range(3):
            self.log.writes.put(parts.Persist(number + 1, (b"%d" % number,)))
        self.log.writes.put(parts.Persist(4, (), snapshot=b"s", snapshot_index=1))
        first = self.log.get_next_batch()
        self.assertEqual((first.batch, first.records), (3, (b"0", b"1", b"2")))
        self.assertEqual(self.log.get_next_batch().snapshot, b"s")

    def test_batch_is_applied_and_restored_after_restart(self) -> None:
        self.wait_for_leadership(self.log)
        batch = commands.Batch(5, (commands.RegisterDispatcher(7, 3),))
        self.log.propose_batch(batch)
        with gevent.Timeout(30, AssertionError("not applied")):
            while not self.applied:
                gevent.sleep(0.01)
        self.assertEqual(self.log.machine.ledger.state.fence, 7)
        assert self.log.store is not None
        self.log.store.close()
        reopened = self.build()
        self.wait_for_leadership(reopened)
        self.assertEqual(reopened.machine.ledger.state.fence, 7)

    def test_evacuation_is_taken_again_and_restored_after_restart(self) -> None:
        self.wait_for_leadership(self.log)
        for is_evacuated in (True, False, True, True):
            answer = self.log.propose_evacuation("d1", is_evacuated)
            self.assertEqual(answer, replicated_log.Taken())
        stored = self.log.machine.evacuations.stored
        self.assertEqual((stored.version, stored.domains), (3, ("d1",)))
        assert self.log.store is not None
        self.log.store.close()
        reopened = self.build()
        self.assertEqual(
            reopened.propose_evacuation("d1", False), replicated_log.NotLeader("")
        )
        self.wait_for_leadership(reopened)
        self.assertEqual(reopened.machine.evacuations.stored, stored)

    def test_evacuation_without_a_quorum_is_unclear(self) -> None:
        self.wait_for_leadership(self.log)
        patch = unittest.mock.patch.object
        with (
            patch(replicated_log, "COMMIT_TIMEOUT_S", 0.05),
            patch(self.log, "propose_batch"),
        ):
            answer = self.log.propose_evacuation("d1", True)
        self.assertIsInstance(answer, replicated_log.Unclear)

    def test_change_of_members_is_logged_with_their_names(self) -> None:
        with unittest.mock.patch.object(replicated_log.emit, "emit") as emit:
            self.wait_for_leadership(self.log)
        emit.assert_any_call(catalogue.LOG_MEMBERS, index=0, voters=NAME, learners="")


if __name__ == "__main__":
    unittest.main()
