"""What a dispatcher asks the shell to send to endpoints, and how that ends."""

from __future__ import annotations

import dataclasses
import enum

from knapweedbeam_core.pool import clocks


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One life of an endpoint: its id, when it was born, and its address."""

    endpoint: str
    born_ms: int
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start one attempt of a task; `until_ms` is on the endpoint's clock.

    `progress` is the saved state to go on from, `ticket` the right to start the step
    where it takes one; both are empty for none.
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
    """Renew the lease of all that runs on an endpoint, and look for ends.

    The answer comes at the next end, or after `wait_ms`. Ends up to `acked_end` are
    forgotten by the endpoint.
    """

    target: Target
    fence: int
    until_ms: int
    acked_end: int
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartPolling:
    """Keep one hold open at an endpoint until the dispatcher asks for none."""

    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Ask which of the endpoints (id and birth) may run a step.

    Answers are valid for `valid_ms` from `asked_ms` on, the dispatcher's time.
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
    """Look once at what an endpoint lists, beside the hold that is open."""

    endpoint: str


class Verdict(enum.Enum):
    """How an order to an endpoint ended."""

    ACCEPTED = "accepted"
    FENCED = "fenced"  # the endpoint has seen a higher fencing token
    SUPERSEDED = "old"  # that attempt or a higher one was stopped or has ended
    LEASE_EXPIRED = "late"  # the lease that it carried had run out
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"  # the step's ticket is missing or not valid any more
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"  # the endpoint refused and did nothing
    OTHER_INCARNATION = "reborn"  # another endpoint answers at this address
    UNREACHABLE = "unreached"  # no connection: nothing was sent
    UNKNOWN = "unknown"  # sent, and no answer that can be read


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The end of a `Start` or `Stop`."""

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
    """An attempt that runs, and its newest saved state."""

    task: str
    number: int
    progress: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """An attempt that ended; `place` counts the ends of this life of the endpoint."""

    place: int
    task: str
    number: int
    kind: EndKind
    progress: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class HoldResult:
    """The answer to a `Hold`."""

    born_ms: int
    reading: clocks.Reading
    running: tuple[Running, ...]
    ends: tuple[End, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HoldFailed:
    """A `Hold` that brought no lists."""

    verdict: Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class RecordEnd:
    """Have the log keep the end of an attempt of a stored job."""

    endpoint: str
    born_ms: int
    end: End


Call = Start | Stop | StartPolling | Probe | RequestAdvice
