from __future__ import annotations

import pathlib
import random
import tempfile
import unittest

import gevent

from knapweedbeam_core import clock, effects
from knapweedbeam_core.entry import parts
from knapweedbeam_core.stored import commands
from knapweedbeam_server import system_clock
from knapweedbeam_server.fleet import replicated_log, supervising

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
            self.note_applied,
        )

    def drop(self, sent: effects.Send) -> None:
        """Send nothing: the log has one replica."""

    def note_applied(self) -> None:
        self.applied += 1

    def lead(self, log: replicated_log.ReplicatedLog) -> None:
        log.start(supervising.Supervisor())
        with gevent.Timeout(30, AssertionError("no leader")):
            while not log.is_caught_up_leader():
                log.tick()
                gevent.sleep(0.01)

    def test_what_waits_is_written_in_one_batch(self) -> None:
        for number in range(3):
            self.log.writes.put(parts.Persist(number + 1, (b"%d" % number,)))
        self.log.writes.put(parts.Persist(4, (), snapshot=b"s", snapshot_index=1))
        first = self.log.get_writes()
        self.assertEqual((first.batch, first.records), (3, (b"0", b"1", b"2")))
        self.assertEqual(self.log.get_writes().snapshot, b"s")

    def test_a_batch_is_applied_and_comes_back_after_a_restart(self) -> None:
        self.lead(self.log)
        batch = commands.Batch(5, (commands.RegisterDispatcher(7, 3),))
        self.log.propose_batch(batch)
        with gevent.Timeout(30, AssertionError("not applied")):
            while not self.applied:
                gevent.sleep(0.01)
        self.assertEqual(self.log.machine.ledger.state.fence, 7)
        assert self.log.store is not None
        self.log.store.close()
        again = self.build()
        self.lead(again)
        self.assertEqual(again.machine.ledger.state.fence, 7)


if __name__ == "__main__":
    unittest.main()
