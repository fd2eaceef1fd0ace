"""Reconciles the attempts that a dispatcher tracks with those an endpoint lists."""

from __future__ import annotations

import typing

from knapweedbeam_core.pool import calls, endpoints, jobs, log_events, resources

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import attempt_tracker, dispatcher

# An unanswered start is stopped if a list from this long after it lacks the attempt.
UNCERTAIN_START_MS = 60
# A stop is sent again while the endpoint still lists what was to be stopped.
STOP_RETRY_MS = 150
# Each further move of an overdue task waits this many times longer: the task is long,
# or stalls on every endpoint.
MOVE_BACKOFF_FACTOR = 4
# Clocks are read in whole milliseconds at both ends.
ROUNDING_MS = 2


class Reconciler:
    """Resolves the attempts of one dispatcher whose state the answers left open."""

    def __init__(self, tracker: attempt_tracker.AttemptTracker) -> None:
        self.tracker = tracker

    def reconcile(
        self, endpoint: endpoints.Endpoint, answer: calls.HoldResult
    ) -> dispatcher.Effects:
        """Compare the tracked attempts of an endpoint with those that it lists."""
        produced: dispatcher.Effects = []
        listed = {running.task: running for running in answer.running}
        for running in answer.running:
            produced += self.reconcile_running(endpoint, running, answer)
        if self.tracker.owner.bounds.may_hide_ends(answer):
            # An attempt that is not listed may have ended.
            return produced
        for attempt in list(endpoint.attempts.values()):
            if attempt.task not in listed:
                produced += self.reconcile_missing(endpoint, attempt, answer)
        return produced

    def reconcile_running(
        self,
        endpoint: endpoints.Endpoint,
        running: calls.Running,
        answer: calls.HoldResult,
    ) -> dispatcher.Effects:
        """Handle an attempt that the endpoint lists as running."""
        attempt = endpoint.attempts.get(running.task)
        if attempt is None:
            return self.add_unclaimed(endpoint, running)
        if attempt.state in (
            endpoints.AttemptState.STARTING,
            endpoints.AttemptState.UNCERTAIN,
        ):
            attempt.state = endpoints.AttemptState.RUNNING
        attempt.is_listed = True
        attempt.mark_begun()
        attempt.former_loss = None
        if not attempt.began_clock_ms:
            attempt.began_clock_ms = answer.reading.clock_ms
        if attempt.owner is not None:
            attempt.owner.job.save_progress(attempt.owner, running.progress)
        if not attempt.is_unwanted:
            return self.check_overdue(endpoint, attempt, answer)
        if self.tracker.waiting_ms - attempt.stop_sent_ms < STOP_RETRY_MS:
            return []
        return self.tracker.stop_attempt(
            endpoint, attempt, log_events.StopReason.UNWANTED
        )

    def check_overdue(
        self,
        endpoint: endpoints.Endpoint,
        attempt: endpoints.Attempt,
        answer: calls.HoldResult,
    ) -> dispatcher.Effects:
        """Stop a task that stalls or runs too slowly, so that it starts elsewhere.

        Its run time is measured on the endpoint's clock, so that a delay of the
        dispatcher itself does not count against the endpoint.
        """
        task = attempt.owner
        if task is None or task.spec.is_lasting or task.spec.is_gang:
            return []
        ran_ms = answer.reading.clock_ms - attempt.began_clock_ms
        limit_ms = self.tracker.get_overdue_ms(endpoint, attempt)
        if ran_ms <= limit_ms:
            return []
        produced: dispatcher.Effects = []
        if not attempt.is_overdue and not task.job.is_underestimated:
            produced += self.record_overdue(endpoint, task.job)
        attempt.is_overdue = True
        # A job that is itself longer than estimated waits as if it had moved once.
        backoff_exponent = max(task.move_count, int(task.job.is_underestimated))
        if (
            attempt.is_unwanted
            or ran_ms <= limit_ms * MOVE_BACKOFF_FACTOR**backoff_exponent
        ):
            return produced
        if not self.tracker.owner.has_alternative(endpoint, task):
            if not self.tracker.owner.has_slower_alternative(endpoint, task, ran_ms):
                return produced
            task.left_endpoint = endpoint.announcement.endpoint
        task.move_count += 1
        return produced + self.tracker.stop_attempt(
            endpoint, attempt, log_events.StopReason.OVERDUE
        )

    def record_overdue(
        self, endpoint: endpoints.Endpoint, job: jobs.Job
    ) -> dispatcher.Effects:
        """Count an overdue task as a fault of its endpoint, once for each job.

        If the job turns out to be underestimated, all these faults are retracted.
        """
        if endpoint.announcement.endpoint in job.overdue_endpoints:
            return []
        job.overdue_endpoints.add(endpoint.announcement.endpoint)
        if not job.is_underestimated:
            return self.tracker.record_fault(endpoint, "a task is overdue")
        self.tracker.retract_faults(job.overdue_endpoints)
        return []

    def add_unclaimed(
        self, endpoint: endpoints.Endpoint, running: calls.Running
    ) -> dispatcher.Effects:
        """Add an attempt that this dispatcher did not start.

        A waiting task of a known job claims it; if the task runs elsewhere or is done,
        the attempt is stopped.
        """
        attempt = endpoints.Attempt(
            running.task,
            running.number,
            None,
            resources.Resources(),
            endpoints.AttemptState.UNCLAIMED,
            self.tracker.now_ms,
            called_ms=self.tracker.waiting_ms,
            is_listed=True,
        )
        endpoint.add(attempt)
        job = self.tracker.owner.jobs.get(jobs.get_key(running.task))
        task = job.find_task(running.task) if job is not None else None
        if job is None or task is None:
            return []
        if task.state == jobs.TaskState.WAITING:
            return self.tracker.claim_attempt(job, endpoint, attempt)
        reason = log_events.StopReason.ELSEWHERE
        if task.state == jobs.TaskState.DONE:
            reason = log_events.StopReason.DONE
        return self.tracker.stop_attempt(endpoint, attempt, reason)

    def reconcile_missing(
        self,
        endpoint: endpoints.Endpoint,
        attempt: endpoints.Attempt,
        answer: calls.HoldResult,
    ) -> dispatcher.Effects:
        """Handle a tracked attempt that is listed neither as running nor as ended.

        Its resources are released once it can no longer run: after an accepted stop,
        or when its start deadline has passed on the endpoint's clock.
        """
        clock_ms = answer.reading.clock_ms
        if attempt.stop_clock_ms:
            stopped_ms = attempt.stop_clock_ms + self.tracker.owner.bounds.stop_ms
            if clock_ms > stopped_ms + ROUNDING_MS:
                return self.tracker.owner.rebirths.drop(endpoint, attempt, "stopped")
        if attempt.until_ms and clock_ms > attempt.until_ms + ROUNDING_MS:
            return self.tracker.drop_attempt(endpoint, attempt, "never started")
        is_uncertain = attempt.state == endpoints.AttemptState.UNCERTAIN
        is_old = self.tracker.waiting_ms - attempt.called_ms > UNCERTAIN_START_MS
        is_due = self.tracker.waiting_ms - attempt.stop_sent_ms > STOP_RETRY_MS
        if is_uncertain and is_old and is_due:
            return self.tracker.stop_attempt(
                endpoint, attempt, log_events.StopReason.UNCERTAIN
            )
        return []
