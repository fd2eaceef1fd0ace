"""Calls to endpoints that a dispatcher requests from the shell, and their answers."""

from __future__ import annotations

import dataclasses
import enum

from knapweedbeam_core.pool import clocks, messages


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One incarnation of an endpoint: its id, start time (Unix time) and address."""

    endpoint: str
    born_ms: int
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start one attempt of a task; `until_ms` is on the endpoint's clock.

    `progress` is the saved state to resume from, `ticket` the permission to start the
    step where one is needed; both are empty for none.
    """

    target: Target
    task: str
    number: int
    spec: str
    until_ms: int
    fence: int
    progress: str = ""
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Stop one attempt of a task."""

    target: Target
    task: str
    number: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Renew the lease of all attempts on an endpoint and wait for ends (a long poll).

    The answer comes at the next end, or after `wait_ms`. The endpoint forgets the ends
    up to place `acked_end`. The lease lasts until `until_ms` on its clock.
    """

    target: Target
    fence: int
    until_ms: int
    acked_end: int
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartPolling:
    """Keep one hold open at an endpoint until the dispatcher returns no next hold."""

    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Request which of the endpoints (id and birth time) may run a step.

    Answers are valid for `valid_ms` from `asked_ms` on, by the dispatcher's clock.
    """

    step: str
    endpoints: tuple[tuple[str, int], ...]
    valid_ms: int
    asked_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """The endpoints that may run the step, each with its ticket."""

    allowed: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Get an endpoint's lists once, in addition to the hold that is open."""

    endpoint: str


class Verdict(enum.Enum):
    """How a call to an endpoint ended."""

    ACCEPTED = "accepted"
    FENCED = "fenced"  # the endpoint has seen a higher fencing token
    SUPERSEDED = "old"  # this attempt or a higher one was stopped or has ended
    LEASE_EXPIRED = "late"  # the lease in the call had expired
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"  # the step's ticket is missing or no longer valid
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"  # the endpoint refused the call without any effect
    OTHER_INCARNATION = "reborn"  # another incarnation answers at this address
    UNREACHABLE = "unreached"  # no connection, so nothing was sent
    REFUSED = "refused"  # the host refused the connection, so nothing was sent
    CLOSED = "closed"  # sent, but the connection was closed before an answer
    UNKNOWN = "unknown"  # sent, but no readable answer

    @property
    def may_have_arrived(self) -> bool:
        """Return whether a call without an answer may have been carried out."""
        return self in (Verdict.CLOSED, Verdict.UNKNOWN)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a `Start` or `Stop`, or the way in which it failed."""

    verdict: Verdict
    reading: clocks.Reading | None = None


class EndKind(enum.StrEnum):
    """How an attempt ended on its endpoint."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A running attempt and its newest saved state."""

    task: str
    number: int
    progress: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """An attempt that ended.

    `place` is the end's sequence number in this incarnation of the endpoint.
    """

    place: int
    task: str
    number: int
    kind: EndKind
    progress: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class HoldResult:
    """The answer to a `Hold`: the endpoint's running attempts and unforgotten ends."""

    born_ms: int
    reading: clocks.Reading
    running: tuple[Running, ...]
    ends: tuple[End, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HoldFailed:
    """A `Hold` that returned no lists."""

    verdict: Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class RecordEnd:
    """Record the end of a stored job's attempt in the log."""

    endpoint: str
    born_ms: int
    end: End


@dataclasses.dataclass(frozen=True, slots=True)
class RecordCrash:
    """Record in the log that an endpoint crashed, or may have, under a stored task.

    Or that it did not, as `is_retracted` tells, but answers again.
    """

    crash: messages.TaskCrash
    is_retracted: bool = False


Call = Start | Stop | StartPolling | Probe | RequestAdvice
