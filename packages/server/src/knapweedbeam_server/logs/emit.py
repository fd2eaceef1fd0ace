"""Write events of the catalogue through loguru, each kind at a bounded rate."""

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
    """How often one kind of event was seen since `start_ms`."""

    start_ms: int
    count: int = 0
    suppressed: int = 0


class RateLimiter:
    """Lets a bounded number of each kind of event through in a window."""

    def __init__(
        self, clock: clocks.Clock, events_per_window: int = EVENTS_PER_WINDOW
    ) -> None:
        self.clock = clock
        self.events_per_window = events_per_window
        self.windows: dict[int, Window] = {}

    def admit(self, event: catalogue.Event) -> int | None:
        """Return how many were left out before this one, or none to leave it out."""
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


class Stream(typing.Protocol):
    """Where lines go."""

    def write(self, text: str, /) -> int:
        """Take a line."""

    def flush(self) -> None:
        """Write what was taken."""


class Sink:
    """Renders loguru's messages to a stream."""

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
    """Where this process's events go; silent until it is set up."""

    def __init__(self) -> None:
        self.gate: RateLimiter | None = None

    def set_up(
        self,
        form: str,
        level: str,
        clock: clocks.Clock,
        stream: Stream | None = None,
        events_per_window: int = EVENTS_PER_WINDOW,
    ) -> None:
        """Write events of `level` and above as `json` or `text`, to stderr at first."""
        sink = Sink(stream or sys.stderr, form)
        loguru.logger.remove()
        loguru.logger.add(
            sink.write,
            level=level.upper(),
            format="{message}",
            filter=is_event,
            catch=True,
        )
        self.gate = RateLimiter(clock, events_per_window)

    def emit(self, event: catalogue.Event, fields: dict[str, object]) -> None:
        """Write one event, unless too many of its kind were just written."""
        if self.gate is None:
            return
        suppressed = self.gate.admit(event)
        if suppressed is None:
            return
        bounded = {name: render.bound(value) for name, value in fields.items()}
        bound = loguru.logger.bind(event=event, fields=bounded, suppressed=suppressed)
        bound.log(event.level.upper(), event.name)


def is_event(record: loguru.Record) -> bool:
    """Say whether a record comes from the catalogue."""
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


def emit(event: catalogue.Event, **fields: object) -> None:
    """Write an event with the fields of its template: no payloads, no tokens."""
    EMITTER.emit(event, fields)
