"""The jobs that an entry VM holds open for callers until they end.

A job is sent to the dispatcher that this process follows, or to the owner of the job's
shard where several share the work. When that changes, the open jobs are sent to the new
one, which finds their running attempts by task name.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, effects, reasons
from knapweedbeam_core.fleet import job_routes, sharding
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import messages

# Attempt numbers reserved for each dispatcher, so that a successor's are higher.
ATTEMPTS_PER_DISPATCHER = 100
# Higher than the rate at which one entry VM accepts jobs.
MAX_SUBMISSIONS_PER_MS = 1_000
# A new job waits this long for a dispatcher; an election takes about half of it.
NO_DISPATCHER_TIMEOUT_MS = 1_200
# Callers refused for lack of a dispatcher are asked to retry after this long.
RETRY_AFTER_MS = 1_000
# Messages may be lost with a link, so open jobs are sent again at this interval.
RESEND_MS = 700
# Pause before a job is sent again to a process that is not an active dispatcher.
REFUSED_PAUSE_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """No task of the job was started, and none will be."""

    reason: reasons.Reason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """It is not known whether the job ran, entirely or in part."""

    reason: reasons.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The job ran: complete, or failed after all attempts that its queue allows."""

    is_complete: bool


Outcome = Refused | Unknown | Ended


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """Effect that passes an outcome to all callers that wait for a job."""

    job_id: str
    outcome: Outcome


@dataclasses.dataclass(slots=True)
class OpenJob:
    """A job that at least one caller waits for.

    `sent_to` is the dispatcher that it was last sent to, empty for none, `sent_token`
    its token then.
    `dispatcher_count` counts the dispatchers that may have accepted the job,
    `send_count` the messages to the present one. `hand_in` distinguishes it from the
    same job submitted again later. `crashes` are those that dispatchers reported,
    `former` the other dispatchers that may have accepted the job.
    """

    job_id: str
    queue: manifest.Queue
    spec: str
    steps: tuple[messages.SubmittedStep, ...]
    opened_ms: int
    give_up_ms: int
    sent_to: str = ""
    sent_token: int = 0
    sent_ms: int = -RESEND_MS
    dispatcher_count: int = 0
    send_count: int = 0
    hand_in: int = 0
    crashes: tuple[messages.TaskCrash, ...] = ()
    former: tuple[str, ...] = ()

    def leave_dispatcher(self) -> None:
        """Record that the dispatcher that it was sent to may have accepted it."""
        if self.sent_to and self.sent_to not in self.former:
            self.former = (*self.former, self.sent_to)


Effects = list[effects.Send | Settled]


class OpenJobs:
    """The open jobs of one entry VM."""

    def __init__(self, timer: clock.Clock, domain: str = "") -> None:
        self.clock = timer
        self.domain = domain
        self.jobs: dict[str, OpenJob] = {}
        self.lead = job_routes.Target("")
        self.targets: tuple[job_routes.Target, ...] = ()
        # Based on the wall clock, so that it also increases over restarts.
        self.last_hand_in = timer.wall_ms() * MAX_SUBMISSIONS_PER_MS

    def submit(
        self,
        job_id: str,
        queue: manifest.Queue,
        spec: str,
        steps: tuple[messages.SubmittedStep, ...],
        patience_ms: int,
    ) -> Effects:
        """Open a job that a caller submitted, unless the same job is open already."""
        if job_id in self.jobs:
            return []
        now_ms = self.clock.now_ms()
        job = OpenJob(job_id, queue, spec, steps, now_ms, now_ms + patience_ms)
        self.last_hand_in += 1
        job.hand_in = self.last_hand_in
        self.jobs[job_id] = job
        return self.send(job) if self.dispatcher else []

    @property
    def dispatcher(self) -> str:
        """Return the dispatcher that is followed, empty for none."""
        return self.lead.name

    def send(self, job: OpenJob) -> Effects:
        """Send a job to the dispatcher, or send it there again.

        Attempt numbers start higher with each dispatcher that may have accepted it.
        """
        now_ms = self.clock.now_ms()
        target = self.find_target(job.job_id)
        if (job.sent_to, job.sent_token) != (target.name, target.token):
            job.leave_dispatcher()
            job.dispatcher_count += 1
            job.send_count = 0
        job.send_count += 1
        job.sent_to = target.name
        job.sent_token = target.token
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
            target.token,
            job.crashes,
            job.former,
            self.domain,
        )
        return [effects.Send(target.name, submit)]

    def find_target(self, job_id: str) -> job_routes.Target:
        """Return where a job goes."""
        if not self.targets:
            return self.lead
        return self.targets[sharding.get_shard(job_id, len(self.targets))]

    def follow(
        self, lead: job_routes.Target, targets: tuple[job_routes.Target, ...] = ()
    ) -> Effects:
        """Follow another dispatcher, or other owners of the shards.

        With another dispatcher all open jobs are sent again, otherwise those whose
        owner changed, or whose owner has another token and forgot them.
        """
        if (lead, targets) == (self.lead, self.targets):
            return []
        is_other = lead.name != self.lead.name
        self.lead, self.targets = lead, targets
        if not lead.name:
            return []
        return [
            sent
            for job in self.jobs.values()
            if is_other or self.has_other_target(job)
            for sent in self.send(job)
        ]

    def has_other_target(self, job: OpenJob) -> bool:
        """Return whether a job goes elsewhere than where it was sent."""
        target = self.find_target(job.job_id)
        return (job.sent_to, job.sent_token) != (target.name, target.token)

    def withdraw(self, job_id: str) -> Effects:
        """Withdraw a job that its callers no longer wait for."""
        job = self.jobs.pop(job_id, None)
        if job is None or not job.sent_to:
            return []
        withdraw = messages.Withdraw(job_id, job.hand_in)
        return [effects.Send(job.sent_to, withdraw)]

    def on_question(self, sender: str, question: messages.ConfirmJob) -> Effects:
        """Confirm a job that is open and goes to the process that asks."""
        job = self.jobs.get(question.job_id)
        if job is None or job.sent_to != sender:
            return []
        if self.find_target(job.job_id).name != sender:
            return []
        confirmed = messages.JobConfirmed(job.job_id, question.question_ms)
        return [effects.Send(sender, confirmed)]

    def on_task_crashed(self, crashed: messages.TaskCrashed) -> None:
        """Keep a crash under a task of an open job for its next dispatcher."""
        job = self.jobs.get(crashed.job_id)
        if job is not None and crashed.crash not in job.crashes:
            job.crashes = (*job.crashes, crashed.crash)

    def on_ended(
        self, sender: str, ended: messages.JobComplete | messages.JobFailed
    ) -> Effects:
        """Handle the end of a job, whichever dispatcher reports it."""
        if self.jobs.pop(ended.job_id, None) is None:
            return []
        is_complete = isinstance(ended, messages.JobComplete)
        return [Settled(ended.job_id, Ended(is_complete))]

    def on_cancelled(self, cancelled: messages.JobCancelled) -> Effects:
        """Handle that a job was cancelled at another entry VM.

        Another dispatcher may have taken the job meanwhile.
        """
        job = self.jobs.get(cancelled.job_id)
        if job is None or cancelled.hand_in != job.hand_in:
            return []
        settled = Settled(cancelled.job_id, Unknown(reasons.Reason.CANCELLED))
        return [*self.withdraw(cancelled.job_id), settled]

    def on_refused(self, sender: str, refused: messages.JobRefused) -> Effects:
        """Handle a refusal.

        The outcome is unknown if another dispatcher may have accepted the job.
        """
        job = self.jobs.get(refused.job_id)
        if job is None or job.sent_to != sender:
            return []
        if refused.hand_in not in (0, job.hand_in):
            return []
        del self.jobs[refused.job_id]
        outcome: Outcome = Refused(refused.reason, refused.retry_after_ms)
        if job.dispatcher_count > 1:
            outcome = Unknown(reasons.Reason.OUTCOME_UNKNOWN)
        return [Settled(refused.job_id, outcome)]

    def on_not_dispatching(
        self, sender: str, answer: messages.NotDispatching
    ) -> Effects:
        """Let a job wait, as the process that it was sent to does not dispatch.

        That process never accepted the job if it was sent there only once; otherwise
        it may have been active before.
        """
        job = self.jobs.get(answer.job_id)
        if job is None or job.sent_to != sender:
            return []
        if answer.hand_in not in (0, job.hand_in):
            return []
        if sender == self.find_target(answer.job_id).name:
            if job.send_count == 1:
                job.dispatcher_count -= 1
            else:
                job.leave_dispatcher()
            job.sent_to = ""
            job.sent_ms = self.clock.now_ms()
        return []

    def tick(self) -> Effects:
        """Send or resend jobs that are due; refuse those that found no dispatcher."""
        now_ms = self.clock.now_ms()
        produced: Effects = []
        for job in list(self.jobs.values()):
            pause_ms = RESEND_MS if job.sent_to else REFUSED_PAUSE_MS
            was_sent_recently = now_ms - job.sent_ms < pause_ms
            if self.dispatcher and not was_sent_recently:
                produced += self.send(job)
            elif (
                not job.dispatcher_count
                and now_ms - job.opened_ms > NO_DISPATCHER_TIMEOUT_MS
            ):
                del self.jobs[job.job_id]
                refused = Refused(reasons.Reason.NO_ENDPOINT, RETRY_AFTER_MS)
                produced.append(Settled(job.job_id, refused))
        return produced
