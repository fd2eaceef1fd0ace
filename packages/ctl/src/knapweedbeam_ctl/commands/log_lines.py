"""Read the log lines of processes from files."""

from __future__ import annotations

import collections.abc
import dataclasses
import pathlib

import msgspec

from knapweedbeam_core import decoding


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
