"""How one event looks as a JSON line or as text."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

import msgspec

from knapweedbeam_server.logs import catalogue

FIELD_LIMIT_CHARACTERS = 300

Value = str | int | float | bool
Fields = dict[str, Value]


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One event that happened; `suppressed` counts like ones left out before."""

    time: datetime.datetime
    event: catalogue.Event
    fields: Fields
    suppressed: int = 0


Render = collections.abc.Callable[[Record], str]


def bound(value: object) -> Value:
    """Return a field's value with a bounded length."""
    if isinstance(value, int | float):
        return value
    text = str(value)
    if len(text) <= FIELD_LIMIT_CHARACTERS:
        return text
    return text[:FIELD_LIMIT_CHARACTERS] + "..."


def get_time(record: Record) -> str:
    """Return the time in UTC with milliseconds."""
    text = record.time.astimezone(datetime.UTC).isoformat(timespec="milliseconds")
    return text.replace("+00:00", "Z")


def get_message(record: Record) -> str:
    """Return the event's sentence."""
    return record.event.template.format(**record.fields)


def render_json(record: Record) -> str:
    """Return one JSON object without a line end."""
    line: dict[str, object] = {
        "time": get_time(record),
        "level": record.event.level,
        "event": record.event.number,
        "name": record.event.name,
        "message": get_message(record),
        "fields": record.fields,
    }
    if record.suppressed:
        line["suppressed"] = record.suppressed
    return msgspec.json.encode(line).decode()


def render_text(record: Record) -> str:
    """Return one line of text in which line ends are escaped."""
    message = get_message(record).encode("unicode_escape").decode("ascii")
    head = f"{get_time(record)} {record.event.level:7} {record.event.number}"
    tail = f" (and {record.suppressed} more before)" if record.suppressed else ""
    return f"{head} {message}{tail}"


RENDERERS: dict[str, Render] = {"json": render_json, "text": render_text}
