"""Messages about stored jobs."""

from __future__ import annotations

import dataclasses
import enum

from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import messages as pool_messages


@dataclasses.dataclass(frozen=True, slots=True)
class StoredJob:
    """A job to store, with the terms of its queue at the time it was accepted.

    The steps run `repeat_count` times (0 means once, immediately): occurrence K is due
    at `start_at_ms` plus K times `interval_ms`, in Unix milliseconds.
    """

    job_id: str
    terms: manifest.Terms
    spec: str
    steps: tuple[pool_messages.SubmittedStep, ...]
    repeat_count: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0

    @property
    def is_lasting(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.is_lasting for step in self.steps)


class Verdict(enum.StrEnum):
    """State of a stored job, or the result of a request about it."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"  # the job certainly does not exist
    COUNTED = "counted"  # the reply to `CountWaiting`
    ELSEWHERE = "elsewhere"  # this process cannot answer, and changed nothing
    UNCLEAR = "unclear"  # no reply came: the change may or may not have been made


OPEN_VERDICTS = (Verdict.QUEUED, Verdict.ACTIVE)


@dataclasses.dataclass(frozen=True, slots=True)
class KeepJob:
    """Store a job; one that is stored already is left unchanged."""

    number: int
    job: StoredJob


@dataclasses.dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancel a job of a queue."""

    number: int
    job_id: str
    queue: str


@dataclasses.dataclass(frozen=True, slots=True)
class LookUpJob:
    """Look up the state of a job of a queue."""

    number: int
    job_id: str
    queue: str


@dataclasses.dataclass(frozen=True, slots=True)
class CountWaiting:
    """Count the jobs of a queue that have no started task; sent to the dispatcher."""

    number: int
    queue: str


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """The reply to the request of this number; `waiting` is a number of jobs."""

    number: int
    verdict: Verdict
    waiting: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NotedEnd:
    """An attempt that ended; `endpoint`, `born_ms` and `place` identify the end."""

    endpoint: str
    born_ms: int
    place: int
    task: str
    number: int
    is_done: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoteEnds:
    """Ends that a dispatcher saw; they are acknowledged once the log has them."""

    fence: int
    ends: tuple[NotedEnd, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NoteCrashes:
    """Crashes of endpoints under tasks that a dispatcher saw, for the log.

    Or, if `is_retracted`, those of endpoints that answer again.
    """

    crashes: tuple[pool_messages.TaskCrash, ...]
    is_retracted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BeginDispatch:
    """A dispatcher asks to place stored jobs; ends from earlier ones are then ignored.

    `asked_ms` is the time of the request by its own clock, returned with the result.
    """

    fence: int
    asked_ms: int


Request = KeepJob | CancelJob | LookUpJob | CountWaiting

CLASSES: tuple[type, ...] = (
    KeepJob,
    CancelJob,
    LookUpJob,
    CountWaiting,
    Told,
    NoteEnds,
    NoteCrashes,
    BeginDispatch,
)
