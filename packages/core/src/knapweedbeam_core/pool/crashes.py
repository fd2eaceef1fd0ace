"""Decides which tasks are at fault when endpoints crash.

Load: a task that crashes each endpoint which starts it, among tasks that do not. All
tasks on a crashed endpoint become suspects, as nothing tells which one is at fault. A
suspect starts where the fewest other tasks run, and nothing is started beside it until
it has run for `EARLY_MS`, so the next crash hardly concerns anyone else.

Most crashes by a task come early in its run. After `MAX_EARLY_CRASHES` of these, or
`MAX_CRASHES` in all, a task is at fault. Lasting tasks run through many unrelated
crashes, so only `MAX_CRASHES` count for them that come before a run has shown for
`PROVEN_MS` that it does no harm.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum

EARLY_MS = 1_000
PROVEN_MS = 300_000
MAX_EARLY_CRASHES = 2
MAX_CRASHES = 3


class LossCause(enum.Enum):
    """What is known of an endpoint that is lost."""

    CRASHED = "crashed"
    REFUSING = "refusing"  # connections are closed and refused: most probably crashed
    UNEXPLAINED = "unexplained"  # it may be cut off
    LEFT = "left"


def is_at_fault(crashes: collections.abc.Mapping[int, bool], is_lasting: bool) -> bool:
    """Return whether a task crashed endpoints too often to be started again.

    `crashes` holds the numbers of attempts under which an endpoint crashed, and whether
    it did early in the attempt's run.
    """
    early = sum(crashes.values())
    if is_lasting:
        return early >= MAX_CRASHES
    return early >= MAX_EARLY_CRASHES or len(crashes) >= MAX_CRASHES


@dataclasses.dataclass(slots=True)
class CrashHistory:
    """The attempts of one task that were lost with their endpoints.

    Both are attempt numbers, with whether contact was lost early in the attempt's run:
    `crashes` of endpoints that crashed, `unexplained` of endpoints that may be cut off.
    A suspect was on an endpoint that most probably crashed.
    """

    crashes: dict[int, bool] = dataclasses.field(default_factory=dict)
    unexplained: dict[int, bool] = dataclasses.field(default_factory=dict)
    is_suspect: bool = False

    def may_start(self, is_lasting: bool) -> bool:
        """Return whether the task is not at fault, whatever explains its losses."""
        if not self.crashes and not self.unexplained:
            return True
        return not is_at_fault(self.crashes | self.unexplained, is_lasting)


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """An attempt that was lost with its endpoint, and the key of its job."""

    job_key: str
    task: str
    number: int
    is_early: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LostIncarnation:
    """An endpoint whose loss is unexplained, with the attempts on it."""

    address: str
    losses: tuple[Loss, ...]


class UnexplainedLosses:
    """The attempts on lost endpoints that may have crashed or may be cut off."""

    def __init__(self) -> None:
        self.incarnations: dict[tuple[str, int], LostIncarnation] = {}

    def add(
        self, endpoint: str, born_ms: int, address: str, losses: tuple[Loss, ...]
    ) -> None:
        """Add the attempts that were lost with an endpoint's incarnation."""
        if not losses:
            return
        key = (endpoint, born_ms)
        known = self.incarnations.get(key)
        if known is not None:
            losses = (*known.losses, *losses)
        self.incarnations[key] = LostIncarnation(address, losses)

    def take(self, endpoint: str, born_ms: int) -> tuple[Loss, ...]:
        """Remove and return the losses of one incarnation, whose fate is known now."""
        found = self.incarnations.pop((endpoint, born_ms), None)
        return found.losses if found is not None else ()

    def find_replaced(self, endpoint: str, address: str) -> list[tuple[str, int]]:
        """Return the incarnations whose address another endpoint has now."""
        return [
            key
            for key, lost in self.incarnations.items()
            if lost.address == address and key[0] != endpoint
        ]

    def clear(self) -> None:
        """Forget all losses."""
        self.incarnations.clear()
