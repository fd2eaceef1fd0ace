"""Messages about endpoints and jobs between entry VMs, control VMs and dispatchers."""

from __future__ import annotations

import dataclasses
import enum

from knapweedbeam_core import reasons
from knapweedbeam_core.manifests import manifest


class EndpointState(enum.StrEnum):
    """The state that an endpoint announces."""

    UP = "up"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointNews:
    """An endpoint's newest announcement.

    `born_ms` (Unix time) identifies the incarnation of the endpoint, and `sequence`
    orders its announcements. `labels` name its kind and its rack; `rack` is empty if
    unknown. `cold_ms` is how much longer it is slow after its start. `age_ms` is how
    old the announcement was when it was passed on.
    """

    endpoint: str
    born_ms: int
    sequence: int
    service: str
    address: str
    domain: str
    state: EndpointState
    cpu_millis: int
    memory_mib: int
    gpus: int
    labels: tuple[str, ...]
    clock_ms: int
    age_ms: int = 0
    rack: str = ""
    cold_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointNewsHeld:
    """The dispatcher has received an announcement and acts on it."""

    endpoint: str
    born_ms: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointGone:
    """An incarnation of an endpoint signed off; `born_ms` is 0 if it is not known."""

    endpoint: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SubmittedStep:
    """A step: equal tasks of a job that start when the steps `depends_on` are done.

    `estimate_ms` is the caller's rough estimate of one task's run time on a healthy
    endpoint near its data. `required_label` and `data_rack` are empty for none,
    `max_per_endpoint` is 0 for no limit.

    The tasks of a gang only work together and end together. Rack-local tasks are slow
    when spread over several racks. Tasks that keep progress resume from their saved
    state. Lasting tasks run until their job is cancelled; the system may stop up to
    `may_miss` of them at a time. Filling tasks use the processor capacity that others
    leave. `target_ms` is the response time that a lasting task has to offer its own
    users, 0 for none.
    """

    count: int
    cpu_millis: int
    memory_mib: int
    gpus: int
    estimate_ms: int
    depends_on: tuple[int, ...]
    required_label: str
    data_rack: str
    max_per_endpoint: int
    is_gang: bool = False
    is_rack_local: bool = False
    keeps_progress: bool = False
    is_lasting: bool = False
    is_filling: bool = False
    target_ms: int = 0
    may_miss: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TaskCrash:
    """An endpoint crashed under an attempt of a task.

    `is_early` tells whether it did soon after the attempt's start. If the endpoint may
    have been cut off instead, `endpoint`, `born_ms` and `address` name its incarnation,
    whose next sign of life or replacement tells. They are empty if it has crashed.
    """

    task: str
    number: int
    is_early: bool
    endpoint: str = ""
    born_ms: int = 0
    address: str = ""

    @property
    def is_certain(self) -> bool:
        """Return whether the endpoint has certainly crashed."""
        return not self.endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Submission of a job that its sender holds open for a caller.

    `age_ms` is how long ago the caller sent it, `patience_ms` how much longer the
    caller waits. `attempt_base` increases each time the job is sent to another
    dispatcher. `hand_in` is the same in all copies of one submission, and differs when
    the job is submitted again. `token` is the fencing token under which the receiver
    dispatches, as its sender knows it, 0 if it does not know. `crashes` are those that
    earlier dispatchers counted, `former` the names of those that may have had the job.
    `domain` is the failure domain of the sender, empty if unknown.
    """

    job_id: str
    terms: manifest.Terms
    spec: str
    steps: tuple[SubmittedStep, ...]
    age_ms: int
    patience_ms: int
    attempt_base: int
    hand_in: int = 0
    token: int = 0
    crashes: tuple[TaskCrash, ...] = ()
    former: tuple[str, ...] = ()
    domain: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """The caller no longer waits for the job; `hand_in` is that of the submission."""

    job_id: str
    hand_in: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ConfirmJob:
    """A dispatcher asks whether a job is still open and sent to it.

    `question_ms` identifies the question.
    """

    job_id: str
    question_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobConfirmed:
    """The job of the question `question_ms` is open, and its sender's to dispatch."""

    job_id: str
    question_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskCrashed:
    """A crash under a task of a job, for the next dispatcher of the job to know."""

    job_id: str
    crash: TaskCrash


@dataclasses.dataclass(frozen=True, slots=True)
class JobComplete:
    """All tasks of a job are done."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobFailed:
    """A task of the job failed too often, or crashed endpoints."""

    job_id: str
    reason: reasons.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class JobRefused:
    """No task of the job was started, and none will be.

    That is said of the submission with `hand_in`, 0 for any.
    """

    job_id: str
    reason: reasons.Reason
    retry_after_ms: int
    hand_in: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CancelOpenJob:
    """A best-effort job was cancelled `age_ms` ago at an entry VM that lacks it.

    It is one of `queue`. The same job submitted after that goes on.
    """

    job_id: str
    queue: str
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """The submission with `hand_in` of a job was cancelled at another entry VM."""

    job_id: str
    hand_in: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotDispatching:
    """The sender does not dispatch; the process `following` may know which one does.

    It did not take the submission with `hand_in`, 0 for any.
    """

    job_id: str
    following: str
    hand_in: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LearnedSpeed:
    """The measured speed of one incarnation of an endpoint; see `speeds.Speed`.

    It counts for nothing without `samples`.
    """

    endpoint: str
    born_ms: int
    speed: float
    samples: int


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedsLearned:
    """The endpoints that a dispatcher uses, with their speeds, for its successors."""

    speeds: tuple[LearnedSpeed, ...]


CLASSES: tuple[type, ...] = (
    SpeedsLearned,
    EndpointNews,
    EndpointNewsHeld,
    EndpointGone,
    Submit,
    Withdraw,
    ConfirmJob,
    JobConfirmed,
    TaskCrashed,
    JobComplete,
    JobFailed,
    JobRefused,
    CancelOpenJob,
    JobCancelled,
    NotDispatching,
)
