"""Writes events of the catalogue through loguru, with a rate limit for each kind."""

from __future__ import annotations

import dataclasses
import sys
import typing

import loguru

from knapweedbeam_core import clock as clocks
from knapweedbeam_server.logs import catalogue, render

WINDOW_MS = 1_000
EVENTS_PER_WINDOW = 50


@dataclasses.dataclass(slots=True)
class Window:
    """Counts of all and of suppressed events of one kind since `start_ms`."""

    start_ms: int
    count: int = 0
    suppressed: int = 0


class RateLimiter:
    """Limits the number of events of each kind in a time window."""

    def __init__(
        self, clock: clocks.Clock, events_per_window: int = EVENTS_PER_WINDOW
    ) -> None:
        self.clock = clock
        self.events_per_window = events_per_window
        self.windows: dict[int, Window] = {}

    def admit(self, event: catalogue.Event) -> int | None:
        """Return how many were suppressed before this event, or none to suppress it."""
        now_ms = self.clock.now_ms()
        window = self.windows.get(event.number)
        if window is None:
            window = self.windows[event.number] = Window(now_ms)
        suppressed = 0
        if now_ms - window.start_ms >= WINDOW_MS:
            suppressed = window.suppressed
            window.start_ms, window.count, window.suppressed = now_ms, 0, 0
        window.count += 1
        if window.count <= self.events_per_window:
            return suppressed
        window.suppressed += 1
        return None


class DataClass(typing.Protocol):
    """A data class."""

    __dataclass_fields__: typing.ClassVar[dict[str, typing.Any]]


class Stream(typing.Protocol):
    """The stream that lines are written to."""

    def write(self, text: str, /) -> int:
        """Write a line."""

    def flush(self) -> None:
        """Flush the lines that were written."""


class Sink:
    """Formats loguru's messages and writes them to a stream."""

    def __init__(self, stream: Stream, form: str) -> None:
        self.stream = stream
        self.render = render.RENDERERS[form]

    def write(self, message: loguru.Message) -> None:
        """Write one line."""
        extra = message.record["extra"]
        record = render.Record(
            message.record["time"], extra["event"], extra["fields"], extra["suppressed"]
        )
        self.stream.write(self.render(record) + "\n")
        self.stream.flush()


class Emitter:
    """Writes this process's events; discards them until `set_up` is called."""

    def __init__(self) -> None:
        self.rate_limiter: RateLimiter | None = None

    def set_up(
        self,
        form: str,
        level: str,
        clock: clocks.Clock,
        stream: Stream | None = None,
        events_per_window: int = EVENTS_PER_WINDOW,
    ) -> None:
        """Write events from `level` on as `json` or `text`, to stderr by default."""
        sink = Sink(stream or sys.stderr, form)
        loguru.logger.remove()
        loguru.logger.add(
            sink.write,
            level=level.upper(),
            format="{message}",
            filter=is_event,
            catch=True,
        )
        self.rate_limiter = RateLimiter(clock, events_per_window)

    def emit(self, event: catalogue.Event, fields: dict[str, object]) -> None:
        """Write one event unless its kind has reached the rate limit."""
        suppressed = self.admit(event)
        if suppressed is not None:
            self.write(event, fields, suppressed)

    def emit_record(self, event: catalogue.Event, record: DataClass) -> None:
        """Write one event whose fields are those of a data class."""
        suppressed = self.admit(event)
        if suppressed is not None:
            names = (field.name for field in dataclasses.fields(record))
            fields = {name: getattr(record, name) for name in names}
            self.write(event, fields, suppressed)

    def admit(self, event: catalogue.Event) -> int | None:
        """Return how many were suppressed before this event, or none to suppress it."""
        if self.rate_limiter is None:
            return None
        return self.rate_limiter.admit(event)

    def write(
        self, event: catalogue.Event, fields: dict[str, object], suppressed: int
    ) -> None:
        """Write one event."""
        truncated = {name: render.truncate(value) for name, value in fields.items()}
        logger = loguru.logger.bind(
            event=event, fields=truncated, suppressed=suppressed
        )
        logger.log(event.level.upper(), event.name)


def is_event(record: loguru.Record) -> bool:
    """Return whether a record is an event of the catalogue."""
    return "event" in record["extra"]


EMITTER = Emitter()


def set_up(
    form: str,
    level: str,
    clock: clocks.Clock,
    stream: Stream | None = None,
    events_per_window: int = EVENTS_PER_WINDOW,
) -> None:
    """Set up the log of this process."""
    EMITTER.set_up(form, level, clock, stream, events_per_window)


def emit_record(event: catalogue.Event, record: DataClass) -> None:
    """Write an event whose fields are those of a data class."""
    EMITTER.emit_record(event, record)


def emit(event: catalogue.Event, **fields: object) -> None:
    """Write an event with the fields of its template; never payloads or tokens."""
    EMITTER.emit(event, fields)
