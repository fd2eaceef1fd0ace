from __future__ import annotations

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from knapweedbeam_ctl import exit_codes
from knapweedbeam_ctl.commands import explain


def build_line(second: int, event: int, **fields: str) -> str:
    content = {
        "time": f"2026-01-01T00:00:{second:02}.000Z",
        "event": event,
        "name": f"n{event}",
        "message": f"message {event}",
        "fields": fields,
    }
    return json.dumps(content)


class ExplainTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def explain(self, *texts: str) -> tuple[exit_codes.ExitCode, list[int]]:
        paths = []
        for number, text in enumerate(texts):
            paths.append(self.folder / f"{number}.log")
            paths[-1].write_text(text)
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            code = explain.show("ab12", paths, as_json=True)
        return code, [line["event"] for line in json.loads(printed.getvalue())]

    def test_lines_of_all_files_are_sorted_by_time(self) -> None:
        entry = "\n".join(
            [build_line(1, 7040, job_id="ab12"), build_line(9, 7041, job_id="ab12")]
        )
        dispatcher = "noise\n" + build_line(4, 7053, task="ab12.0.0.1")
        self.assertEqual(
            self.explain(entry, dispatcher),
            (exit_codes.ExitCode.OK, [7040, 7053, 7041]),
        )

    def test_only_context_events_during_the_request_are_shown(self) -> None:
        lines = [
            build_line(1, 7040, job_id="ab12"),
            build_line(2, 7013, fence="5"),
            build_line(2, 7041, job_id="ffff"),
            build_line(3, 7041, job_id="ab12"),
            build_line(4, 7013, fence="6"),
        ]
        self.assertEqual(self.explain("\n".join(lines))[1], [7040, 7013, 7041])

    def test_a_prefix_before_a_line_is_skipped(self) -> None:
        line = "  12.3 core-1 " + build_line(1, 7040, job_id="ab12")
        self.assertEqual(self.explain(line)[1], [7040])

    def test_a_request_without_lines_is_unknown(self) -> None:
        code, found = self.explain(build_line(1, 7040, job_id="ffff"))
        self.assertEqual((code, found), (exit_codes.ExitCode.UNKNOWN, []))

    def test_a_file_that_cannot_be_read_is_an_error(self) -> None:
        with contextlib.redirect_stdout(io.StringIO()):
            code = explain.show("ab12", [self.folder / "none"], as_json=True)
        self.assertEqual(code, exit_codes.ExitCode.BAD_FILE)


if __name__ == "__main__":
    unittest.main()
