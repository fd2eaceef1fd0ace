from __future__ import annotations

import json
import pathlib
import tempfile
import unittest

from knapweedbeam_core import clock, ids, outcomes, reasons
from knapweedbeam_server import history


class FileHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "a1.history"
        self.clock = clock.ManualClock(7)

    def open(self, incarnation: int) -> history.HistoryWriter:
        writer = history.open_history(
            self.path, ids.ProcessId("a1", incarnation), self.clock
        )
        self.addCleanup(writer.close)
        return writer

    def test_every_event_class_has_a_distinct_kind(self) -> None:
        kinds = {history.get_kind(cls) for cls in history.EVENTS}
        self.assertEqual(len(kinds), len(history.EVENTS))
        self.assertIn("task_answered", kinds)

    def test_write_one_second_after_the_last_flush_is_flushed(self) -> None:
        writer = self.open(1)
        writer.write(history.Ready())
        self.assertEqual(self.path.read_bytes(), b"")
        self.clock.advance(history.FLUSH_MS)
        writer.write(history.Stopping())
        lines = [json.loads(line) for line in self.path.read_text().splitlines()]
        self.assertEqual([line["kind"] for line in lines], ["ready", "stopping"])
        self.assertEqual(lines[1]["at_ms"], 7 + history.FLUSH_MS)

    def test_later_run_starts_on_a_new_line_after_an_incomplete_one(self) -> None:
        self.path.write_bytes(b'{"process":"a1","incarn')
        writer = self.open(2)
        outcome = outcomes.NotRun(reasons.Reason.LIMIT)
        writer.write(history.build_answered("t", outcome))
        writer.close()
        writer.write(history.Ready())
        last = json.loads(self.path.read_text().splitlines()[-1])
        self.assertEqual((last["incarnation"], last["kind"]), (2, "answered"))
        self.assertEqual(last["event"]["outcome"], "not_run")
