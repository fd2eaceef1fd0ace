"""What an endpoint lists as running, against what its dispatcher believes."""

from __future__ import annotations

import typing

from knapweedbeam_core.pool import calls, endpoints, jobs, resources

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import attempt_tracker, dispatcher

# A start without an answer is stopped once a list taken this long after it lacks it.
UNCERTAIN_START_MS = 60
# A stop is sent again while the endpoint still lists what was to be stopped.
STOP_RETRY_MS = 150
# Each further move of an overdue task takes so many times longer: the task is long, or
# stands still on one endpoint after the other.
MOVE_BACKOFF_FACTOR = 4
# Clocks are read in whole milliseconds at both ends.
ROUNDING_MS = 2


class Reconciler:
    """Settles by an endpoint's lists what answers left open."""

    def __init__(self, tracker: attempt_tracker.AttemptTracker) -> None:
        self.tracker = tracker

    def reconcile(
        self, endpoint: endpoints.Endpoint, answer: calls.HoldResult
    ) -> dispatcher.Effects:
        """Settle what is in doubt by what the endpoint lists as running."""
        produced: dispatcher.Effects = []
        listed = {running.task: running for running in answer.running}
        for running in answer.running:
            produced += self.reconcile_running(endpoint, running, answer)
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
        """Take an attempt that runs."""
        attempt = endpoint.attempts.get(running.task)
        if attempt is None:
            return self.add_unclaimed(endpoint, running)
        if attempt.state in (
            endpoints.AttemptState.STARTING,
            endpoints.AttemptState.UNCERTAIN,
        ):
            attempt.state = endpoints.AttemptState.RUNNING
        if not attempt.began_clock_ms:
            attempt.began_clock_ms = answer.reading.clock_ms
        if attempt.owner is not None:
            attempt.owner.job.save_progress(attempt.owner, running.progress)
        if not attempt.is_unwanted:
            return self.check_overdue(endpoint, attempt, answer)
        if self.tracker.now_ms - attempt.stop_sent_ms < STOP_RETRY_MS:
            return []
        return [self.tracker.stop_attempt(endpoint, attempt)]

    def check_overdue(
        self,
        endpoint: endpoints.Endpoint,
        attempt: endpoints.Attempt,
        answer: calls.HoldResult,
    ) -> dispatcher.Effects:
        """Stop a task that stands still or crawls, and start it elsewhere.

        Its time is taken by the endpoint's clock, so that a dispatcher that was held
        up itself blames nobody.
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
        # A job that is long itself has as much patience as one that was moved.
        patience = max(task.move_count, int(task.job.is_underestimated))
        if attempt.is_unwanted or ran_ms <= limit_ms * MOVE_BACKOFF_FACTOR**patience:
            return produced
        if not self.tracker.owner.has_alternative(endpoint, task):
            return produced
        task.move_count += 1
        return [*produced, self.tracker.stop_attempt(endpoint, attempt)]

    def record_overdue(
        self, endpoint: endpoints.Endpoint, job: jobs.Job
    ) -> dispatcher.Effects:
        """Hold an overdue task against its endpoint, unless its job is long itself."""
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
        """Count in an attempt that this dispatcher didn't order."""
        attempt = endpoints.Attempt(
            running.task,
            running.number,
            None,
            resources.Resources(),
            endpoints.AttemptState.UNCLAIMED,
            self.tracker.now_ms,
        )
        endpoint.add(attempt)
        job = self.tracker.owner.jobs.get(jobs.get_key(running.task))
        task = job.find_task(running.task) if job is not None else None
        if job is None or task is None:
            return []
        if task.state == jobs.TaskState.WAITING:
            self.tracker.claim_attempt(job, endpoint, attempt)
            return []
        return [self.tracker.stop_attempt(endpoint, attempt)]

    def reconcile_missing(
        self,
        endpoint: endpoints.Endpoint,
        attempt: endpoints.Attempt,
        answer: calls.HoldResult,
    ) -> dispatcher.Effects:
        """Take an attempt that neither runs nor has ended, as of the lists."""
        clock_ms = answer.reading.clock_ms
        if attempt.stop_clock_ms:
            stopped_ms = attempt.stop_clock_ms + self.tracker.owner.bounds.stop_ms
            if clock_ms > stopped_ms + ROUNDING_MS:
                return self.tracker.drop_attempt(endpoint, attempt, "stopped")
        if attempt.until_ms and clock_ms > attempt.until_ms + ROUNDING_MS:
            return self.tracker.drop_attempt(endpoint, attempt, "never started")
        is_doubtful = attempt.state == endpoints.AttemptState.UNCERTAIN
        is_old = self.tracker.now_ms - attempt.sent_ms > UNCERTAIN_START_MS
        is_due = self.tracker.now_ms - attempt.stop_sent_ms > STOP_RETRY_MS
        if is_doubtful and is_old and is_due:
            return [self.tracker.stop_attempt(endpoint, attempt)]
        return []
