"""The entry VM's side: jobs that it holds open for callers, until they end.

A job goes to the dispatcher that this process follows. When that changes, every
open job goes to the new one, which takes up what runs by name.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, effects, reasons
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import messages

# Attempts that one dispatcher may use before the next one's numbers begin.
ATTEMPTS_PER_DISPATCHER = 100
# More than one entry VM takes.
HAND_INS_PER_MS = 1_000
# Without any dispatcher a new job waits this long; an election takes about half.
NO_DISPATCHER_TIMEOUT_MS = 1_200
# A caller that was refused for want of a dispatcher comes back after this long.
RETRY_AFTER_MS = 1_000
# Messages may be lost with a link, so an open job is named again this often.
RESEND_MS = 700
# A process that doesn't dispatch yet, or any more, is asked again after this long.
REFUSED_PAUSE_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Nothing of the job was started, and nothing will be."""

    reason: reasons.Reason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The job may have run in part; nobody can tell."""

    reason: reasons.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The job ran: complete, or failed as often as its queue allows."""

    is_complete: bool


Outcome = Refused | Unknown | Ended


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """Effect: give the outcome to every caller that waits for a job."""

    job_id: str
    outcome: Outcome


@dataclasses.dataclass(slots=True)
class OpenJob:
    """A job that some caller waits for; `sent_to` is empty until it went out.

    `sends` counts the dispatchers that may have taken the job, `tries` the messages
    to the one that has it now. `hand_in` tells it from the same job handed in again.
    """

    job_id: str
    queue: manifest.Queue
    spec: str
    steps: tuple[messages.SubmittedStep, ...]
    opened_ms: int
    give_up_ms: int
    sent_to: str = ""
    sent_ms: int = -RESEND_MS
    dispatcher_count: int = 0
    send_count: int = 0
    hand_in: int = 0


Effects = list[effects.Send | Settled]


class OpenJobs:
    """The open jobs of one entry VM."""

    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.jobs: dict[str, OpenJob] = {}
        self.dispatcher = ""
        # Rises over restarts too, as long as time does.
        self.hand_ins = timer.wall_ms() * HAND_INS_PER_MS

    def submit(
        self,
        job_id: str,
        queue: manifest.Queue,
        spec: str,
        steps: tuple[messages.SubmittedStep, ...],
        patience_ms: int,
    ) -> Effects:
        """Take a job that a caller handed in; a copy joins the one that is open."""
        if job_id in self.jobs:
            return []
        now_ms = self.clock.now_ms()
        job = OpenJob(job_id, queue, spec, steps, now_ms, now_ms + patience_ms)
        self.hand_ins += 1
        job.hand_in = self.hand_ins
        self.jobs[job_id] = job
        return self.send(job) if self.dispatcher else []

    def send(self, job: OpenJob) -> Effects:
        """Send a job to the dispatcher, or name it again there."""
        now_ms = self.clock.now_ms()
        if job.sent_to != self.dispatcher:
            job.dispatcher_count += 1
            job.send_count = 0
        job.send_count += 1
        job.sent_to = self.dispatcher
        job.sent_ms = now_ms
        submit = messages.Submit(
            job.job_id,
            job.queue.terms,
            job.spec,
            job.steps,
            now_ms - job.opened_ms,
            max(0, job.give_up_ms - now_ms),
            (job.dispatcher_count - 1) * ATTEMPTS_PER_DISPATCHER,
            job.hand_in,
        )
        return [effects.Send(self.dispatcher, submit)]

    def follow(self, dispatcher: str) -> Effects:
        """Send every open job to another dispatcher."""
        if dispatcher == self.dispatcher:
            return []
        self.dispatcher = dispatcher
        if not dispatcher:
            return []
        return [sent for job in self.jobs.values() for sent in self.send(job)]

    def withdraw(self, job_id: str) -> Effects:
        """Give up a job whose caller left."""
        job = self.jobs.pop(job_id, None)
        if job is None or not job.sent_to:
            return []
        return [effects.Send(job.sent_to, messages.Withdraw(job_id))]

    def on_ended(
        self, sender: str, ended: messages.JobComplete | messages.JobFailed
    ) -> Effects:
        """Take a job's end, from whichever dispatcher saw it."""
        if self.jobs.pop(ended.job_id, None) is None:
            return []
        is_complete = isinstance(ended, messages.JobComplete)
        return [Settled(ended.job_id, Ended(is_complete))]

    def on_refused(self, sender: str, refused: messages.JobRefused) -> Effects:
        """Take a refusal; it is for sure only if no other dispatcher had the job."""
        job = self.jobs.get(refused.job_id)
        if job is None or job.sent_to != sender:
            return []
        del self.jobs[refused.job_id]
        outcome: Outcome = Refused(refused.reason, refused.retry_after_ms)
        if job.dispatcher_count > 1:
            outcome = Unknown(reasons.Reason.OUTCOME_UNKNOWN)
        return [Settled(refused.job_id, outcome)]

    def on_not_dispatching(self, sender: str, job_id: str) -> Effects:
        """Let a job wait for another dispatcher.

        This one never took it if it was named there only once; else it may have
        dispatched before.
        """
        job = self.jobs.get(job_id)
        if job is not None and job.sent_to == sender == self.dispatcher:
            job.sent_to = ""
            job.sent_ms = self.clock.now_ms()
            if job.send_count == 1:
                job.dispatcher_count -= 1
        return []

    def tick(self) -> Effects:
        """Send what waits for a dispatcher; refuse what waited too long."""
        now_ms = self.clock.now_ms()
        produced: Effects = []
        for job in list(self.jobs.values()):
            pause_ms = RESEND_MS if job.sent_to else REFUSED_PAUSE_MS
            is_fresh = now_ms - job.sent_ms < pause_ms
            if self.dispatcher and not is_fresh:
                produced += self.send(job)
            elif (
                not job.dispatcher_count
                and now_ms - job.opened_ms > NO_DISPATCHER_TIMEOUT_MS
            ):
                del self.jobs[job.job_id]
                refused = Refused(reasons.Reason.NO_ENDPOINT, RETRY_AFTER_MS)
                produced.append(Settled(job.job_id, refused))
        return produced
