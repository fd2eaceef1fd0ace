"""Put in order what log files say of one request."""

from __future__ import annotations

import collections.abc
import dataclasses
import pathlib

import msgspec

from knapweedbeam_ctl import exit_codes, failures, output

# Events that change who dispatches or which manifest is in force, from 7004 to 7025:
# what lies between a request's first and last line may be its cause.
SURROUNDING = range(7004, 7026)


class LogLine(msgspec.Struct, frozen=True):
    """One line of a process's log; fields that are not needed are left out."""

    time: str
    event: int
    name: str
    message: str
    fields: dict[str, str | int | float | bool] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """A line and the file that it stands in."""

    line: LogLine
    place: str


DECODER = msgspec.json.Decoder(LogLine)


def read_lines(path: pathlib.Path) -> collections.abc.Iterator[Found]:
    """Return the events of a file; text before the first brace is skipped."""
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            head, brace, rest = text.partition("{")
            try:
                line = DECODER.decode(brace + rest)
            except msgspec.MsgspecError:
                # Log files also hold what the platform and the interpreter print.
                continue
            # What collects logs may put the name of the process before each line.
            yield Found(line, " ".join([path.name, *head.split()[-1:]]))


def mentions(line: LogLine, request: str) -> bool:
    """Say whether a line is about a request or one of its tasks."""
    if line.fields.get("job_id") == request:
        return True
    return str(line.fields.get("task", "")).startswith(f"{request}.")


def select(found: list[Found], request: str) -> list[Found]:
    """Return the lines about a request, and what changed meanwhile where it was."""
    own = [each for each in found if mentions(each.line, request)]
    if not own:
        return []
    first = min(each.line.time for each in own)
    last = max(each.line.time for each in own)
    places = {each.place for each in own}
    chosen = own + [
        each
        for each in found
        if each.line.event in SURROUNDING
        and each.place in places
        and first <= each.line.time <= last
    ]
    return sorted(chosen, key=lambda each: each.line.time)


def show(
    request: str, paths: collections.abc.Sequence[pathlib.Path], as_json: bool
) -> exit_codes.ExitCode:
    """Print what the log files say of a request."""
    found: list[Found] = []
    for path in paths:
        try:
            found += read_lines(path)
        except OSError as error:
            bad = failures.BadFile(str(path), str(error.strerror))
            return output.print_failure(bad, as_json)
    chosen = select(found, request)
    if as_json:
        output.print_json([each.line for each in chosen])
    else:
        for each in chosen:
            print(each.line.time, each.place, each.line.event, each.line.message)
    return exit_codes.ExitCode.OK if chosen else exit_codes.ExitCode.UNKNOWN
