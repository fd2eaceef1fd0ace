"""Decisions that are worth a line in the log: the shell writes them."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Office:
    """The process begins to dispatch under `fence`, or stops with 0."""

    fence: int
    endpoints: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointChanged:
    """An endpoint was found, came back or changed its state."""

    endpoint: str
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLost:
    """An endpoint was lost with `attempts` running on it."""

    endpoint: str
    why: str
    attempts: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobRejoined:
    """A job that is held already came again, from `entry`."""

    job_id: str
    entry: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobWithdrawn:
    """The caller of a job left."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TasksPlaced:
    """Tasks of a job were started on `endpoints`; `left` of them still wait.

    `age_ms` is the job's age, `slack_ms` what was left until its objective then.
    """

    job_id: str
    endpoints: str
    left: int
    age_ms: int
    slack_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobEnded:
    """A job has its outcome, `age_ms` after its caller sent it."""

    job_id: str
    outcome: str
    age_ms: int
    attempts: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptLost:
    """A start of a task came to nothing and the task waits again."""

    task: str
    number: int
    endpoint: str
    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRests:
    """An endpoint gets no work for a while."""

    endpoint: str
    why: str
    rest_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointFenced:
    """An endpoint refused this process's token: another one dispatches there."""

    endpoint: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredOffice:
    """The log has this dispatcher's token: it places the `jobs` stored ones."""

    fence: int
    term: int
    jobs: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredLeft:
    """The dispatcher places stored jobs no longer and stops `jobs` of them."""

    why: str
    jobs: int


LogEvent = (
    Office
    | EndpointChanged
    | EndpointLost
    | JobRejoined
    | JobWithdrawn
    | TasksPlaced
    | JobEnded
    | AttemptLost
    | EndpointRests
    | EndpointFenced
    | StoredOffice
    | StoredLeft
)
