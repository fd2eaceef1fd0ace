from __future__ import annotations

import contextlib
import dataclasses
import io
import json
import pathlib
import re
import tempfile
import unittest

from knapweedbeam_core.pool import log_events
from knapweedbeam_ctl import exit_codes
from knapweedbeam_ctl.commands import explain


def build_line(second: int, event: int, **fields: str | int) -> str:
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


TASK = "ab12.0.0.0"


def build_start(
    second: int, endpoint: str, number: int, fence: int = 7, task: str = "0.0.0"
) -> str:
    return build_line(
        second,
        7054,
        job_id="ab12",
        endpoints=endpoint,
        starts=f"{task}#{number}",
        fence=fence,
    )


def build_attempt(
    second: int, event: int, endpoint: str, number: int, **fields: str | int
) -> str:
    return build_line(
        second, event, task=TASK, endpoint=endpoint, number=number, **fields
    )


class RunsTest(unittest.TestCase):
    """The runs of a task side by side, and which of them overlap."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def explain(self, **lines: list[str]) -> str:
        """Return what is printed for the logs of some processes."""
        paths = []
        for name, texts in lines.items():
            paths.append(self.folder / f"{name}.log")
            paths[-1].write_text("\n".join(texts))
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            explain.show("ab12", paths, as_json=False)
        return printed.getvalue()

    def list_runs(self, **lines: list[str]) -> list[list[str]]:
        """Return the columns of each run but its number; times are seconds."""
        _, _, section = self.explain(**lines).partition(f"task {TASK}, ")
        short = re.sub(r"2026-01-01T00:00:(\d\d).000Z", r"\1", section)
        rows = [re.split(r" {2,}", row) for row in short.splitlines()[2:] if row]
        return [row[1:] for row in rows]

    def test_task_that_ran_once_is_not_shown(self) -> None:
        shown = self.explain(
            core=[
                build_start(1, "e0", 1),
                build_line(2, 7050, job_id="ab12", outcome="JobComplete"),
            ]
        )
        self.assertNotIn(f"task {TASK}", shown)

    def test_returning_token_shows_two_runs_of_one_process_at_once(self) -> None:
        core = [
            build_start(1, "e0", 1),
            build_line(2, 7013, fence=0),
            build_line(2, 7013, fence=7),
            build_start(3, "e1", 1),
            build_attempt(4, 7061, "e0", 1, reason="task is placed elsewhere"),
            build_line(5, 7050, job_id="ab12", outcome="JobComplete"),
        ]
        former, second = self.list_runs(core=core)
        self.assertEqual(former[:6], ["01", "-", "e0", "1", "7", "core.log"])
        self.assertEqual(former[6:], ["with 2", "stopped: task is placed elsewhere"])
        self.assertEqual(second[:6], ["03", "05", "e1", "1", "7", "core.log"])
        self.assertEqual(second[6:], ["with 1", "job ended: JobComplete"])

    def test_claimed_run_goes_on_after_its_starter_lost_it(self) -> None:
        outside = [
            build_start(1, "e0", 1),
            build_attempt(4, 7053, "e0", 1, why="lease has run out", age_ms=3_000),
            build_start(4, "e1", 2),
            build_line(8, 7050, job_id="ab12", outcome="JobComplete"),
        ]
        inside = [
            build_attempt(2, 7062, "e0", 1, fence=9),
            build_line(6, 7050, job_id="ab12", outcome="JobComplete"),
        ]
        former, second = self.list_runs(outside=outside, inside=inside)
        self.assertEqual((former[1], second[1]), ("06", "08"))
        self.assertEqual(former[6], "perhaps with 2")
        self.assertIn("claimed by inside.log under 9", former[7])
        self.assertEqual(second[4:7], ["7", "outside.log", "perhaps with 1"])

    def test_run_that_was_lost_before_the_next_start_does_not_overlap(self) -> None:
        core = [
            build_start(1, "e0", 1),
            build_attempt(2, 7061, "e0", 1, reason="overdue"),
            build_attempt(3, 7053, "e0", 1, why="stopped", age_ms=2_000),
            build_start(3, "e1", 2),
        ]
        former, second = self.list_runs(core=core)
        self.assertEqual((former[1], former[6], second[6]), ("03", "-", "-"))
        self.assertEqual(former[7], "stopped: overdue; lost: stopped")

    def test_refused_start_that_ran_after_all_overlaps(self) -> None:
        core = [
            build_start(1, "e0", 1),
            build_attempt(2, 7053, "e0", 1, why="fenced", age_ms=1_000),
            build_start(3, "e1", 2),
            build_attempt(5, 7061, "e0", 1, reason="task is placed elsewhere"),
        ]
        former, second = self.list_runs(core=core)
        self.assertEqual((former[6], second[6]), ("with 2", "with 1"))

    def test_run_without_an_end_overlaps_perhaps(self) -> None:
        runs = self.list_runs(
            core=[build_start(1, "e0", 1)],
            successor=[build_start(3, "e1", 101, fence=8)],
        )
        self.assertEqual([row[6] for row in runs], ["perhaps with 2", "perhaps with 1"])

    def test_stop_of_an_uncertain_start_shows_no_run(self) -> None:
        core = [
            build_start(1, "e0", 1),
            build_start(3, "e1", 101),
            build_attempt(4, 7061, "e0", 1, reason="uncertain start"),
        ]
        self.assertEqual(self.list_runs(core=core)[0][6], "perhaps with 2")

    def test_start_without_a_line_is_known_by_its_age(self) -> None:
        core = [
            build_attempt(4, 7053, "e0", 1, why="stopped", age_ms=3_000),
            build_start(5, "e1", 2),
        ]
        former, _ = self.list_runs(core=core)
        self.assertEqual(former[:6], ["01", "04", "e0", "1", "-", "-"])

    def test_clock_that_is_behind_makes_no_further_run(self) -> None:
        runs = self.list_runs(
            core=[build_start(3, "e0", 1), build_start(5, "e1", 2)],
            successor=[build_attempt(2, 7062, "e0", 1, fence=9)],
        )
        self.assertEqual([row[0] for row in runs], ["03", "05"])

    def test_lines_cut_short_or_without_attempts_are_skipped(self) -> None:
        cut = build_line(
            1, 7054, job_id="ab12", endpoints="e0 e...", starts="0.0.1#1 0.0.0#1 0..."
        )
        old = build_line(2, 7054, job_id="ab12", endpoints="e0")
        self.assertNotIn("task ", self.explain(core=[cut, old]))

    def test_lines_have_the_fields_that_dispatchers_write(self) -> None:
        kinds: dict[str, type[log_events.LogEvent]] = {
            build_start(1, "e0", 1): log_events.TasksPlaced,
            build_attempt(1, 7053, "e0", 1, why="", age_ms=1): log_events.AttemptLost,
            build_attempt(1, 7061, "e0", 1, reason=""): log_events.AttemptStopped,
            build_attempt(1, 7062, "e0", 1, fence=1): log_events.AttemptClaimed,
            build_line(1, 7050, job_id="", outcome=""): log_events.JobEnded,
        }
        for line, kind in kinds.items():
            names = {field.name for field in dataclasses.fields(kind)}
            self.assertLessEqual(set(json.loads(line)["fields"]), names)

    def test_runs_are_not_part_of_the_json(self) -> None:
        path = self.folder / "core.log"
        path.write_text("\n".join([build_start(1, "e0", 1), build_start(2, "e1", 1)]))
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            explain.show("ab12", [path], as_json=True)
        self.assertEqual(len(json.loads(printed.getvalue())), 2)


if __name__ == "__main__":
    unittest.main()
