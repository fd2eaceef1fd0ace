"""What became of starts and stops: worked out from answers, lists and lapsed leases.

A start without an answer may have been carried out, or may be seconds later; its
own deadline on the endpoint's clock ends that. Until then, or until the endpoint
took a stop of that attempt and no longer lists it, it keeps its room and its task
waits: nothing runs twice, and no room is given away twice.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from knapweedbeam_core import reasons
from knapweedbeam_core.pool import calls, endpoints, jobs, messages, notes, room, speeds

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher

# A poll comes back at the next end; this long bounds how stale the lists get.
POLL_MS = 250
# While something is in doubt, the lists are asked for more often.
DOUBT_POLL_MS = 30
# A start without an answer is stopped once a list taken this long after it lacks it.
DOUBT_MS = 100
# A stop is sent again while the endpoint still lists what was to be stopped.
STOP_AGAIN_MS = 150
# Time for entry VMs to name the jobs of what runs on endpoints just taken over: they
# hear of the new dispatcher within one message. Leases are not renewed meanwhile.
ADOPT_MS = 250
# An endpoint that answers no poll and announces nothing for this long is forgotten.
FORGET_MS = 10_000
# Clocks are read in whole milliseconds at both ends.
ROUNDING_MS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What the endpoints' protocol grants.

    `lease_ms` is the longest lease, `stop_ms` how long a stop may take, `announce_ms`
    the time between two announcements of an endpoint.
    """

    lease_ms: int
    stop_ms: int
    announce_ms: int


class Settler:
    """Settles the attempts of one dispatcher."""

    def __init__(self, owner: dispatcher.Dispatcher) -> None:
        self.owner = owner

    @property
    def now_ms(self) -> int:
        """Return the dispatcher's time."""
        return self.owner.clock.now_ms()

    # Orders.

    def build_hold(self, endpoint: endpoints.Endpoint) -> calls.Hold:
        """Return the next hold: the longest lease, and a wait for the next end.

        A silent endpoint is only looked at: its lease is to run out. So is one on
        which something runs that nobody has named: another dispatcher may hold its
        job, be cut off from it, and start it elsewhere once the lease that it gave
        has run out.
        """
        lease_ms = self.owner.bounds.lease_ms
        until_ms = 0
        is_sound = endpoint.is_held and not endpoint.failed_polls
        if is_sound and endpoint.reading is not None and not endpoint.has_strangers:
            until_ms = endpoint.reading.get_latest_ms(self.now_ms) + lease_ms
            endpoint.lease_until_ms = max(endpoint.lease_until_ms, until_ms)
        wait_ms = self.get_wait_ms(endpoint)
        if not endpoint.is_held or endpoint.failed_polls:
            wait_ms = 0
        elif self.has_doubts(endpoint):
            wait_ms = DOUBT_POLL_MS
        return calls.Hold(
            endpoint.target, self.owner.fence, until_ms, endpoint.acked_end, wait_ms
        )

    def get_wait_ms(self, endpoint: endpoints.Endpoint) -> int:
        """Return how long a hold may wait: no longer than until a task is overdue."""
        wait_ms = POLL_MS
        if endpoint.reading is None:
            return wait_ms
        clock_ms = endpoint.reading.get_earliest_ms(self.now_ms)
        for attempt in endpoint.attempts.values():
            if attempt.owner is None or attempt.is_overdue:
                continue
            due_ms = attempt.began_clock_ms + self.get_overdue_ms(endpoint, attempt)
            wait_ms = min(wait_ms, int(due_ms) + 1 - clock_ms)
        return max(DOUBT_POLL_MS, wait_ms)

    def get_overdue_ms(
        self, endpoint: endpoints.Endpoint, attempt: endpoints.Attempt
    ) -> float:
        """Return after how long an attempt should have ended."""
        assert attempt.owner is not None
        return endpoint.speed.get_overdue_ms(
            attempt.owner.spec.estimate_ms, attempt.owner.job.work_factor
        )

    def has_doubts(self, endpoint: endpoints.Endpoint) -> bool:
        """Say whether the lists are needed to settle something."""
        doubtful = (endpoints.AttemptState.DOUBTFUL, endpoints.AttemptState.STRANGE)
        return any(
            attempt.state in doubtful or attempt.stop_sent_ms
            for attempt in endpoint.attempts.values()
        )

    def stop_attempt(
        self, endpoint: endpoints.Endpoint, attempt: endpoints.Attempt
    ) -> calls.Stop:
        """Order the stop of an attempt."""
        attempt.is_unwanted = True
        attempt.stop_sent_ms = self.now_ms
        return calls.Stop(
            endpoint.target, attempt.task, attempt.number, self.owner.fence
        )

    def stop_job(self, job: jobs.Job) -> dispatcher.Effects:
        """Stop every attempt of a job that is known to run; others when they answer."""
        produced: dispatcher.Effects = []
        for endpoint in self.owner.endpoints.values():
            for attempt in endpoint.attempts.values():
                if attempt.owner is None or attempt.owner.job is not job:
                    continue
                attempt.is_unwanted = True
                if attempt.state != endpoints.AttemptState.STARTING:
                    produced.append(self.stop_attempt(endpoint, attempt))
        return produced

    # Jobs that another dispatcher, or another entry VM, had before.

    def adopt(self, job: jobs.Job) -> dispatcher.Effects:
        """Take up the attempts that run for a job which has just been named."""
        prefix = job.job_id + "."
        for endpoint in self.owner.endpoints.values():
            for attempt in list(endpoint.attempts.values()):
                if attempt.task.startswith(prefix):
                    self.attach(job, endpoint, attempt)
        return []

    def attach(
        self, job: jobs.Job, endpoint: endpoints.Endpoint, attempt: endpoints.Attempt
    ) -> None:
        """Count an attempt as the newest one of a job's task."""
        task = job.find_task(attempt.task)
        if task is None:
            return
        job.was_started = True
        task.last_attempt = max(task.last_attempt, attempt.number)
        if task.state == jobs.TaskState.WAITING:
            job.waiting = [other for other in job.waiting if other is not task]
            task.state = jobs.TaskState.PLACED
        endpoint.remove(attempt)
        attempt.owner = task
        attempt.need = task.spec.need
        if attempt.state == endpoints.AttemptState.STRANGE:
            attempt.state = endpoints.AttemptState.RUNNING
        endpoint.add(attempt)

    def put_back(
        self, attempt: endpoints.Attempt, endpoint: endpoints.Endpoint, why: str
    ) -> dispatcher.Effects:
        """Let the task of a lost attempt wait again, if it is still wanted."""
        task = attempt.owner
        if task is None or task.job.is_cancelled:
            return []
        if task.state != jobs.TaskState.PLACED:
            return []
        task.job.put_back(task)
        return [
            notes.AttemptLost(attempt.task, attempt.number, endpoint.said.endpoint, why)
        ]

    def drop(
        self, endpoint: endpoints.Endpoint, attempt: endpoints.Attempt, why: str
    ) -> dispatcher.Effects:
        """Give back the room of an attempt that surely doesn't run."""
        endpoint.remove(attempt)
        return self.put_back(attempt, endpoint, why)

    # Answers to starts and stops.

    def on_start_answer(
        self, endpoint: endpoints.Endpoint, start: calls.Start, answer: calls.Answer
    ) -> dispatcher.Effects:
        """Take the end of a start."""
        endpoint.note_reading(answer.reading)
        attempt = endpoint.attempts.get(start.task)
        if attempt is None or attempt.number != start.number:
            return []
        match answer.verdict:
            case calls.Verdict.ACCEPTED:
                if answer.reading is not None and not attempt.began_clock_ms:
                    attempt.began_clock_ms = answer.reading.clock_ms
                return self.note_started(endpoint, attempt)
            case calls.Verdict.UNKNOWN:
                if attempt.state == endpoints.AttemptState.STARTING:
                    attempt.state = endpoints.AttemptState.DOUBTFUL
                return []
            case calls.Verdict.FENCED:
                return [
                    *self.drop(endpoint, attempt, "fenced"),
                    *self.on_fenced(endpoint),
                ]
            case calls.Verdict.INVALID:
                return self.note_end(endpoint, attempt, calls.EndKind.FAILED)
        produced = self.drop(endpoint, attempt, str(answer.verdict.value))
        if answer.verdict == calls.Verdict.UNHEALTHY:
            produced += self.note_fault(endpoint, "refused a start")
        return produced

    def note_started(
        self, endpoint: endpoints.Endpoint, attempt: endpoints.Attempt
    ) -> dispatcher.Effects:
        """Count an attempt as running; stop it if nobody wants it any more."""
        if attempt.state == endpoints.AttemptState.STARTING:
            attempt.state = endpoints.AttemptState.RUNNING
        if attempt.is_unwanted and not attempt.stop_sent_ms:
            return [self.stop_attempt(endpoint, attempt)]
        return []

    def on_stop_answer(
        self, endpoint: endpoints.Endpoint, stop: calls.Stop, answer: calls.Answer
    ) -> dispatcher.Effects:
        """Note when an endpoint took a stop; its lists tell when it is done."""
        endpoint.note_reading(answer.reading)
        attempt = endpoint.attempts.get(stop.task)
        if attempt is None or attempt.number != stop.number:
            return []
        if answer.verdict == calls.Verdict.FENCED:
            return self.on_fenced(endpoint)
        if answer.verdict == calls.Verdict.ACCEPTED and answer.reading is not None:
            attempt.stop_clock_ms = answer.reading.clock_ms
        return []

    def on_fenced(self, endpoint: endpoints.Endpoint) -> dispatcher.Effects:
        """Order nothing more at an endpoint that obeys another dispatcher."""
        endpoint.is_held = False
        return [notes.EndpointFenced(endpoint.said.endpoint, self.owner.fence)]

    # Lists.

    def on_holding(
        self, endpoint: endpoints.Endpoint, hold: calls.Hold, answer: calls.Holding
    ) -> dispatcher.Effects:
        """Take what runs on an endpoint and what has ended there."""
        produced: dispatcher.Effects = []
        if answer.born_ms and answer.born_ms != endpoint.said.born_ms:
            return self.owner.lose_endpoint(endpoint, "answers in another life")
        endpoint.note_reading(answer.reading)
        if not endpoint.is_held:
            produced.append(notes.EndpointChanged(endpoint.said.endpoint, "held"))
            granted_ms = answer.reading.clock_ms + self.owner.bounds.lease_ms
            endpoint.lease_until_ms = max(endpoint.lease_until_ms, granted_ms)
        endpoint.is_held = True
        endpoint.failed_polls = 0
        for end in sorted(answer.ends, key=lambda end: end.place):
            if end.place > endpoint.acked_end:
                endpoint.acked_end = end.place
                produced += self.on_end(endpoint, end)
        produced += self.compare(endpoint, answer)
        return produced

    def on_end(
        self, endpoint: endpoints.Endpoint, end: calls.End
    ) -> dispatcher.Effects:
        """Take the end of an attempt."""
        attempt = endpoint.attempts.get(end.task)
        if attempt is None or attempt.number != end.number:
            return self.on_other_end(end)
        return self.note_end(endpoint, attempt, end.kind)

    def on_other_end(self, end: calls.End) -> dispatcher.Effects:
        """Take the end of an attempt that this dispatcher didn't order."""
        job = self.owner.jobs.get(jobs.get_job_id(end.task))
        task = job.find_task(end.task) if job is not None else None
        if task is None or end.kind != calls.EndKind.DONE:
            return []
        if task.state != jobs.TaskState.WAITING:
            return []
        return self.finish(task)

    def note_end(
        self,
        endpoint: endpoints.Endpoint,
        attempt: endpoints.Attempt,
        kind: calls.EndKind,
    ) -> dispatcher.Effects:
        """Give back the room of an ended attempt and go on with its job."""
        endpoint.remove(attempt)
        task = attempt.owner
        took_ms = self.now_ms - attempt.sent_ms
        if kind == calls.EndKind.DONE:
            self.learn(endpoint, attempt, took_ms)
        if task is None or task.job.is_cancelled:
            return []
        if kind == calls.EndKind.DONE:
            return self.finish(task)
        if kind == calls.EndKind.FAILED:
            return self.note_failure(endpoint, attempt, task)
        return self.put_back(attempt, endpoint, str(kind))

    def learn(
        self, endpoint: endpoints.Endpoint, attempt: endpoints.Attempt, took_ms: int
    ) -> None:
        """Learn from a task that was done how fast and how sound its endpoint is."""
        if not attempt.is_overdue:
            endpoint.health.note_done()
        task = attempt.owner
        if task is None or attempt.state == endpoints.AttemptState.STRANGE:
            return
        estimate_ms = max(1, task.spec.estimate_ms)
        if not attempt.is_overdue:
            worked_ms = (took_ms - speeds.OVERHEAD_MS) * endpoint.speed.value
            factor = max(1 / speeds.ESTIMATE_ERROR, worked_ms / estimate_ms)
            task.job.work_factor = max(
                task.job.work_factor, min(speeds.ESTIMATE_ERROR, factor)
            )
        endpoint.speed.add(estimate_ms, took_ms)

    def finish(self, task: jobs.Task) -> dispatcher.Effects:
        """Count a task as done; the last one completes its job."""
        task.job.finish(task)
        if task.job.left:
            return []
        return self.owner.end_job(task.job, messages.JobComplete(task.job.job_id))

    def note_failure(
        self,
        endpoint: endpoints.Endpoint,
        attempt: endpoints.Attempt,
        task: jobs.Task,
    ) -> dispatcher.Effects:
        """Try a failed task again elsewhere, as often as its queue allows."""
        task.failures += 1
        task.failed_on = (*task.failed_on, endpoint.said.endpoint)
        produced = self.note_fault(endpoint, "failed a task")
        if task.failures > 1:
            # No endpoint is to blame for a task that fails on several.
            self.forgive_all(task.failed_on)
        if task.failures < task.job.terms.max_attempts:
            return produced + self.put_back(attempt, endpoint, "failed")
        outcome = messages.JobFailed(task.job.job_id, reasons.Reason.TASK_FAILED)
        return produced + self.owner.end_job(task.job, outcome)

    def note_fault(self, endpoint: endpoints.Endpoint, why: str) -> dispatcher.Effects:
        """Let an endpoint rest once it has failed often enough."""
        if not endpoint.health.note_fault(self.now_ms):
            return []
        rest_ms = endpoint.health.rest_ms
        return [notes.EndpointRests(endpoint.said.endpoint, why, rest_ms)]

    def compare(
        self, endpoint: endpoints.Endpoint, answer: calls.Holding
    ) -> dispatcher.Effects:
        """Settle what is in doubt by what the endpoint lists as running."""
        produced: dispatcher.Effects = []
        listed = {running.task: running for running in answer.running}
        for running in answer.running:
            produced += self.compare_listed(endpoint, running, answer)
        for attempt in list(endpoint.attempts.values()):
            if attempt.task not in listed:
                produced += self.compare_missing(endpoint, attempt, answer)
        return produced

    def compare_listed(
        self,
        endpoint: endpoints.Endpoint,
        running: calls.Running,
        answer: calls.Holding,
    ) -> dispatcher.Effects:
        """Take an attempt that runs."""
        attempt = endpoint.attempts.get(running.task)
        if attempt is None:
            return self.take_stranger(endpoint, running)
        if attempt.state in (
            endpoints.AttemptState.STARTING,
            endpoints.AttemptState.DOUBTFUL,
        ):
            attempt.state = endpoints.AttemptState.RUNNING
        if not attempt.began_clock_ms:
            attempt.began_clock_ms = answer.reading.clock_ms
        if not attempt.is_unwanted:
            return self.check_overdue(endpoint, attempt, answer)
        if self.now_ms - attempt.stop_sent_ms < STOP_AGAIN_MS:
            return []
        return [self.stop_attempt(endpoint, attempt)]

    def check_overdue(
        self,
        endpoint: endpoints.Endpoint,
        attempt: endpoints.Attempt,
        answer: calls.Holding,
    ) -> dispatcher.Effects:
        """Stop a task that stands still or crawls, and start it elsewhere.

        Its time is taken by the endpoint's clock, so that a dispatcher that was held
        up itself blames nobody.
        """
        task = attempt.owner
        if task is None or attempt.is_overdue or task.job.is_long:
            return []
        ran_ms = answer.reading.clock_ms - attempt.began_clock_ms
        if ran_ms <= self.get_overdue_ms(endpoint, attempt):
            return []
        attempt.is_overdue = True
        produced = self.blame(endpoint, task.job)
        if task.was_moved or task.job.is_long:
            return produced
        if not self.owner.has_better(endpoint, task):
            return produced
        task.was_moved = True
        return [*produced, self.stop_attempt(endpoint, attempt)]

    def blame(self, endpoint: endpoints.Endpoint, job: jobs.Job) -> dispatcher.Effects:
        """Hold an overdue task against its endpoint, unless its job is long itself."""
        if endpoint.said.endpoint in job.overdue_on:
            return []
        job.overdue_on.add(endpoint.said.endpoint)
        if not job.is_long:
            return self.note_fault(endpoint, "a task is overdue")
        self.forgive_all(job.overdue_on)
        return []

    def forgive_all(self, names: collections.abc.Iterable[str]) -> None:
        """Take back one fault of each endpoint."""
        for name in names:
            blamed = self.owner.endpoints.get(name)
            if blamed is not None:
                blamed.health.forgive_fault()

    def take_stranger(
        self, endpoint: endpoints.Endpoint, running: calls.Running
    ) -> dispatcher.Effects:
        """Count in an attempt that this dispatcher didn't order."""
        attempt = endpoints.Attempt(
            running.task,
            running.number,
            None,
            room.Room(),
            endpoints.AttemptState.STRANGE,
            self.now_ms,
        )
        endpoint.add(attempt)
        job = self.owner.jobs.get(jobs.get_job_id(running.task))
        task = job.find_task(running.task) if job is not None else None
        if job is None or task is None:
            return []
        if task.state == jobs.TaskState.WAITING:
            self.attach(job, endpoint, attempt)
            return []
        return [self.stop_attempt(endpoint, attempt)]

    def compare_missing(
        self,
        endpoint: endpoints.Endpoint,
        attempt: endpoints.Attempt,
        answer: calls.Holding,
    ) -> dispatcher.Effects:
        """Take an attempt that neither runs nor has ended, as of the lists."""
        clock_ms = answer.reading.clock_ms
        if attempt.stop_clock_ms:
            stopped_ms = attempt.stop_clock_ms + self.owner.bounds.stop_ms
            if clock_ms > stopped_ms + ROUNDING_MS:
                return self.drop(endpoint, attempt, "stopped")
        if attempt.until_ms and clock_ms > attempt.until_ms + ROUNDING_MS:
            return self.drop(endpoint, attempt, "never started")
        is_doubtful = attempt.state == endpoints.AttemptState.DOUBTFUL
        is_old = self.now_ms - attempt.sent_ms > DOUBT_MS
        is_due = self.now_ms - attempt.stop_sent_ms > STOP_AGAIN_MS
        if is_doubtful and is_old and is_due:
            return [self.stop_attempt(endpoint, attempt)]
        return []

    def on_hold_failed(
        self, endpoint: endpoints.Endpoint, failed: calls.HoldFailed
    ) -> dispatcher.Effects:
        """Place nothing more on an endpoint that answers no poll.

        A refused connection doesn't show that the endpoint ended: a link that is
        cut may refuse too, and what runs behind it runs on until its lease ends.
        """
        if failed.verdict == calls.Verdict.FENCED:
            return self.on_fenced(endpoint)
        endpoint.failed_polls += 1
        if failed.verdict == calls.Verdict.REBORN and endpoint.attempts:
            return self.owner.lose_endpoint(endpoint, "another life answers")
        return []

    # Time.

    def tick(self, now_ms: int) -> dispatcher.Effects:
        """Settle what only time settles."""
        produced: dispatcher.Effects = []
        for endpoint in list(self.owner.endpoints.values()):
            if endpoint.failed_polls:
                produced += self.tick_silent(endpoint, now_ms)
            else:
                produced += self.stop_strangers(endpoint, now_ms)
        return produced

    def tick_silent(
        self, endpoint: endpoints.Endpoint, now_ms: int
    ) -> dispatcher.Effects:
        """Give up what ran on a silent endpoint once its lease has run out."""
        if endpoint.attempts and endpoint.has_lapsed(now_ms):
            return self.owner.lose_endpoint(endpoint, "lease has run out")
        if not endpoint.attempts and now_ms - endpoint.heard_ms > FORGET_MS:
            return self.owner.drop_endpoint(endpoint, "silent")
        return []

    def stop_strangers(
        self, endpoint: endpoints.Endpoint, now_ms: int
    ) -> dispatcher.Effects:
        """Stop what runs for jobs that nobody has named."""
        return [
            self.stop_attempt(endpoint, attempt)
            for attempt in endpoint.attempts.values()
            if attempt.state == endpoints.AttemptState.STRANGE
            and not attempt.is_unwanted
            and now_ms - attempt.sent_ms > ADOPT_MS
        ]
