"""Events that only the bench writes to histories."""

from __future__ import annotations

import dataclasses
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """A client's request sent at `sent_ms` to an entry VM got no answer.

    `refused` says that the connection was never established.
    """

    ticket: str
    to: str
    sent_ms: int
    refused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GaveUp:
    """A client got no final answer before its timeout."""

    ticket: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class OverSlots:
    """An endpoint ran more tasks at once than it has slots."""

    endpoint: str
    running: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopSent:
    """The bench sent SIGTERM to an entry VM."""

    process: str


@dataclasses.dataclass(frozen=True, slots=True)
class Killed:
    """The bench sent SIGKILL to an entry VM."""

    process: str


@dataclasses.dataclass(frozen=True, slots=True)
class Exited:
    """An entry VM's process ended with an exit status."""

    process: str
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class CutOff:
    """The links between a failure domain's entry VMs and all others are cut."""

    domain: str
    processes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Healed:
    """The links of a failure domain work again."""

    domain: str
    processes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LimitDeclared:
    """The number of task starts a member's contract allows in any sliding window."""

    member: str
    limit: str
    task_starts: int
    window_ms: int


EVENTS: typing.Final[tuple[type, ...]] = (
    ConnectionLost,
    GaveUp,
    OverSlots,
    StopSent,
    Killed,
    Exited,
    CutOff,
    Healed,
    LimitDeclared,
)
