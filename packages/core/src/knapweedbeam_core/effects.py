"""Effects: what the decision modules request from the shell or from each other.

A decision module takes an event and the time, changes its own state and returns a
list of effects. Packages may define further effects of their own.
"""

from __future__ import annotations

import dataclasses
import typing

from knapweedbeam_core import ids, jobs, outcomes, reasons


class Message(typing.Protocol):
    """A frozen dataclass with a Cap'n Proto struct in the wire package."""

    __dataclass_fields__: typing.ClassVar[dict[str, dataclasses.Field[typing.Any]]]


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send `message` to the process named `to`; it may be lost or duplicated."""

    to: str
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Post one task to an endpoint; a `TaskEnd` reports its end."""

    task: ids.TaskId
    endpoint: str
    address: str
    payload: bytes
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Request the platform to stop a running task."""

    task: ids.TaskId


@dataclasses.dataclass(frozen=True, slots=True)
class TaskAnswered:
    """The endpoint answered the task; `answer` is JSON text."""

    answer: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TaskNotStarted:
    """The endpoint refused the task, or reported that it did not start it."""

    reason: reasons.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class TaskFailed:
    """The task may have run; `reason` says what was observed."""

    reason: reasons.Reason


TaskResult = TaskAnswered | TaskNotStarted | TaskFailed


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnd:
    """The end of one `StartTask`, as an event for the dispatcher."""

    task: ids.TaskId
    endpoint: str
    result: TaskResult
    run_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Enqueue:
    """The owner accepted the job; the dispatcher queues it."""

    job: jobs.Job


@dataclasses.dataclass(frozen=True, slots=True)
class CancelJob:
    """The caller cancelled the job; the dispatcher stops its remaining tasks."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestBegin:
    """The dispatcher is about to start the job, which must be recorded as begun."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobBegun:
    """The job is recorded as begun, at its witness if needed: start its tasks."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobEnded:
    """The dispatcher has the job's outcome; the owner settles the job next."""

    ticket: str
    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class JobAbandoned:
    """The owner abandoned a job that was not begun; the dispatcher drops it."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Return the outcome or refusal to all callers that wait for the ticket.

    The refusal `CONFLICT` concerns one body only and carries its digest
    (`job_data.get_submission_digest`): only callers that sent this body get it.
    If `ticket` is a handle from `submit_new` and the caller's own key belongs to
    another ticket, `key_ticket` is that ticket.
    """

    ticket: str
    outcome: outcomes.Outcome | outcomes.Refusal
    body_digest: bytes = b""
    key_ticket: str = ""


Effect = (
    Send
    | StartTask
    | StopTask
    | Enqueue
    | CancelJob
    | RequestBegin
    | JobBegun
    | JobEnded
    | JobAbandoned
    | Answer
)
