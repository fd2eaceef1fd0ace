"""Reads all history files of a folder into one history, in order of time."""

from __future__ import annotations

import collections
import dataclasses
import pathlib
import typing

import msgspec

from bench import events
from knapweedbeam_server import history

PATTERN = "*.history"
CLASSES = {history.get_kind(cls): cls for cls in history.EVENTS + events.EVENTS}
E = typing.TypeVar("E")


class RawLine(msgspec.Struct):
    """A line of a history file whose event is not decoded yet."""

    process: str
    incarnation: int
    role: history.Role
    at_ms: int
    kind: str
    event: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class Record(typing.Generic[E]):
    """An event with its time and the process that recorded it."""

    process: str
    incarnation: int
    role: history.Role
    at_ms: int
    event: E

    def describe(self) -> str:
        """Return the record as one line of text."""
        process = f"{self.role.value} {self.process}#{self.incarnation}"
        return f"{self.at_ms} ms {process}: {self.event}"


class History:
    """The merged records of a run in order of time, also by event class."""

    def __init__(self, records: list[Record[typing.Any]]) -> None:
        self.torn = 0
        self.records = sorted(records, key=lambda record: record.at_ms)
        self.by_class: dict[type, list[Record[typing.Any]]] = collections.defaultdict(
            list
        )
        for record in self.records:
            self.by_class[type(record.event)].append(record)

    def get(
        self, event_class: type[E], role: history.Role | None = None
    ) -> list[Record[E]]:
        """Return the records of one event class, of one role or of all roles."""
        found = self.by_class.get(event_class, [])
        return [record for record in found if role in (None, record.role)]


def read_history(folder: pathlib.Path) -> History:
    """Read every history file of a folder.

    A line that a killed process left incomplete is counted in `torn`. A line of an
    unknown kind raises `KeyError`.
    """
    records: list[Record[typing.Any]] = []
    torn = 0
    decoder = msgspec.json.Decoder(RawLine)
    for path in sorted(folder.rglob(PATTERN)):
        for line in path.read_bytes().splitlines():
            if not line:
                continue
            record = read_line(decoder, line)
            if record is None:
                torn += 1
            else:
                records.append(record)
    merged = History(records)
    merged.torn = torn
    return merged


def read_line(
    decoder: msgspec.json.Decoder[RawLine], line: bytes
) -> Record[typing.Any] | None:
    """Return the record of a line, or None if the line is incomplete."""
    try:
        raw = decoder.decode(line)
    except msgspec.MsgspecError:
        return None
    event: typing.Any = msgspec.json.decode(raw.event, type=CLASSES[raw.kind])
    return Record(raw.process, raw.incarnation, raw.role, raw.at_ms, event)
