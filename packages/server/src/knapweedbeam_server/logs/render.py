"""Formats events as JSON lines or as text."""

from __future__ import annotations

import collections.abc
import dataclasses
import datetime

import msgspec

from knapweedbeam_server.logs import catalogue

MAX_FIELD_CHARACTERS = 300

Value = str | int | float | bool
Fields = dict[str, Value]


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """An event; `suppressed` is the number of its kind suppressed before it."""

    time: datetime.datetime
    event: catalogue.Event
    fields: Fields
    suppressed: int = 0


Render = collections.abc.Callable[[Record], str]


def truncate(value: object) -> Value:
    """Return a field's value, truncated to `MAX_FIELD_CHARACTERS`."""
    if isinstance(value, int | float):
        return value
    text = str(value)
    if len(text) <= MAX_FIELD_CHARACTERS:
        return text
    return text[:MAX_FIELD_CHARACTERS] + "..."


def format_time(record: Record) -> str:
    """Return the time in UTC with milliseconds."""
    text = record.time.astimezone(datetime.UTC).isoformat(timespec="milliseconds")
    return text.replace("+00:00", "Z")


def format_message(record: Record) -> str:
    """Return the event's template with its fields filled in."""
    return record.event.template.format(**record.fields)


def render_json(record: Record) -> str:
    """Return one JSON object without a newline."""
    line: dict[str, object] = {
        "time": format_time(record),
        "level": record.event.level,
        "event": record.event.number,
        "name": record.event.name,
        "message": format_message(record),
        "fields": record.fields,
    }
    if record.suppressed:
        line["suppressed"] = record.suppressed
    return msgspec.json.encode(line).decode()


def render_text(record: Record) -> str:
    """Return one line of text in which newlines are escaped."""
    message = format_message(record).encode("unicode_escape").decode("ascii")
    head = f"{format_time(record)} {record.event.level:7} {record.event.number}"
    tail = f" (and {record.suppressed} more before)" if record.suppressed else ""
    return f"{head} {message}{tail}"


RENDERERS: dict[str, Render] = {"json": render_json, "text": render_text}
