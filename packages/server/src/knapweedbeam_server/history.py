"""Write a process's events as JSON lines, for the history checker.

Each line holds the process, its incarnation and role, its monotonic time, the kind
of the event and the event. Processes on one machine share the monotonic clock, so
their histories can be merged.
"""

from __future__ import annotations

import dataclasses
import enum
import os
import pathlib
import typing

import msgspec

from knapweedbeam_core import clock, ids, outcomes

FLUSH_MS = clock.SECOND_MS
BUFFER_BYTES = 256 * 1024


class Role(enum.StrEnum):
    """The kind of process that wrote a line."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"
    CLIENT = "client"
    PLATFORM = "platform"
    BENCH = "bench"


class OutcomeKind(enum.StrEnum):
    """The outcome that a caller received; the value is the text on the wire."""

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Submitted:
    """An entry VM accepted a submission, or a client sent one to the entry VM `to`.

    `repeatable` is the service's setting; `key` is the caller's own key.
    """

    ticket: str
    member: str
    service: str
    job_class: str
    tasks: int
    repeatable: bool = False
    key: str = ""
    to: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Minted:
    """A block of tickets was minted at this process for a member."""

    member: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """A job is recorded as begun; none of its tasks started before this event."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """A task was sent to an endpoint, or an endpoint started it."""

    ticket: str
    index: int
    endpoint: str
    address: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskAnswered:
    """An endpoint's answer to a task; `status` is the HTTP status, 0 if none came."""

    ticket: str
    index: int
    endpoint: str
    status: int
    run_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A caller received the outcome of a job.

    `answers` is the number of task answers. `foreign` lists the indexes of answers
    that belong to another request, as far as the writer can detect them.
    """

    ticket: str
    outcome: OutcomeKind
    reason: str = ""
    answers: int = 0
    may_have_run: bool = False
    foreign: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Sealed:
    """A witness sealed a ticket: it can no longer be recorded as begun."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Announced:
    """An endpoint announced itself."""

    endpoint: str
    incarnation: int
    sequence: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """An endpoint announced that it is leaving."""

    endpoint: str
    incarnation: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """An endpoint's keeper granted slots to the entry VM `to` for `lease_ms`."""

    endpoint: str
    to: str
    slots: int
    lease_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The replicated log accepted a bundle."""

    version: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """A bundle is in force at this process from now on."""

    version: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class LimitUsed:
    """Some of a contract limit was used here, counted in the limit's base units.

    `window_start_ms` is the wall time at which an aligned window starts. A sliding
    window has none; the checker uses the time of the line.
    """

    member: str
    limit: str
    amount: int
    allowed: int
    window_ms: int
    sliding: bool = False
    window_start_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Ready:
    """The process is ready and accepts work from now on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """A graceful stop started."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped:
    """The process ends; `cut` is the number of requests that got no answer."""

    cut: int = 0


EVENTS: typing.Final[tuple[type, ...]] = (
    Submitted,
    Minted,
    Begun,
    Started,
    TaskAnswered,
    Answered,
    Sealed,
    Announced,
    Leaving,
    Granted,
    Accepted,
    InForce,
    LimitUsed,
    Ready,
    Stopping,
    Stopped,
)


class Event(typing.Protocol):
    """A frozen dataclass of `EVENTS`, or one that a test fake adds."""

    __dataclass_fields__: typing.ClassVar[dict[str, dataclasses.Field[typing.Any]]]


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a history file."""

    process: str
    incarnation: int
    role: Role
    at_ms: int
    kind: str
    event: Event


def get_kind(event_class: type) -> str:
    """Return the name of an event class in history files, in `snake_case`."""
    name = event_class.__name__
    parts = ["_" + c.lower() if c.isupper() else c for c in name]
    return "".join(parts).lstrip("_")


def build_answered(ticket: str, outcome: outcomes.Outcome) -> Answered:
    """Return the event for a job's outcome."""
    if isinstance(outcome, outcomes.Complete):
        return Answered(ticket, OutcomeKind.COMPLETE, answers=len(outcome.answers))
    if isinstance(outcome, outcomes.NotRun):
        return Answered(ticket, OutcomeKind.NOT_RUN, outcome.reason)
    reason, may_have_run = outcome.reason, outcome.may_have_run
    return Answered(ticket, OutcomeKind.FAILED, reason, may_have_run=may_have_run)


class HistoryWriter(typing.Protocol):
    """Writes the history of a process."""

    def write(self, event: Event) -> None:
        """Write one event with the current time."""

    def flush(self) -> None:
        """Pass buffered lines to the operating system; call it every `FLUSH_MS`."""

    def close(self) -> None:
        """Flush and close; later writes are ignored."""


class SilentHistory:
    """Discards all events, for a process without a history file."""

    def write(self, event: Event) -> None:
        """Discard the event."""

    def flush(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class FileHistory:
    """Writes a history file; later runs of the same process append to it.

    A write flushes if the last flush was at least `FLUSH_MS` ago. The owner also calls
    `flush` on a timer, so that the lines of an idle process reach the file.
    """

    def __init__(
        self,
        path: pathlib.Path,
        process: ids.ProcessId,
        own_clock: clock.Clock,
        role: Role = Role.ENTRY,
    ) -> None:
        self.process = process
        self.clock = own_clock
        self.role = role
        self.encoder = msgspec.json.Encoder()
        self.kinds = {event_class: get_kind(event_class) for event_class in EVENTS}
        self.file = open(path, "ab", buffering=BUFFER_BYTES)  # noqa: SIM115
        self.flushed_ms = own_clock.now_ms()
        # A run that was killed may have left an incomplete line.
        if self.file.seek(0, os.SEEK_END):
            self.file.write(b"\n")

    def write(self, event: Event) -> None:
        """Write one event with the current time."""
        if self.file.closed:
            return
        now_ms = self.clock.now_ms()
        kind = self.kinds.get(type(event)) or self.add_kind(type(event))
        name, incarnation = self.process.name, self.process.incarnation
        line = Line(name, incarnation, self.role, now_ms, kind, event)
        self.file.write(self.encoder.encode(line))
        self.file.write(b"\n")
        if now_ms - self.flushed_ms >= FLUSH_MS:
            self.flush()

    def add_kind(self, event_class: type) -> str:
        """Store and return the kind of an event class that a test fake adds."""
        return self.kinds.setdefault(event_class, get_kind(event_class))

    def flush(self) -> None:
        """Pass buffered lines to the operating system."""
        if not self.file.closed:
            self.file.flush()
        self.flushed_ms = self.clock.now_ms()

    def close(self) -> None:
        """Flush and close; later writes are ignored."""
        self.file.close()


def open_history(
    path: pathlib.Path | None, process: ids.ProcessId, own_clock: clock.Clock
) -> HistoryWriter:
    """Return a writer to `path`, or one that discards events if `path` is None."""
    if path is None:
        return SilentHistory()
    return FileHistory(path, process, own_clock)
