from __future__ import annotations

import errno
import os
import pathlib
import tempfile
import typing
import unittest
from unittest import mock

from knapweedbeam_core.entry import parts
from knapweedbeam_core.log import records
from knapweedbeam_wire.store import store


def run_inline(work: store.BlockingCall) -> None:
    work()


def build_persist(batch: int) -> parts.Persist:
    return parts.Persist(batch, (b"one%d" % batch, b"KWB1%d" % batch))


class StoreTest(unittest.TestCase):
    def setUp(self) -> None:
        holder = tempfile.TemporaryDirectory()
        self.addCleanup(holder.cleanup)
        self.folder = pathlib.Path(holder.name) / "data"

    def open(self) -> tuple[store.Store, records.RestoredState]:
        opened = store.Store(self.folder, run_inline)
        restored = opened.load()
        assert isinstance(restored, records.RestoredState), restored
        self.addCleanup(opened.close)
        return opened, restored

    def load_failure(self) -> store.StoreFailure:
        opened = store.Store(self.folder, run_inline)
        failure = opened.load()
        assert isinstance(failure, store.StoreFailure)
        return failure

    def write(self, count: int) -> pathlib.Path:
        opened, _ = self.open()
        for batch in range(count):
            self.assertIsNone(opened.apply(build_persist(batch)))
        opened.close()
        return opened.get_log_path(opened.generation)

    def test_applied_batches_are_loaded_with_the_same_identity(self) -> None:
        opened, empty = self.open()
        opened.apply(build_persist(1))
        opened.apply(parts.Persist(2, (b"after",), 0, b"snapshot", 9))
        opened.apply(build_persist(3))
        opened.close()
        _, restored = self.open()
        expected = records.RestoredState(
            empty.identity, b"snapshot", 9, (b"after", b"one3", b"KWB13")
        )
        self.assertEqual(restored, expected)
        self.assertEqual(len(list(self.folder.glob("log-*"))), 1)

    def test_a_last_frame_torn_at_any_byte_is_truncated(self) -> None:
        path = self.write(3)
        data = path.read_bytes()
        start = len(data) - (len(data) - data.index(b"KWB1", 1)) // 3
        for length in range(start, len(data)):
            for tail in (b"", b"\0" * (len(data) - length)):
                path.write_bytes(data[:length] + tail)
                opened, restored = self.open()
                self.assertEqual(len(restored.records), 4)
                self.assertIsNone(opened.apply(build_persist(9)))
                opened.close()
                _, reopened = self.open()
                self.assertEqual(reopened.records[-1], b"KWB19")
                _.close()

    def test_a_damaged_byte_before_the_last_frame_is_refused(self) -> None:
        path = self.write(3)
        data = path.read_bytes()
        last = len(data) - (len(data) - data.index(b"KWB1", 1)) // 3
        for offset in range(last):
            path.write_bytes(
                data[:offset] + bytes([data[offset] ^ 0x41]) + data[offset + 1 :]
            )
            self.assertEqual(self.load_failure().fault, store.Fault.CORRUPT, offset)

    def test_a_snapshot_that_was_not_renamed_is_removed(self) -> None:
        opened, _ = self.open()
        opened.apply(build_persist(1))
        with mock.patch.object(os, "rename", side_effect=OSError(errno.EIO, "cut")):
            failure = opened.apply(parts.Persist(2, (), 0, b"snapshot", 9))
        assert failure is not None
        _, restored = self.open()
        self.assertEqual((restored.snapshot, len(restored.records)), (b"", 2))
        self.assertEqual(list(self.folder.glob("*.tmp")), [])

    def test_failures_are_classified_and_permanent(self) -> None:
        cases: list[tuple[str, int, store.Fault]] = [
            ("fdatasync", errno.EIO, store.Fault.IO),
            ("write", errno.ENOSPC, store.Fault.FULL),
        ]
        for call, number, fault in cases:
            opened, _ = self.open()
            with mock.patch.object(os, call, side_effect=OSError(number, call)):
                failure = opened.apply(build_persist(1))
            assert failure is not None
            self.assertEqual(failure.fault, fault)
            self.assertIs(opened.apply(build_persist(2)), failure)

    def test_short_writes_are_completed(self) -> None:
        opened, _ = self.open()
        write = os.write

        def write_three_bytes(descriptor: int, data: typing.Any) -> int:
            return write(descriptor, data[:3])

        with mock.patch.object(os, "write", write_three_bytes):
            opened.apply(build_persist(1))
        opened.close()
        self.assertEqual(len(self.open()[1].records), 2)

    def test_two_processes_do_not_share_a_folder(self) -> None:
        self.open()
        self.assertEqual(self.load_failure().fault, store.Fault.LOCKED)

    def test_a_folder_without_its_identity_or_log_is_refused(self) -> None:
        path = self.write(1)
        identity = self.folder / store.IDENTITY_FILE
        identity_text = identity.read_text()
        identity.unlink()
        self.assertEqual(self.load_failure().fault, store.Fault.CORRUPT)
        identity.write_text(identity_text)
        path.unlink()
        self.assertEqual(self.load_failure().fault, store.Fault.CORRUPT)
