"""What the decisions ask the shell to do.

A decision module takes an event and the time, changes its own state and
returns a list of these. Module folders may add effects of their own.
"""

from __future__ import annotations

import dataclasses
import typing

from knapweedbeam_core import ids, jobs, outcomes, reasons


class Message(typing.Protocol):
    """A frozen dataclass that the wire package has a Cap'n Proto struct for."""

    __dataclass_fields__: typing.ClassVar[dict[str, dataclasses.Field[typing.Any]]]


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send `message` to the process named `to`; it may be lost or repeated."""

    to: str
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Post one task to an endpoint; its end comes back as a `TaskEnd`."""

    task: ids.TaskId
    endpoint: str
    address: str
    payload: bytes
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Ask the platform to stop a running task."""

    task: ids.TaskId


@dataclasses.dataclass(frozen=True, slots=True)
class TaskAnswered:
    """The endpoint answered the task; `answer` is JSON text."""

    answer: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TaskNotStarted:
    """The endpoint surely did not start the task: refused, or said so."""

    reason: reasons.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class TaskFailed:
    """The task may have run; `reason` says what was seen."""

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
    """The owner took the job: the dispatcher queues it."""

    job: jobs.Job


@dataclasses.dataclass(frozen=True, slots=True)
class CancelJob:
    """The caller cancelled: the dispatcher stops what is left of the job."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestBegin:
    """The dispatcher is about to start the job: it must be begun first."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobBegun:
    """The witness holds the job as begun (or none is needed): start its tasks."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobEnded:
    """The dispatcher has the job's outcome; the owner settles it next."""

    ticket: str
    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class JobAbandoned:
    """The owner gave up a job not begun: the dispatcher drops it."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Give the outcome, or the refusal, to all callers that wait for the ticket.

    A refusal that concerns one body only, `CONFLICT`, carries that body's digest
    (`job_data.get_submission_digest`): it is for those callers who sent that body.
    Where `ticket` is a handle from `submit_new` and another ticket holds the
    caller's own key, `key_ticket` is that one.
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
