"""What processes tell each other about stored jobs."""

from __future__ import annotations

import dataclasses
import enum

from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import messages as pool_messages


@dataclasses.dataclass(frozen=True, slots=True)
class StoredJob:
    """A job to keep, with what its queue promised when it was accepted.

    The steps run `repeat_count` times (0 counts as once, at once): occurrence K is due
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
        """Say whether the job runs until it is cancelled."""
        return any(step.is_lasting for step in self.steps)


class Verdict(enum.StrEnum):
    """What is known of a stored job."""

    QUEUED = "queued"
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"  # no such job, for sure
    COUNTED = "counted"  # the answer to `CountWaiting`
    ELSEWHERE = "elsewhere"  # this process cannot tell, and changed nothing
    UNCLEAR = "unclear"  # no answer came: a change may or may not be made


OPEN_VERDICTS = (Verdict.QUEUED, Verdict.ACTIVE)


@dataclasses.dataclass(frozen=True, slots=True)
class KeepJob:
    """Accept a job; one that is kept already stays as it is."""

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
    """Tell the state of a job of a queue."""

    number: int
    job_id: str
    queue: str


@dataclasses.dataclass(frozen=True, slots=True)
class CountWaiting:
    """Count the jobs of a queue of which nothing was started; for the dispatcher."""

    number: int
    queue: str


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """The answer to the question of this number; `waiting` counts jobs."""

    number: int
    verdict: Verdict
    waiting: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NotedEnd:
    """An attempt that ended; endpoint, life and place name the end itself."""

    endpoint: str
    born_ms: int
    place: int
    task: str
    number: int
    is_done: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoteEnds:
    """Ends that a dispatcher saw: they are acknowledged once the log has them."""

    fence: int
    ends: tuple[NotedEnd, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BeginDispatch:
    """A dispatcher asks to place stored jobs; earlier ones note nothing any more.

    `asked_ms` is when it asked, by its own clock: it comes back with the log's answer.
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
    BeginDispatch,
)
