"""What entry VMs, control VMs and dispatchers tell each other about jobs."""

from __future__ import annotations

import dataclasses
import enum

from knapweedbeam_core import reasons
from knapweedbeam_core.manifests import manifest


class EndpointState(enum.StrEnum):
    """What an endpoint says of itself."""

    UP = "up"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointNews:
    """An endpoint's newest word about itself.

    `sequence` orders the words of one life, which `born_ms` (Unix time) names.
    `labels` name its kind and its rack; `rack` is empty where none is known. `age_ms`
    is how old the word was when it was passed on.
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


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointNewsHeld:
    """The dispatcher knows of an announcement and acts on it."""

    endpoint: str
    born_ms: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointGone:
    """An endpoint signed off for good."""

    endpoint: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SubmittedStep:
    """Equal tasks of a job; `depends_on` are earlier steps that must be done.

    `estimate_ms` is the caller's rough guess of one task's time on a sound endpoint
    near its data. `required_label` and `data_rack` are empty for none,
    `max_per_endpoint` is 0 for no bound.

    The tasks of a gang work only together and end together. Rack-local tasks are slow
    on more than one rack. Tasks that keep progress go on from where they were saved.
    Lasting tasks run until their job is cancelled; of these the system may take
    `may_miss` away at a time. Filling tasks get the processor room that others leave.
    `target_ms` is the response time that a lasting task owes its own users, 0 for none.
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
class Submit:
    """A job that its sender holds open for a caller.

    `age_ms` is how long ago the caller sent it, `patience_ms` how much longer the
    caller waits. `attempt_base` rises each time the job goes to another dispatcher.
    `hand_in` is the same in every copy of what one caller's request led to, and differs
    when the job is handed in anew.
    """

    job_id: str
    terms: manifest.Terms
    spec: str
    steps: tuple[SubmittedStep, ...]
    age_ms: int
    patience_ms: int
    attempt_base: int
    hand_in: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """The caller left: nobody waits for the job any more."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobComplete:
    """All tasks of a job are done."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobFailed:
    """A task of the job failed as often as its queue allows."""

    job_id: str
    reason: reasons.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class JobRefused:
    """Nothing of the job was started, and nothing will be."""

    job_id: str
    reason: reasons.Reason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotDispatching:
    """The sender doesn't dispatch (any more); `following` may know who does."""

    job_id: str
    following: str


@dataclasses.dataclass(frozen=True, slots=True)
class LearnedSpeed:
    """How fast one life of an endpoint works: see `speeds.Speed`."""

    endpoint: str
    born_ms: int
    speed: float
    samples: int


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedsLearned:
    """What the dispatcher has learned of endpoints, for those that may follow it."""

    speeds: tuple[LearnedSpeed, ...]


CLASSES: tuple[type, ...] = (
    SpeedsLearned,
    EndpointNews,
    EndpointNewsHeld,
    EndpointGone,
    Submit,
    Withdraw,
    JobComplete,
    JobFailed,
    JobRefused,
    NotDispatching,
)
