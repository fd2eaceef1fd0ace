"""Find the runs of each task of a request in its log lines, and which overlap."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

from knapweedbeam_core.pool import log_events
from knapweedbeam_ctl.commands import log_lines

JOB_ENDED = 7050
JOB_WITHDRAWN = 7052
ATTEMPT_LOST = 7053
TASKS_PLACED = 7054
ATTEMPT_STOPPED = 7061
ATTEMPT_CLAIMED = 7062
ATTEMPT_EVENTS = (ATTEMPT_LOST, ATTEMPT_STOPPED, ATTEMPT_CLAIMED)
# Stops for these reasons follow at once from an answer that shows the attempt running.
SHOWN_RUNNING = (
    log_events.StopReason.AGAIN,
    log_events.StopReason.DONE,
    log_events.StopReason.ELSEWHERE,
    log_events.StopReason.OVERDUE,
    log_events.StopReason.UNWANTED,
)
TRUNCATED = "..."
NOT_LOGGED = "-"
HEADINGS = (
    "run",
    "start",
    "end",
    "endpoint",
    "attempt",
    "token",
    "started by",
    "overlaps",
    "seen as",
)

# The runs of each task, in the order of their starts.
Runs = dict[str, list["Run"]]


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a task; times are those of the log lines.

    `seen` is the last time at which a line shows it running. It no longer ran at `end`,
    which is empty if no line tells. Only lines of `holder` tell its end.
    """

    endpoint: str
    number: str
    token: str
    process: str
    start: str
    seen: str
    holder: str
    end: str = ""
    notes: list[str] = dataclasses.field(default_factory=list)

    def apply(self, entry: log_lines.SourceLine) -> None:
        """Apply a line about this attempt."""
        fields = entry.line.fields
        if entry.line.event == ATTEMPT_LOST:
            self.notes.append(f"lost: {fields.get('why')}")
            if entry.source == self.holder:
                self.end = entry.line.time
            return
        if entry.line.event == ATTEMPT_STOPPED:
            self.notes.append(f"stopped: {fields.get('reason')}")
            if fields.get("reason") not in SHOWN_RUNNING:
                return
        else:
            self.notes.append(f"claimed by {entry.source} under {fields.get('fence')}")
            self.holder = entry.source
        self.seen = max(self.seen, entry.line.time)
        self.end = ""

    def describe_overlap(self, later: Run) -> str:
        """Return how this run overlaps with one that started later, empty if not."""
        if later.start < self.seen:
            return "with"
        if not self.end or later.start < self.end:
            return "perhaps with"
        return ""


def subtract_ms(time: str, age_ms: object) -> str:
    """Return the time of a line that was written `age_ms` earlier."""
    age = datetime.timedelta(milliseconds=age_ms if isinstance(age_ms, int) else 0)
    try:
        earlier = datetime.datetime.fromisoformat(time) - age
    except ValueError:
        return time
    return earlier.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def find_runs(
    entries: collections.abc.Sequence[log_lines.SourceLine], request: str
) -> Runs:
    """Return the runs of the tasks of a request, from its lines sorted by time."""
    runs: Runs = {}
    placed = [entry for entry in entries if entry.line.event == TASKS_PLACED]
    for entry in placed:
        add_starts(runs, entry, request)
    for entry in entries:
        if entry.line.event in ATTEMPT_EVENTS:
            find_run(runs, entry).apply(entry)
        elif entry.line.event in (JOB_ENDED, JOB_WITHDRAWN):
            end_last_runs(runs, entry)
    return runs


def add_starts(runs: Runs, entry: log_lines.SourceLine, request: str) -> None:
    """Add the runs that a line about placed tasks names."""
    fields = entry.line.fields
    starts = str(fields.get("starts", "")).split()
    endpoints = str(fields.get("endpoints", "")).split()
    for start, endpoint in zip(starts, endpoints, strict=False):
        task, _, number = start.partition("#")
        if not number.isdigit() or endpoint.endswith(TRUNCATED):
            continue
        run = Run(
            endpoint,
            number,
            str(fields.get("fence", NOT_LOGGED)),
            entry.source,
            entry.line.time,
            entry.line.time,
            entry.source,
        )
        runs.setdefault(f"{request}.{task}", []).append(run)


def find_run(runs: Runs, entry: log_lines.SourceLine) -> Run:
    """Return the run that a line is about; add it if its start is missing."""
    fields = entry.line.fields
    endpoint, number = str(fields.get("endpoint")), str(fields.get("number"))
    of_task = runs.setdefault(str(fields.get("task")), [])
    same = [run for run in of_task if (run.endpoint, run.number) == (endpoint, number)]
    if same:
        earlier = [run for run in same if run.start <= entry.line.time]
        return earlier[-1] if earlier else same[0]
    start = subtract_ms(entry.line.time, fields.get("age_ms"))
    run = Run(endpoint, number, NOT_LOGGED, NOT_LOGGED, start, start, entry.source)
    of_task.append(run)
    of_task.sort(key=lambda each: each.start)
    return run


def end_last_runs(runs: Runs, entry: log_lines.SourceLine) -> None:
    """End the last run of each task that a process holds, unless it has ended."""
    outcome = entry.line.fields.get("outcome", "withdrawn")
    for of_task in runs.values():
        held = [
            run
            for run in of_task
            if run.holder == entry.source and run.start <= entry.line.time
        ]
        if held and not held[-1].end:
            held[-1].end = entry.line.time
            held[-1].notes.append(f"job ended: {outcome}")


def list_overlaps(of_task: list[Run], index: int) -> str:
    """Return which other runs of its task a run overlaps with."""
    found = []
    for other, run in enumerate(of_task):
        first, second = sorted((index, other))
        how = of_task[first].describe_overlap(of_task[second])
        if run is not of_task[index] and how:
            found.append(f"{how} {other + 1}")
    return ", ".join(found) or NOT_LOGGED


def build_rows(of_task: list[Run]) -> list[tuple[str, ...]]:
    """Return the headings and one row for each run of a task."""
    rows: list[tuple[str, ...]] = [HEADINGS]
    for index, run in enumerate(of_task):
        rows.append(
            (
                str(index + 1),
                run.start,
                run.end or NOT_LOGGED,
                run.endpoint,
                run.number,
                run.token,
                run.process,
                list_overlaps(of_task, index),
                "; ".join(run.notes) or NOT_LOGGED,
            )
        )
    return rows


def build_lines(runs: Runs) -> list[str]:
    """Return lines that show the runs of each task that has more than one."""
    lines: list[str] = []
    for task, of_task in sorted(runs.items()):
        if len(of_task) < 2:
            continue
        rows = build_rows(of_task)
        widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
        lines += ["", f"task {task}, {len(of_task)} runs"]
        for row in rows:
            cells = zip(row, widths, strict=True)
            lines.append("  ".join(cell.ljust(width) for cell, width in cells).rstrip())
    return lines
