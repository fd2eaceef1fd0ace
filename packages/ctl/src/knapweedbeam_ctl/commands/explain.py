"""Show the log lines of one request from several log files, by time."""

from __future__ import annotations

import collections.abc
import pathlib

from knapweedbeam_ctl import exit_codes, failures, output
from knapweedbeam_ctl.commands import explain_runs, log_lines

# Events 7004 to 7025 report changes of the dispatcher and of the manifest in force,
# 7027 to 7029 those of evacuations.
# Those between a request's first and last line may explain its outcome.
CONTEXT_EVENTS = frozenset((*range(7004, 7026), *range(7027, 7030)))


def is_about(line: log_lines.LogLine, request: str) -> bool:
    """Return whether a line is about a request or one of its tasks."""
    if line.fields.get("job_id") == request:
        return True
    return str(line.fields.get("task", "")).startswith(f"{request}.")


def select_lines(
    entries: list[log_lines.SourceLine], request: str
) -> list[log_lines.SourceLine]:
    """Return the lines about a request and its context events, sorted by time.

    Context events count if they come from the same sources, between the request's
    first and last line.
    """
    own = [entry for entry in entries if is_about(entry.line, request)]
    if not own:
        return []
    first = min(entry.line.time for entry in own)
    last = max(entry.line.time for entry in own)
    sources = {entry.source for entry in own}
    selected = own + [
        entry
        for entry in entries
        if entry.line.event in CONTEXT_EVENTS
        and entry.source in sources
        and first <= entry.line.time <= last
    ]
    return sorted(selected, key=lambda entry: entry.line.time)


def show(
    request: str, paths: collections.abc.Sequence[pathlib.Path], as_json: bool
) -> exit_codes.ExitCode:
    """Print the lines of the log files about a request.

    After them come the runs of each task that has more than one, but not as JSON.
    """
    entries: list[log_lines.SourceLine] = []
    for path in paths:
        try:
            entries += log_lines.read_lines(path)
        except OSError as error:
            bad = failures.BadFile(str(path), str(error.strerror))
            return output.print_failure(bad, as_json)
    selected = select_lines(entries, request)
    if as_json:
        output.print_json([entry.line for entry in selected])
    else:
        for entry in selected:
            print(entry.line.time, entry.source, entry.line.event, entry.line.message)
        for text in explain_runs.build_lines(explain_runs.find_runs(selected, request)):
            print(text)
    return exit_codes.ExitCode.OK if selected else exit_codes.ExitCode.UNKNOWN
