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

    `suspected` are the numbers among `crashes` of a stored job's task whose endpoint
    may be cut off instead, `waived` those of losses that nothing explained in time.
    """

    crashes: dict[int, bool] = dataclasses.field(default_factory=dict)
    unexplained: dict[int, bool] = dataclasses.field(default_factory=dict)
    is_suspect: bool = False
    suspected: set[int] = dataclasses.field(default_factory=set)
    waived: set[int] = dataclasses.field(default_factory=set)

    def may_start(self, is_lasting: bool) -> bool:
        """Return whether the task is not at fault, whatever explains its losses.

        Waived losses do not hold it back.
        """
        if not self.crashes and not self.unexplained:
            return True
        lost = self.crashes | self.unexplained
        counted = {number: lost[number] for number in lost.keys() - self.waived}
        return not is_at_fault(counted, is_lasting)

    def count(self, number: int, is_early: bool) -> None:
        """Count a crash that is certain."""
        self.forget(number)
        self.crashes[number] = is_early
        self.is_suspect = True

    def suspect(self, number: int, is_early: bool) -> None:
        """Count a crash, unless it is certain, that may turn out to be a cut."""
        if number not in self.crashes:
            self.crashes[number] = is_early
            self.suspected.add(number)
        self.is_suspect = True

    def forget(self, number: int) -> None:
        """Forget the loss of an attempt."""
        self.crashes.pop(number, None)
        self.unexplained.pop(number, None)
        self.suspected.discard(number)
        self.waived.discard(number)
        self.is_suspect = bool(self.crashes)

    def is_certain(self, number: int) -> bool:
        """Return whether an attempt's endpoint has certainly crashed."""
        return number in self.crashes and number not in self.suspected


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """An attempt that was lost with its endpoint, and the key of its job."""

    job_key: str
    task: str
    number: int
    is_early: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LostIncarnation:
    """An endpoint whose loss is unexplained, with the attempts on it.

    An answer to a call sent after `lost_ms` explains it. Its tasks wait for that since
    `waiting_since_ms`, perhaps at another dispatcher before, until it `is_waived`.
    """

    address: str
    losses: tuple[Loss, ...]
    lost_ms: int
    waiting_since_ms: int
    is_waived: bool = False


class UnexplainedLosses:
    """The attempts on lost endpoints that may have crashed or may be cut off."""

    def __init__(self) -> None:
        self.incarnations: dict[tuple[str, int], LostIncarnation] = {}

    def add(
        self, endpoint: str, born_ms: int, lost: LostIncarnation
    ) -> tuple[Loss, ...]:
        """Add the attempts that were lost with an incarnation; return the new ones."""
        key = (endpoint, born_ms)
        known = self.incarnations.get(key)
        before = known.losses if known is not None else ()
        added = tuple(loss for loss in lost.losses if loss not in before)
        if added:
            self.incarnations[key] = dataclasses.replace(lost, losses=(*before, *added))
        return added

    def take(self, endpoint: str, born_ms: int) -> tuple[Loss, ...]:
        """Remove and return the losses of one incarnation, whose fate is known now."""
        found = self.incarnations.pop((endpoint, born_ms), None)
        return found.losses if found is not None else ()

    def find_replaced(
        self, endpoint: str, born_ms: int, address: str
    ) -> list[tuple[str, int]]:
        """Return the incarnations that an endpoint replaces by its id or address."""
        return [
            (name, former_ms)
            for (name, former_ms), lost in self.incarnations.items()
            if (name == endpoint and former_ms < born_ms)
            or (name != endpoint and lost.address == address)
        ]

    def waive_older(self, waiting_since_ms: int) -> list[Loss]:
        """Waive the losses that have waited since a time; return the new ones."""
        waived: list[Loss] = []
        for key, lost in self.incarnations.items():
            if lost.is_waived or lost.waiting_since_ms > waiting_since_ms:
                continue
            self.incarnations[key] = dataclasses.replace(lost, is_waived=True)
            waived += lost.losses
        return waived

    def drop_older(self, lost_ms: int) -> None:
        """Drop the incarnations that were lost before a time."""
        for key, lost in list(self.incarnations.items()):
            if lost.lost_ms < lost_ms:
                del self.incarnations[key]

    def clear(self) -> None:
        """Forget all losses."""
        self.incarnations.clear()
