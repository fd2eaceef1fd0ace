"""Callers of a simulated deployment, who hand a job in again without an answer."""

from __future__ import annotations

import dataclasses
import enum
import random
import typing

from bench.fleet import network as networks
from bench.fleet import node as nodes
from knapweedbeam_core import reasons
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import messages, open_jobs

PATIENCE_MS = 3_000
RETRY_PAUSE_MS = 20
QUEUE = manifest.Queue(
    "host", "/jobs/", 3_000, manifest.Terms("jobs", "service", 0, 3, 1.6, 60)
)


class Answer(enum.Enum):
    """What a caller got for one attempt to hand a job in."""

    NONE = "none"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    ENDED = "ended"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt to hand a job in at an entry VM."""

    entry: str
    sent_ms: int
    answer: Answer = Answer.NONE
    has_arrived: bool = False


@dataclasses.dataclass(slots=True)
class Job:
    """A job with all attempts to hand it in."""

    job_id: str
    domain: str
    count: int
    work_ms: int
    give_up_ms: int
    attempts: list[Attempt] = dataclasses.field(default_factory=list)

    @property
    def is_answered(self) -> bool:
        """Return whether some caller was told that the job ended."""
        return any(each.answer == Answer.ENDED for each in self.attempts)

    @property
    def is_refused(self) -> bool:
        """Return whether every attempt that arrived was refused."""
        arrived = [each for each in self.attempts if each.has_arrived]
        return bool(arrived) and all(each.answer == Answer.REFUSED for each in arrived)


class World(typing.Protocol):
    """The deployment that the callers use."""

    network: networks.Network

    @property
    def now_ms(self) -> int:
        """Return the time."""

    def schedule_after(self, delay_ms: int, call: networks.Action) -> None:
        """Run an action after a delay."""

    def list_entries(self) -> list[nodes.Node]:
        """Return the running entry VMs."""

    def record(self, name: str, event: object) -> None:
        """Write to the log."""


class Callers:
    """All callers.

    `lost_share` of the answers don't arrive, `repeat_share` of the jobs are handed in
    once more after their answer, and `hasty_share` of the callers leave early. None
    hands a job in again unless `retries`.
    """

    def __init__(self, world: World, rng: random.Random) -> None:
        self.world = world
        self.rng = rng
        self.jobs: dict[str, Job] = {}
        self.lost_share = 0.05
        self.repeat_share = 0.05
        self.hasty_share = 0.1
        self.retries = True

    def be_patient(self) -> None:
        """Let each caller hand its job in once, and wait for the answer."""
        self.lost_share = self.repeat_share = self.hasty_share = 0.0
        self.retries = False

    def submit(self, job: Job, entry: str = "") -> None:
        """Hand a job in for the first time."""
        self.jobs[job.job_id] = job
        self.hand_in(job, entry)

    def hand_in(self, job: Job, entry: str = "") -> None:
        """Hand a job in at an entry VM, a random one that can be reached by default."""
        place = f"callers-{job.domain}"
        found = [
            each
            for each in self.world.list_entries()
            if self.world.network.is_open_both_ways(place, each.name)
            and entry in ("", each.name)
        ]
        if not found:
            self.retry(job)
            return
        chosen = self.rng.choice(found)
        attempt = Attempt(chosen.name, self.world.now_ms)
        job.attempts.append(attempt)
        self.world.record(place, f"hands {job.job_id} in at {chosen.name}")
        self.world.network.transmit(
            place,
            chosen.name,
            lambda: chosen.do(lambda: self.arrive(job, attempt, chosen)),
        )

    def arrive(self, job: Job, attempt: Attempt, entry: nodes.Node) -> None:
        """Let an attempt arrive at its entry VM."""
        place = f"callers-{job.domain}"
        attempt.has_arrived = True

        def settle(outcome: open_jobs.Outcome) -> None:
            self.world.network.transmit(
                entry.name, place, lambda: self.on_outcome(job, attempt, outcome), 500
            )

        def leave() -> None:
            if attempt.answer != Answer.NONE or job.is_answered:
                return
            if self.world.network.is_open(place, entry.name):
                entry.do(lambda: entry.remove_waiter(job.job_id, settle))
            self.retry(job)

        if not entry.open_jobs.dispatcher:
            refused = open_jobs.Refused(reasons.Reason.NOT_READY, 1_000)
            settle(refused)
            return
        steps = (
            messages.SubmittedStep(
                job.count, 27_000, 64, 0, job.work_ms, (), "", "", 0
            ),
        )
        patience_ms = max(1, job.give_up_ms - self.world.now_ms)
        entry.submit(job.job_id, QUEUE, steps, patience_ms, settle)
        is_hasty = self.rng.random() < self.hasty_share
        waits_ms = self.rng.randint(100, 900) if is_hasty else patience_ms
        self.world.schedule_after(waits_ms, leave)

    def on_outcome(
        self, job: Job, attempt: Attempt, outcome: open_jobs.Outcome
    ) -> None:
        """Note an answer, unless it is lost, and hand the job in again perhaps."""
        is_lost = self.rng.random() < self.lost_share
        match outcome:
            case _ if is_lost:
                pass
            case open_jobs.Refused():
                attempt.answer = Answer.REFUSED
            case open_jobs.Unknown():
                attempt.answer = Answer.UNKNOWN
            case open_jobs.Ended():
                attempt.answer = Answer.ENDED
        is_repeated = self.rng.random() < self.repeat_share
        if is_repeated or attempt.answer != Answer.ENDED:
            self.retry(job)

    def retry(self, job: Job) -> None:
        """Hand a job in again soon, while its caller still waits."""
        if self.retries and self.world.now_ms + RETRY_PAUSE_MS < job.give_up_ms:
            pause_ms = self.rng.choice((RETRY_PAUSE_MS, 4 * RETRY_PAUSE_MS, 400))
            self.world.schedule_after(pause_ms, lambda: self.hand_in(job))
