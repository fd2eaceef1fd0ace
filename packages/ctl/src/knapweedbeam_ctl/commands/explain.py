"""Show the log lines of one request from several log files, by time."""

from __future__ import annotations

import collections.abc
import dataclasses
import pathlib

import msgspec

from knapweedbeam_core import decoding
from knapweedbeam_ctl import exit_codes, failures, output

# Events 7004 to 7025 report changes of the dispatcher and of the manifest in force.
# Those between a request's first and last line may explain its outcome.
CONTEXT_EVENTS = range(7004, 7026)


class LogLine(msgspec.Struct, frozen=True):
    """One line of a process's log, without the fields that are not needed here."""

    time: str
    event: int
    name: str
    message: str
    fields: dict[str, str | int | float | bool] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class SourceLine:
    """A log line and its source: the file, with the process if it is known."""

    line: LogLine
    source: str


DECODER = msgspec.json.Decoder(LogLine)


def read_lines(path: pathlib.Path) -> collections.abc.Iterator[SourceLine]:
    """Yield the log lines of a file; text before the first brace is not decoded."""
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            prefix, brace, rest = text.partition("{")
            try:
                line = DECODER.decode(brace + rest)
            except decoding.ERRORS:
                # The platform and the interpreter write other lines to the same files.
                continue
            # Log collectors may prefix each line with the name of the process.
            yield SourceLine(line, " ".join([path.name, *prefix.split()[-1:]]))


def is_about(line: LogLine, request: str) -> bool:
    """Return whether a line is about a request or one of its tasks."""
    if line.fields.get("job_id") == request:
        return True
    return str(line.fields.get("task", "")).startswith(f"{request}.")


def select_lines(entries: list[SourceLine], request: str) -> list[SourceLine]:
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
    """Print the lines of the log files about a request."""
    entries: list[SourceLine] = []
    for path in paths:
        try:
            entries += read_lines(path)
        except OSError as error:
            bad = failures.BadFile(str(path), str(error.strerror))
            return output.print_failure(bad, as_json)
    selected = select_lines(entries, request)
    if as_json:
        output.print_json([entry.line for entry in selected])
    else:
        for entry in selected:
            print(entry.line.time, entry.source, entry.line.event, entry.line.message)
    return exit_codes.ExitCode.OK if selected else exit_codes.ExitCode.UNKNOWN
