"""Tracks the state of attempts from answers, endpoints' lists and expired leases.

A start without an answer may have been executed, or may be executed seconds later,
until its own deadline on the endpoint's clock. Until that deadline, or until the
endpoint accepted a stop of the attempt and no longer lists it, the attempt keeps its
resources and its task waits: no task runs twice and no resources are assigned twice.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from knapweedbeam_core import reasons
from knapweedbeam_core.pool import (
    calls,
    contact,
    crashes,
    endpoints,
    jobs,
    log_events,
    messages,
    polling,
    probing,
    reconciler,
    run_reports,
    speeds,
)

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher

# Polling interval while the state of an attempt is uncertain.
UNCERTAIN_POLL_MS = 30
# Time for entry VMs to submit the jobs of attempts that run on endpoints just taken
# over: they learn of the new dispatcher within one message. Until an attempt is
# claimed, the endpoint's lease is not renewed.
CLAIM_TIMEOUT_MS = 250
# A lost poll is ignored if other lists arrived this recently.
FRESH_LIST_MS = 200
# An endpoint that neither answers polls nor announces itself is removed after this.
FORGET_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class ProtocolBounds:
    """Time limits of the endpoint protocol.

    `lease_ms` is the longest lease, `stop_ms` how long a stop may take, `announce_ms`
    the time between two announcements of an endpoint. A task that runs away from the
    rack of its data takes `remote_factor` times as long. An endpoint lists its oldest
    `listed_ends` ends at a time, 0 for all of them.
    """

    lease_ms: int
    stop_ms: int
    announce_ms: int
    remote_factor: float = 1.0
    listed_ends: int = 0

    def may_hide_ends(self, answer: calls.HoldResult) -> bool:
        """Return whether an endpoint may have more ends than it lists."""
        return 0 < self.listed_ends <= len(answer.ends)


class AttemptTracker:
    """Tracks the attempts of one dispatcher and decides how each ended."""

    def __init__(self, owner: dispatcher.Dispatcher) -> None:
        self.owner = owner
        self.reconciler = reconciler.Reconciler(self)
        self.losses = polling.LossRecord()

    @property
    def now_ms(self) -> int:
        """Return the dispatcher's time."""
        return self.owner.clock.now_ms()

    @property
    def waiting_ms(self) -> int:
        """Return the time by which calls and their answers are timed."""
        return self.owner.waiting_clock.now_ms()

    # Calls to endpoints.

    def build_hold(self, endpoint: endpoints.Endpoint) -> calls.Hold:
        """Return the next hold, which renews the lease and waits for the next end.

        The lease of an unresponsive endpoint is not renewed, so that it expires. Nor
        is that of an endpoint with unclaimed attempts: another dispatcher may have
        their job, be cut off from the endpoint, and start them elsewhere once the
        lease that it granted has expired.
        """
        lease_ms = self.owner.bounds.lease_ms
        until_ms = 0
        is_healthy = endpoint.is_held and not endpoint.failed_polls
        if is_healthy and endpoint.reading is not None and not endpoint.has_unclaimed:
            until_ms = endpoint.reading.get_latest_ms(self.now_ms) + lease_ms
            endpoint.lease_until_ms = max(endpoint.lease_until_ms, until_ms)
        wait_ms = self.get_wait_ms(endpoint)
        if not endpoint.is_held or endpoint.failed_polls:
            wait_ms = 0
        elif endpoint.signed_off_ms or self.has_uncertain_attempts(endpoint):
            wait_ms = UNCERTAIN_POLL_MS
        endpoint.answer_due_ms = self.waiting_ms + wait_ms
        return self.build_call(endpoint, until_ms, wait_ms)

    def build_probe(self, endpoint: endpoints.Endpoint) -> calls.Hold:
        """Return a hold that renews no lease and is answered at once."""
        return self.build_call(endpoint, 0, 0)

    def build_call(
        self, endpoint: endpoints.Endpoint, until_ms: int, wait_ms: int
    ) -> calls.Hold:
        """Return a hold that acknowledges all ends that may be acknowledged."""
        return calls.Hold(
            endpoint.target,
            self.owner.fence,
            until_ms,
            endpoint.acked_end,
            wait_ms,
        )

    def get_wait_ms(self, endpoint: endpoints.Endpoint) -> int:
        """Return how long a hold may wait: at most until a task becomes overdue."""
        # A process that is late itself makes fewer calls.
        is_late = self.owner.waiting_clock.late_ms > 0
        is_lossy = self.losses.is_lossy(self.waiting_ms)
        is_urgent = bool(endpoint.attempts) and is_lossy and not is_late
        wait_ms = polling.get_interval_ms(
            len(self.owner.endpoints), is_urgent, self.owner.bounds.lease_ms
        )
        if not endpoint.attempts and self.owner.task_starter.budget.rate.is_full(
            self.now_ms
        ):
            wait_ms = polling.get_longest_ms(self.owner.bounds.lease_ms)
        if endpoint.reading is None:
            return wait_ms
        clock_ms = endpoint.reading.get_earliest_ms(self.now_ms)
        for attempt in endpoint.attempts.values():
            if attempt.owner is None or attempt.is_overdue:
                continue
            if attempt.owner.job.is_lasting:
                continue
            due_ms = attempt.began_clock_ms + self.get_overdue_ms(endpoint, attempt)
            wait_ms = min(wait_ms, int(due_ms) + 1 - clock_ms)
        return max(UNCERTAIN_POLL_MS, wait_ms)

    def get_overdue_ms(
        self, endpoint: endpoints.Endpoint, attempt: endpoints.Attempt
    ) -> float:
        """Return the run time after which an attempt counts as overdue."""
        assert attempt.owner is not None
        return self.get_task_overdue_ms(endpoint, attempt.owner)

    def get_task_overdue_ms(
        self, endpoint: endpoints.Endpoint, task: jobs.Task
    ) -> float:
        """Return the run time after which a task would be overdue at an endpoint."""
        return endpoint.speed.get_overdue_ms(
            self.get_estimate_ms(endpoint, task), task.job.work_factor
        )

    def get_estimate_ms(self, endpoint: endpoints.Endpoint, task: jobs.Task) -> float:
        """Return a task's estimate at an endpoint's rack, for normal speed."""
        return endpoint.get_estimate_ms(task.spec, self.owner.bounds.remote_factor)

    def has_uncertain_attempts(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an attempt's state depends on the endpoint's next lists.

        That is so for uncertain and unclaimed attempts and for those being stopped.
        """
        uncertain = (endpoints.AttemptState.UNCERTAIN, endpoints.AttemptState.UNCLAIMED)
        return any(
            attempt.state in uncertain or attempt.stop_sent_ms
            for attempt in endpoint.attempts.values()
        )

    def stop_attempt(
        self,
        endpoint: endpoints.Endpoint,
        attempt: endpoints.Attempt,
        reason: log_events.StopReason,
    ) -> dispatcher.Effects:
        """Return a call that stops an attempt, and the log event for it."""
        is_uncertain = reason == log_events.StopReason.UNCERTAIN
        if attempt.stop_sent_ms and not is_uncertain:
            reason = log_events.StopReason.AGAIN
        attempt.is_unwanted = True
        attempt.stop_sent_ms = self.waiting_ms
        stop = calls.Stop(
            endpoint.target, attempt.task, attempt.number, self.owner.fence
        )
        return [
            stop,
            *run_reports.report_stop(self.owner, endpoint, attempt, reason),
        ]

    def stop_job(self, job: jobs.Job) -> dispatcher.Effects:
        """Stop all attempts of a job; those still starting, once they have answered."""
        produced: dispatcher.Effects = []
        for endpoint in self.owner.list_endpoints_of_job(job.job_id):
            for attempt in endpoint.attempts.values():
                if attempt.owner is None or attempt.owner.job is not job:
                    continue
                attempt.is_unwanted = True
                if attempt.state != endpoints.AttemptState.STARTING:
                    produced += self.stop_attempt(
                        endpoint, attempt, log_events.StopReason.JOB_ENDED
                    )
        return produced

    # Jobs that another dispatcher or another entry VM had before.

    def adopt_attempts(self, job: jobs.Job) -> dispatcher.Effects:
        """Assign the unclaimed attempts and ends of a job that was just submitted."""
        produced: dispatcher.Effects = []
        prefix = f"{job.job_id}.{job.occurrence}."
        for endpoint in self.owner.list_endpoints_of_job(job.job_id):
            for attempt in list(endpoint.attempts.values()):
                if attempt.task.startswith(prefix):
                    produced += self.claim_attempt(job, endpoint, attempt)
        return produced + self.process_unacked_ends(job)

    def process_unacked_ends(self, job: jobs.Job) -> dispatcher.Effects:
        """Handle the ends that were listed before their job was submitted."""
        produced: dispatcher.Effects = []
        for endpoint in self.owner.list_endpoints_with_unacked_ends():
            for end in list(endpoint.unacked_ends.values()):
                if jobs.get_key(end.task) != job.key:
                    continue
                del endpoint.unacked_ends[end.place]
                produced += self.on_unmatched_end(endpoint, end)
        return produced

    def claim_attempt(
        self, job: jobs.Job, endpoint: endpoints.Endpoint, attempt: endpoints.Attempt
    ) -> dispatcher.Effects:
        """Assign an attempt to the task of a job that it runs."""
        task = job.find_task(attempt.task)
        if task is None:
            return []
        job.was_started = job.has_begun = True
        task.last_attempt = max(task.last_attempt, attempt.number)
        if task.state == jobs.TaskState.WAITING:
            job.waiting = [other for other in job.waiting if other is not task]
            task.state = jobs.TaskState.PLACED
        endpoint.remove(attempt)
        attempt.owner = task
        attempt.need = task.need
        if attempt.state == endpoints.AttemptState.UNCLAIMED:
            attempt.state = endpoints.AttemptState.RUNNING
        endpoint.add(attempt)
        return [run_reports.build_claimed(self.owner, endpoint, attempt, job)]

    def requeue_attempt(
        self, attempt: endpoints.Attempt, endpoint: endpoints.Endpoint, why: str
    ) -> dispatcher.Effects:
        """Requeue the task of a lost attempt unless its job was cancelled."""
        task = attempt.owner
        if task is None or task.job.is_cancelled:
            return []
        if task.state != jobs.TaskState.PLACED:
            return []
        self.owner.requeue(task)
        return [
            log_events.AttemptLost(
                attempt.task,
                attempt.number,
                endpoint.announcement.endpoint,
                why,
                self.now_ms - attempt.sent_ms,
                attempt.state.value,
            ),
            *self.stop_gang(task, attempt.number),
        ]

    def stop_gang(self, task: jobs.Task, number: int) -> dispatcher.Effects:
        """Stop the rest of a gang that lost an attempt; its tasks only run together."""
        if not task.spec.is_gang:
            return []
        names = {member.name for member in task.job.get_gang(task)}
        produced: dispatcher.Effects = []
        for endpoint in self.owner.list_endpoints_of_job(task.job.job_id):
            for attempt in endpoint.attempts.values():
                if attempt.task not in names or attempt.number != number:
                    continue
                if attempt.state == endpoints.AttemptState.STARTING:
                    attempt.is_unwanted = True
                elif not attempt.stop_sent_ms:
                    produced += self.stop_attempt(
                        endpoint, attempt, log_events.StopReason.GANG
                    )
        return produced

    def evacuate(self, endpoint: endpoints.Endpoint) -> dispatcher.Effects:
        """Stop the tasks that gain from moving off an endpoint that leaves.

        Lasting tasks start elsewhere sooner, and tasks that keep their progress lose
        none of it.
        """
        return [
            effect
            for attempt in endpoint.attempts.values()
            if attempt.owner is not None
            and (attempt.owner.spec.is_lasting or attempt.owner.spec.keeps_progress)
            and attempt.state != endpoints.AttemptState.STARTING
            and not attempt.stop_sent_ms
            for effect in self.stop_attempt(
                endpoint, attempt, log_events.StopReason.EVACUATED
            )
        ]

    def drop_attempt(
        self, endpoint: endpoints.Endpoint, attempt: endpoints.Attempt, why: str
    ) -> dispatcher.Effects:
        """Release the resources of an attempt that does not run, and requeue it."""
        endpoint.remove(attempt)
        return self.requeue_attempt(attempt, endpoint, why)

    # Answers to starts and stops.

    def on_start_sent(self, endpoint: endpoints.Endpoint, start: calls.Start) -> None:
        """Time the answer to a start from when it is sent."""
        attempt = endpoint.attempts.get(start.task)
        if attempt is not None and attempt.number == start.number:
            attempt.called_ms = self.waiting_ms

    def on_start_answer(
        self, endpoint: endpoints.Endpoint, start: calls.Start, answer: calls.Answer
    ) -> dispatcher.Effects:
        """Handle the answer to a start."""
        endpoint.record_reading(answer.reading)
        if answer.reading is not None:
            endpoint.contact.record_answer()
        endpoint.contact.record_failure(answer.verdict, self.waiting_ms)
        attempt = endpoint.attempts.get(start.task)
        if attempt is None or attempt.number != start.number:
            return []
        match answer.verdict:
            case calls.Verdict.ACCEPTED:
                attempt.mark_begun()
                if answer.reading is not None and not attempt.began_clock_ms:
                    attempt.began_clock_ms = answer.reading.clock_ms
                return self.mark_running(endpoint, attempt)
            case calls.Verdict.UNKNOWN | calls.Verdict.CLOSED:
                if attempt.state == endpoints.AttemptState.STARTING:
                    attempt.state = endpoints.AttemptState.UNCERTAIN
                return []
            case calls.Verdict.FENCED:
                return [
                    *self.drop_attempt(endpoint, attempt, "fenced"),
                    *self.on_fenced(endpoint),
                ]
            case calls.Verdict.INVALID:
                return self.handle_end(endpoint, attempt, calls.EndKind.FAILED)
        if answer.verdict == calls.Verdict.NO_TICKET and attempt.owner is not None:
            self.owner.advice_cache.discard_ticket(attempt.owner, endpoint)
        produced = self.drop_attempt(endpoint, attempt, str(answer.verdict.value))
        if answer.verdict == calls.Verdict.UNHEALTHY:
            produced += self.record_fault(endpoint, "refused a start")
        return produced

    def mark_running(
        self, endpoint: endpoints.Endpoint, attempt: endpoints.Attempt
    ) -> dispatcher.Effects:
        """Mark an attempt as running; stop it if it is no longer wanted."""
        if attempt.state == endpoints.AttemptState.STARTING:
            attempt.state = endpoints.AttemptState.RUNNING
        if attempt.is_unwanted and not attempt.stop_sent_ms:
            return self.stop_attempt(endpoint, attempt, log_events.StopReason.UNWANTED)
        return []

    def on_stop_answer(
        self, endpoint: endpoints.Endpoint, stop: calls.Stop, answer: calls.Answer
    ) -> dispatcher.Effects:
        """Record when an endpoint accepted a stop; its lists show when it is done."""
        endpoint.record_reading(answer.reading)
        attempt = endpoint.attempts.get(stop.task)
        if attempt is None or attempt.number != stop.number:
            return []
        if answer.verdict == calls.Verdict.FENCED:
            return self.on_fenced(endpoint)
        if answer.verdict == calls.Verdict.ACCEPTED and answer.reading is not None:
            attempt.stop_clock_ms = answer.reading.clock_ms
        return []

    def on_fenced(self, endpoint: endpoints.Endpoint) -> dispatcher.Effects:
        """Give up an endpoint that has accepted a higher fencing token."""
        endpoint.is_held = False
        return [
            log_events.EndpointFenced(endpoint.announcement.endpoint, self.owner.fence)
        ]

    # Lists of running and ended attempts.

    def on_hold_result(
        self, endpoint: endpoints.Endpoint, hold: calls.Hold, answer: calls.HoldResult
    ) -> dispatcher.Effects:
        """Handle the attempts that an endpoint lists as running and as ended."""
        produced: dispatcher.Effects = []
        if self.owner.rebirths.on_answer(endpoint, answer):
            return []
        endpoint.record_reading(answer.reading)
        if not endpoint.is_held:
            produced.append(
                log_events.EndpointChanged(endpoint.announcement.endpoint, "held")
            )
            granted_ms = answer.reading.clock_ms + self.owner.bounds.lease_ms
            endpoint.lease_until_ms = max(endpoint.lease_until_ms, granted_ms)
        produced += self.owner.crash_handler.on_answer(endpoint, answer)
        endpoint.is_held = True
        endpoint.failed_polls = 0
        endpoint.contact.record_answer()
        produced += self.owner.departures.on_answer(endpoint, answer)
        for end in sorted(answer.ends, key=lambda end: end.place):
            if end.place > endpoint.last_seen_end:
                endpoint.last_seen_end = end.place
                produced += self.on_end(endpoint, end)
        endpoint.record_list(self.owner.bounds.may_hide_ends(answer))
        endpoint.listed_ms = self.waiting_ms
        if answer.reading.clock_ms > endpoint.list_clock_ms:
            # Answers on different connections may arrive out of order.
            endpoint.list_clock_ms = answer.reading.clock_ms
            produced += self.reconciler.reconcile(endpoint, answer)
        return produced

    def on_end(
        self, endpoint: endpoints.Endpoint, end: calls.End
    ) -> dispatcher.Effects:
        """Handle the end of an attempt."""
        attempt = endpoint.attempts.get(end.task)
        if attempt is None or attempt.number != end.number:
            return self.on_unmatched_end(endpoint, end)
        produced: dispatcher.Effects = []
        if attempt.owner is not None:
            attempt.mark_begun()
            attempt.owner.job.save_progress(attempt.owner, end.progress)
            produced += self.owner.stored_scheduler.record_end(
                endpoint, end, attempt.owner
            )
        elif self.owner.stored_scheduler.may_be_stored(end):
            endpoint.keep_end(end)
        return produced + self.handle_end(endpoint, attempt, end.kind)

    def on_unmatched_end(
        self, endpoint: endpoints.Endpoint, end: calls.End
    ) -> dispatcher.Effects:
        """Handle the end of an attempt that this dispatcher did not start.

        It is ignored if the task has been started again, but for the failure of a
        stored job's task, which counts as an attempt whoever sees it.
        """
        job = self.owner.jobs.get(jobs.get_key(end.task))
        task = job.find_task(end.task) if job is not None else None
        if task is None:
            if self.owner.stored_scheduler.may_be_stored(end):
                endpoint.keep_end(end)
            return []
        if end.kind == calls.EndKind.FAILED and task.job.is_stored:
            return self.count_former_failure(endpoint, end, task)
        if task.state != jobs.TaskState.WAITING:
            return []
        task.last_attempt = max(task.last_attempt, end.number)
        task.job.save_progress(task, end.progress)
        if end.kind == calls.EndKind.DONE and not task.job.is_lasting:
            task.job.was_started = task.job.has_begun = True
            recorded = self.owner.stored_scheduler.record_end(endpoint, end, task)
            return [*recorded, *self.finish_task(task)]
        return []

    def count_former_failure(
        self, endpoint: endpoints.Endpoint, end: calls.End, task: jobs.Task
    ) -> dispatcher.Effects:
        """Count the failure of an attempt that this dispatcher did not start."""
        if task.job.is_lasting or task.state == jobs.TaskState.DONE:
            return []
        task.job.was_started = task.job.has_begun = True
        task.last_attempt = max(task.last_attempt, end.number)
        task.job.save_progress(task, end.progress)
        name = endpoint.announcement.endpoint
        task.failed_endpoints = (*task.failed_endpoints, name)
        produced = self.owner.stored_scheduler.record_end(endpoint, end, task)
        failures = task.job.record_failure(task, end.number, self.now_ms)
        if failures < task.job.terms.max_attempts:
            return produced
        outcome = messages.JobFailed(task.job.job_id, reasons.Reason.TASK_FAILED)
        return produced + self.owner.end_job(task.job, outcome)

    def handle_end(
        self,
        endpoint: endpoints.Endpoint,
        attempt: endpoints.Attempt,
        kind: calls.EndKind,
    ) -> dispatcher.Effects:
        """Release the resources of an ended attempt and continue its job."""
        endpoint.remove(attempt)
        task = attempt.owner
        duration_ms = self.now_ms - attempt.sent_ms
        if kind == calls.EndKind.DONE:
            self.learn_speed(endpoint, attempt, duration_ms)
        if task is None or task.job.is_cancelled:
            return []
        if task.job.is_lasting:
            return self.requeue_attempt(attempt, endpoint, str(kind))
        if kind == calls.EndKind.DONE:
            return self.finish_task(task)
        if kind == calls.EndKind.FAILED:
            return self.handle_failure(endpoint, attempt, task)
        return self.requeue_attempt(attempt, endpoint, str(kind))

    def learn_speed(
        self, endpoint: endpoints.Endpoint, attempt: endpoints.Attempt, duration_ms: int
    ) -> None:
        """Update an endpoint's health and speed from a task that succeeded."""
        if not attempt.is_overdue:
            endpoint.health.record_success()
        task = attempt.owner
        if task is None or attempt.state == endpoints.AttemptState.UNCLAIMED:
            return
        if task.spec.is_gang or task.spec.is_lasting or task.progress:
            # Their duration says nothing about the endpoint: the tasks of a gang wait
            # for each other, lasting ones run until stopped, resumed ones were partly
            # done before.
            return
        estimate_ms = max(1.0, self.get_estimate_ms(endpoint, task))
        if not attempt.is_overdue:
            worked_ms = (duration_ms - speeds.OVERHEAD_MS) * endpoint.speed.value
            factor = max(1 / speeds.ESTIMATE_ERROR, worked_ms / estimate_ms)
            task.job.work_factor = max(
                task.job.work_factor, min(speeds.ESTIMATE_ERROR, factor)
            )
        endpoint.speed.add(estimate_ms, duration_ms)
        endpoint.mark_changed()

    def finish_task(self, task: jobs.Task) -> dispatcher.Effects:
        """Mark a task, or its whole gang, as done; the last one completes the job."""
        for member in task.job.get_gang(task):
            task.job.mark_done(member)
        if task.job.waiting:
            self.owner.queue[task.job.key] = task.job
        if task.job.tasks_left:
            return []
        return self.owner.end_job(task.job, messages.JobComplete(task.job.job_id))

    def handle_failure(
        self,
        endpoint: endpoints.Endpoint,
        attempt: endpoints.Attempt,
        task: jobs.Task,
    ) -> dispatcher.Effects:
        """Retry a failed task elsewhere, or fail its job after `max_attempts`."""
        failures = task.job.record_failure(task, attempt.number, self.now_ms)
        task.failed_endpoints = (*task.failed_endpoints, endpoint.announcement.endpoint)
        produced = self.record_fault(endpoint, "failed a task")
        if failures > 1:
            # A task that fails on several endpoints is itself at fault.
            self.retract_faults(task.failed_endpoints)
        if failures < task.job.terms.max_attempts:
            return produced + self.requeue_attempt(attempt, endpoint, "failed")
        outcome = messages.JobFailed(task.job.job_id, reasons.Reason.TASK_FAILED)
        return produced + self.owner.end_job(task.job, outcome)

    def record_fault(
        self, endpoint: endpoints.Endpoint, why: str
    ) -> dispatcher.Effects:
        """Record a fault of an endpoint, which may start its cool-down."""
        if not endpoint.health.record_fault(self.now_ms):
            return []
        cool_down_ms = endpoint.health.cool_down_ms
        return [
            log_events.EndpointCoolingDown(
                endpoint.announcement.endpoint, why, cool_down_ms
            )
        ]

    def retract_faults(self, names: collections.abc.Iterable[str]) -> None:
        """Retract one fault of each endpoint."""
        for name in names:
            endpoint = self.owner.endpoints.get(name)
            if endpoint is not None:
                endpoint.health.retract_fault()

    def on_hold_failed(
        self, endpoint: endpoints.Endpoint, failed: calls.HoldFailed
    ) -> dispatcher.Effects:
        """Stop placing tasks on an endpoint that does not answer polls.

        A refused connection does not prove that the endpoint ended: an interrupted
        link may refuse too, and tasks behind it run on until their lease expires.
        """
        if failed.verdict == calls.Verdict.FENCED:
            return self.on_fenced(endpoint)
        endpoint.contact.record_failure(failed.verdict, self.waiting_ms)
        endpoint.is_incarnation_sure = False
        has_recent_lists = self.waiting_ms - endpoint.listed_ms < FRESH_LIST_MS
        if failed.verdict.may_have_arrived and has_recent_lists:
            return []
        endpoint.failed_polls += 1
        if failed.verdict == calls.Verdict.OTHER_INCARNATION and endpoint.attempts:
            return self.owner.lose_endpoint(
                endpoint, "another incarnation answered", crashes.LossCause.CRASHED
            )
        return []

    # Time.

    def tick(self, now_ms: int) -> dispatcher.Effects:
        """Probe endpoints, and handle expired leases and unclaimed attempts."""
        produced: dispatcher.Effects = []
        for endpoint in list(self.owner.endpoints.values()):
            if endpoint.is_held:
                late_ms = self.owner.waiting_clock.late_ms
                is_start_late = probing.mark_late_starts(
                    endpoint, self.waiting_ms, late_ms
                )
                probes: dispatcher.Effects = []
                if not late_ms:
                    stop_ms = self.owner.bounds.stop_ms
                    probes += probing.probe(endpoint, self.waiting_ms, stop_ms)
                if is_start_late or probes:
                    self.losses.record(self.waiting_ms)
                produced += probes
            if endpoint.failed_polls:
                produced += self.tick_unresponsive(endpoint, now_ms)
            else:
                produced += self.stop_unclaimed(endpoint)
        return produced

    def tick_unresponsive(
        self, endpoint: endpoints.Endpoint, now_ms: int
    ) -> dispatcher.Effects:
        """Requeue the tasks of an unresponsive endpoint once its lease has expired.

        One without attempts is removed after `FORGET_MS` without an announcement.
        """
        removed = self.owner.departures.tick(endpoint, now_ms)
        if removed:
            return removed
        if endpoint.attempts and endpoint.are_leases_expired(now_ms):
            cause = crashes.LossCause.UNEXPLAINED
            if endpoint.contact.state == contact.ContactState.ENDED:
                cause = crashes.LossCause.REFUSING
            if endpoint.was_replaced:
                cause = crashes.LossCause.CRASHED
            return self.owner.lose_endpoint(endpoint, "lease has run out", cause)
        if not endpoint.attempts and now_ms - endpoint.announced_ms > FORGET_MS:
            counted = self.owner.crash_handler.on_silent(
                endpoint.announcement.endpoint, endpoint.announcement.born_ms
            )
            cause = crashes.LossCause.UNEXPLAINED
            return counted + self.owner.remove_endpoint(endpoint, "silent", cause)
        return []

    def stop_unclaimed(self, endpoint: endpoints.Endpoint) -> dispatcher.Effects:
        """Stop attempts whose jobs were not submitted within `CLAIM_TIMEOUT_MS`."""
        return [
            effect
            for attempt in endpoint.attempts.values()
            if attempt.state == endpoints.AttemptState.UNCLAIMED
            and not attempt.is_unwanted
            and self.waiting_ms - attempt.called_ms > CLAIM_TIMEOUT_MS
            for effect in self.stop_attempt(
                endpoint, attempt, log_events.StopReason.UNCLAIMED
            )
        ]
