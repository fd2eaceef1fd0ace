"""Events that the shell writes to the operator's log.

The fields of each class are the fields of its log line.
"""

from __future__ import annotations

import dataclasses
import enum


class StopReason(enum.StrEnum):
    """Why a dispatcher stops an attempt."""

    AGAIN = "still runs after a stop"
    DONE = "task is done"
    ELSEWHERE = "task is placed elsewhere"
    EVACUATED = "endpoint leaves"
    GANG = "gang lost an attempt"
    JOB_ENDED = "job ended"
    OVERDUE = "overdue"
    UNCERTAIN = "uncertain start"
    UNCLAIMED = "unclaimed"
    UNWANTED = "unwanted when it answered"


@dataclasses.dataclass(frozen=True, slots=True)
class DispatcherRoleChanged:
    """The process became the dispatcher of a shard with `fence`, or stopped if 0."""

    fence: int
    endpoints: int
    shard: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointChanged:
    """An endpoint was found, is held (again) or changed its state."""

    endpoint: str
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLost:
    """An endpoint was lost with `attempts` running on it.

    `contact` is how contact ended: see `contact.ContactState`. `reading_age_ms` is the
    age of the newest reading of the endpoint's clock, -1 for none. `lease_left_ms` is
    the rest of the longest lease that this dispatcher granted, negative once it has
    expired, 0 without a reading. `users` are other dispatchers known to have used it.
    """

    endpoint: str
    why: str
    attempts: int
    contact: str
    fence: int
    reading_age_ms: int
    lease_left_ms: int
    users: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobRejoined:
    """An open job was submitted again, by another entry VM `entry`."""

    job_id: str
    entry: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobWithdrawn:
    """The caller of a job no longer waits for it."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TasksPlaced:
    """Tasks of a job were started on `endpoints`; `left` of its ready tasks still wait.

    `age_ms` is the job's age, `slack_ms` the time left until its objective. `starts`
    names each task without its job, and the attempt's number, in the order of
    `endpoints`.
    """

    job_id: str
    endpoints: str
    left: int
    age_ms: int
    slack_ms: int
    shard: int
    fence: int
    starts: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobEnded:
    """A job ended with `outcome`, `age_ms` after its caller sent it."""

    job_id: str
    outcome: str
    age_ms: int
    attempts: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptLost:
    """An attempt was lost and its task waits for a new one.

    It was started `age_ms` ago; `state` is the last that was known of it.
    """

    task: str
    number: int
    endpoint: str
    why: str
    age_ms: int
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptStopped:
    """The dispatcher decided to stop an attempt, not because its job ended.

    `reason` is a `StopReason`.
    """

    task: str
    number: int
    endpoint: str
    reason: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptClaimed:
    """A job claimed an attempt that this dispatcher did not start under its token.

    `attempt_base` and `former` are those of the job.
    """

    task: str
    number: int
    endpoint: str
    attempt_base: int
    former: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobTakenOver:
    """A dispatcher took a job that may have run before.

    `runs` of its attempts are listed by endpoints here. Without sight of all endpoints
    of the `former` dispatchers it starts nothing for `wait_ms`.
    """

    job_id: str
    entry: str
    attempt_base: int
    former: str
    runs: int
    wait_ms: int
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobQuestioned:
    """The dispatcher asked an entry VM whether it still sends a job here.

    Nothing of the job starts before the answer.
    """

    job_id: str
    entry: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSuspected:
    """An endpoint crashed under an attempt of a task, for the `crashes`-th time.

    `early` tells whether it did soon after the attempt's start, `certain` is false if
    it may be cut off instead.
    """

    task: str
    number: int
    endpoint: str
    early: bool
    crashes: int
    certain: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointCoolingDown:
    """An endpoint gets no work for a cool-down of `rest_ms`."""

    endpoint: str
    why: str
    rest_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointFenced:
    """An endpoint refused this process's fencing token, as it has seen a higher one."""

    endpoint: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredDispatchStarted:
    """The log registered this dispatcher, which now places the `jobs` stored jobs."""

    fence: int
    term: int
    jobs: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredDispatchStopped:
    """The dispatcher no longer places stored jobs and stops `jobs` of them."""

    why: str
    jobs: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueueLoad:
    """What became of a queue's jobs since the last report.

    `waiting` jobs have tasks that wait now, the oldest for `oldest_ms` since its caller
    sent it. `max_start_age_ms` is the highest age at which a job's first task started.
    `in_time` and `late` jobs are complete.
    """

    queue: str
    waiting: int
    oldest_ms: int
    arrived: int
    started: int
    max_start_age_ms: int
    in_time: int
    late: int
    failed: int
    refused: int
    withdrawn: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoomHeld:
    """What became of the room held for tasks of a service since the last report."""

    service: str
    made: int
    used: int
    missed: int
    held_back: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoomShared:
    """What a queue's jobs from one failure domain got of a service short of room.

    `part_percent` is the part of the room that they are entitled to. The counts are
    jobs since the last report; `refused` are those refused for lack of room.
    """

    service: str
    queue: str
    domain: str
    part_percent: int
    arrived: int
    started: int
    refused: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveryStepReached:
    """A dispatcher reached a step for the first time since it became active."""

    step: str
    since_active_ms: int
    since_start_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessorFull:
    """Jobs were refused because the dispatcher's processor could not start their tasks.

    `refused` counts them since the last report. `starts_per_s` is what the processor
    finishes, measured `age_ms` ago; the last tick came `late_ms` late. `open_starts` of
    `window` wait for an answer, and `waiting` jobs have tasks that wait.
    """

    refused: int
    starts_per_s: int
    age_ms: int
    late_ms: int
    open_starts: int
    window: int
    waiting: int


LogEvent = (
    DispatcherRoleChanged
    | EndpointChanged
    | EndpointLost
    | JobRejoined
    | JobWithdrawn
    | TasksPlaced
    | JobEnded
    | AttemptLost
    | AttemptStopped
    | AttemptClaimed
    | JobTakenOver
    | JobQuestioned
    | TaskSuspected
    | EndpointCoolingDown
    | EndpointFenced
    | StoredDispatchStarted
    | StoredDispatchStopped
    | QueueLoad
    | RoomHeld
    | RoomShared
    | RecoveryStepReached
    | ProcessorFull
)
