from __future__ import annotations

import errno
import os
import pathlib
import random
import tempfile
import typing
import unittest
from unittest import mock

import gevent

from knapweedbeam_core.entry import parts
from knapweedbeam_server import log_writer
from knapweedbeam_wire.store import store


class FullDisk:
    """Lets writes fail as on a full disk; some bytes may fit before that."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.is_full = False
        self.refused = 0
        self.write = os.write

    def write_or_refuse(self, descriptor: int, data: typing.Any) -> int:
        if not self.is_full:
            return self.write(descriptor, data)
        self.refused += 1
        fits = self.rng.randrange(len(data)) if self.refused % 2 else 0
        if fits:
            return self.write(descriptor, data[:fits])
        raise OSError(errno.ENOSPC, "no space left")


class LogWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.disk = FullDisk(random.Random(7))
        patch = mock.patch.object(os, "write", self.disk.write_or_refuse)
        patch.start()
        self.addCleanup(patch.stop)
        interval = mock.patch.object(log_writer, "RETRY_INTERVAL_MS", 10)
        interval.start()
        self.addCleanup(interval.stop)
        self.hand_overs = 0
        self.reports: list[int] = []
        self.store = store.Store(self.folder)
        self.store.load()
        self.writer = log_writer.LogWriter(
            self.store, self.count_hand_over, self.record_report
        )

    def count_hand_over(self) -> None:
        self.hand_overs += 1

    def record_report(self, waited_ms: int, detail: str) -> None:
        self.reports.append(waited_ms)

    def load_records(self) -> tuple[bytes, list[bytes]]:
        self.store.close()
        restored = store.Store(self.folder).load()
        assert not isinstance(restored, store.StoreFailure)
        return restored.snapshot, list(restored.records)

    def write_while_full(self, persist: parts.Persist) -> None:
        self.disk.is_full = True
        writing = gevent.spawn(self.writer.write, persist)
        gevent.sleep(0.1)
        self.assertFalse(writing.ready())
        self.disk.is_full = False
        self.assertIsNone(writing.get(timeout=5))

    def test_batch_is_written_once_there_is_room(self) -> None:
        self.assertIsNone(self.writer.write(parts.Persist(1, (b"a",))))
        self.write_while_full(parts.Persist(2, (b"b", b"c")))
        self.assertIsNone(self.writer.write(parts.Persist(3, (b"d",))))
        self.assertEqual(self.hand_overs, 1)
        self.assertEqual(self.reports[0], 0)
        self.assertGreater(self.reports[1], 0)
        self.assertEqual(self.load_records(), (b"", [b"a", b"b", b"c", b"d"]))

    def test_snapshot_is_written_once_there_is_room(self) -> None:
        self.writer.write(parts.Persist(1, (b"a",)))
        snapshot = parts.Persist(2, (b"b",), snapshot=b"s", snapshot_index=1)
        self.write_while_full(snapshot)
        self.writer.write(parts.Persist(3, (b"c",)))
        self.assertEqual(self.load_records(), (b"s", [b"b", b"c"]))

    def test_other_failures_end_the_use_of_the_folder(self) -> None:
        with mock.patch.object(os, "fdatasync", side_effect=OSError(errno.EIO, "")):
            failure = self.writer.write(parts.Persist(1, (b"a",)))
        assert failure is not None
        self.assertEqual(failure.fault, store.Fault.IO)
        self.assertEqual(self.hand_overs, 0)


if __name__ == "__main__":
    unittest.main()
