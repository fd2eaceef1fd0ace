"""What an endpoint lists as running, against what its dispatcher believes."""

from __future__ import annotations

import typing

from knapweedbeam_core.pool import calls, endpoints, jobs, room

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher, settling

# A start without an answer is stopped once a list taken this long after it lacks it.
DOUBT_MS = 60
# A stop is sent again while the endpoint still lists what was to be stopped.
STOP_AGAIN_MS = 150
# Each further move of an overdue task takes so many times longer: the task is long, or
# stands still on one endpoint after the other.
MOVE_PATIENCE = 4
# Clocks are read in whole milliseconds at both ends.
ROUNDING_MS = 2


class Lists:
    """Settles by an endpoint's lists what answers left open."""

    def __init__(self, settler: settling.Settler) -> None:
        self.settler = settler

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
        if attempt.owner is not None:
            attempt.owner.job.save(attempt.owner, running.progress)
        if not attempt.is_unwanted:
            return self.check_overdue(endpoint, attempt, answer)
        if self.settler.now_ms - attempt.stop_sent_ms < STOP_AGAIN_MS:
            return []
        return [self.settler.stop_attempt(endpoint, attempt)]

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
        if task is None or task.spec.is_lasting or task.spec.is_gang:
            return []
        ran_ms = answer.reading.clock_ms - attempt.began_clock_ms
        limit_ms = self.settler.get_overdue_ms(endpoint, attempt)
        if ran_ms <= limit_ms:
            return []
        produced: dispatcher.Effects = []
        if not attempt.is_overdue and not task.job.is_long:
            produced += self.blame(endpoint, task.job)
        attempt.is_overdue = True
        # A job that is long itself has as much patience as one that was moved.
        patience = max(task.moves, int(task.job.is_long))
        if attempt.is_unwanted or ran_ms <= limit_ms * MOVE_PATIENCE**patience:
            return produced
        if not self.settler.owner.has_better(endpoint, task):
            return produced
        task.moves += 1
        return [*produced, self.settler.stop_attempt(endpoint, attempt)]

    def blame(self, endpoint: endpoints.Endpoint, job: jobs.Job) -> dispatcher.Effects:
        """Hold an overdue task against its endpoint, unless its job is long itself."""
        if endpoint.said.endpoint in job.overdue_on:
            return []
        job.overdue_on.add(endpoint.said.endpoint)
        if not job.is_long:
            return self.settler.note_fault(endpoint, "a task is overdue")
        self.settler.forgive_all(job.overdue_on)
        return []

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
            self.settler.now_ms,
        )
        endpoint.add(attempt)
        job = self.settler.owner.jobs.get(jobs.get_key(running.task))
        task = job.find_task(running.task) if job is not None else None
        if job is None or task is None:
            return []
        if task.state == jobs.TaskState.WAITING:
            self.settler.attach(job, endpoint, attempt)
            return []
        return [self.settler.stop_attempt(endpoint, attempt)]

    def compare_missing(
        self,
        endpoint: endpoints.Endpoint,
        attempt: endpoints.Attempt,
        answer: calls.Holding,
    ) -> dispatcher.Effects:
        """Take an attempt that neither runs nor has ended, as of the lists."""
        clock_ms = answer.reading.clock_ms
        if attempt.stop_clock_ms:
            stopped_ms = attempt.stop_clock_ms + self.settler.owner.bounds.stop_ms
            if clock_ms > stopped_ms + ROUNDING_MS:
                return self.settler.drop(endpoint, attempt, "stopped")
        if attempt.until_ms and clock_ms > attempt.until_ms + ROUNDING_MS:
            return self.settler.drop(endpoint, attempt, "never started")
        is_doubtful = attempt.state == endpoints.AttemptState.DOUBTFUL
        is_old = self.settler.now_ms - attempt.sent_ms > DOUBT_MS
        is_due = self.settler.now_ms - attempt.stop_sent_ms > STOP_AGAIN_MS
        if is_doubtful and is_old and is_due:
            return [self.settler.stop_attempt(endpoint, attempt)]
        return []
