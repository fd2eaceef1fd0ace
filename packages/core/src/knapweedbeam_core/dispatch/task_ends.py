"""Handling of task ends: answers, failures, retries and learned estimates."""

from __future__ import annotations

from knapweedbeam_core import effects, ids, jobs, outcomes, reasons
from knapweedbeam_core.dispatch import (
    fair_queue,
    health,
    intake,
    job_run,
    retry_budget,
    state,
)
from knapweedbeam_core.slots import held, messages

FAILURE_PENALTY = 4.0
MAY_STILL_RUN = frozenset({reasons.Reason.TASK_TIMEOUT})
# A repeatable task is not sent again once the connections to this many endpoints broke.
MAX_LOST_ENDPOINTS = 2


class TaskEndHandler:
    """Handles the ends of tasks, job deadlines and expired task leases."""

    def __init__(self, state: state.State) -> None:
        self.state = state

    def handle_task_end(self, end: effects.TaskEnd) -> None:
        """Handle the end of a task; a task that is not running here is ignored."""
        state = self.state
        run = state.jobs.get(end.task.ticket)
        if run is None:
            return
        result = end.result
        if isinstance(result, effects.TaskFailed) and result.reason in MAY_STILL_RUN:
            self.handle_running_timeout(run, end)
            return
        running = run.running.pop(end.task.index, None)
        if running is None:
            return
        self.release(run, running, end, 0)
        if isinstance(result, effects.TaskAnswered):
            self.handle_answer(run, running, end, result.answer)
        elif isinstance(result, effects.TaskNotStarted):
            self.handle_not_started(run, running, end, result.reason)
        else:
            self.handle_failure(run, running, end, result.reason)
        state.holder.handle_task_end(running.endpoint)
        if run.state == job_run.ENDED and not run.running:
            state.jobs.pop(run.job.ticket, None)

    def release(
        self,
        run: job_run.JobRun,
        running: job_run.RunningTask,
        end: effects.TaskEnd,
        lease_left_ms: int,
    ) -> None:
        """Release what a task held and correct its charge to the time it used."""
        state = self.state
        endpoint = running.endpoint
        endpoint.running -= 1
        state.holder.get_pool(endpoint.record.service).running -= 1
        member_queue = run.member_queue
        member_queue.running_slots -= 1
        used_ms = max(end.run_ms, state.clock.now_ms() - running.started_ms)
        fair_queue.correct_charge(member_queue, used_ms - running.expected_ms)
        if running.load is not None:
            worker = endpoint.record.worker
            state.usage.end(worker, running.load, state.clock.wall_ms())
        state.limiter.end_task(end.task, end.run_ms, lease_left_ms)

    def handle_answer(
        self,
        run: job_run.JobRun,
        running: job_run.RunningTask,
        end: effects.TaskEnd,
        answer: bytes,
    ) -> None:
        """Store an answer and learn from it; the last answer completes the job."""
        state = self.state
        job = run.job
        endpoint = running.endpoint
        name = endpoint.record.endpoint
        declared_ms = job.tasks[end.task.index].run_ms
        speed = state.times.learn(job, declared_ms, name, end.run_ms)
        endpoint_health = state.health.get(name, endpoint.record.incarnation)
        endpoint.speed = speed * (1.0 + FAILURE_PENALTY * endpoint_health.fail_rate)
        if state.health.record_success(endpoint_health, get_class_key(job)):
            self.apply_health_change(endpoint, endpoint_health)
        if run.state == job_run.ENDED:
            return
        run.answers[end.task.index] = answer
        run.unanswered -= 1
        if not run.unanswered:
            state.end_job(run, outcomes.Complete(tuple(run.answers)))

    def handle_not_started(
        self,
        run: job_run.JobRun,
        running: job_run.RunningTask,
        end: effects.TaskEnd,
        reason: reasons.Reason,
    ) -> None:
        """Queue a task again that certainly did not start."""
        run.possible_starts -= 1
        if run.state == job_run.ENDED:
            return
        self.count_failure(run.job, running.endpoint)
        self.retry_task(run, running.endpoint, end.task.index, reason)

    def handle_failure(
        self,
        run: job_run.JobRun,
        running: job_run.RunningTask,
        end: effects.TaskEnd,
        reason: reasons.Reason,
    ) -> None:
        """Fail the job, or retry the task of a repeatable job with a single task."""
        if run.state == job_run.ENDED:
            return
        self.count_failure(run.job, running.endpoint)
        if reason == reasons.Reason.ENDPOINT_LOST:
            run.lost_endpoints += 1
        if run.lost_endpoints >= MAX_LOST_ENDPOINTS:
            crashed = reasons.Reason.TASK_CRASHED_ENDPOINTS
            self.state.end_job(run, outcomes.Failed(crashed))
        elif run.job.repeatable and len(run.job.tasks) == 1:
            self.retry_task(run, running.endpoint, end.task.index, reason)
        else:
            self.state.end_job(run, outcomes.Failed(reason))

    def retry_task(
        self,
        run: job_run.JobRun,
        endpoint: held.HeldEndpoint,
        index: int,
        reason: reasons.Reason,
    ) -> None:
        """Queue a task again, or end its job if the retry limits are exhausted."""
        state = self.state
        run.retries += 1
        bound = retry_budget.MAX_RETRIES_PER_JOB
        if run.retries > bound or not state.budget.acquire():
            state.end_job(run, intake.get_early_outcome(run, reason))
            return
        run.avoided_endpoint = endpoint.record.endpoint
        run.unstarted.append(index)
        run.member_queue.ready_tasks += 1
        state.queued_tasks += 1
        queue = state.queues[run.member_queue.service]
        queue.subtract_queued_work(run, -1)
        queue.add_ready(run)
        state.changed_services.add(run.member_queue.service)

    def count_failure(self, job: jobs.Job, endpoint: held.HeldEndpoint) -> None:
        """Count a failure against the endpoint's health."""
        state = self.state
        record = endpoint.record
        endpoint_health = state.health.get(record.endpoint, record.incarnation)
        count = self.count_endpoints(job.service)
        key = get_class_key(job)
        if state.health.record_failure(endpoint_health, key, job.ticket, count):
            self.apply_health_change(endpoint, endpoint_health)

    def count_endpoints(self, service: str) -> int:
        """Return the number of endpoints of a service with slots held here."""
        return len(self.state.holder.get_pool(service).endpoints)

    def apply_health_change(
        self, endpoint: held.HeldEndpoint, endpoint_health: health.EndpointHealth
    ) -> None:
        """Apply an endpoint's new health state and report it to its keeper.

        Reported are ejections, recovery to healthy, and the first other state
        after healthy.
        """
        endpoint.max_running = health.TASK_LIMITS[endpoint_health.state]
        endpoint.is_on_trial = endpoint_health.state == health.TRIAL
        self.state.holder.update_endpoint(endpoint)
        if endpoint_health.state == health.HEALTHY:
            endpoint_health.is_reported = False
        elif endpoint_health.state == health.EJECTED or not endpoint_health.is_reported:
            endpoint_health.is_reported = True
        else:
            return
        record = endpoint.record
        note = messages.HealthNote(
            record.endpoint,
            record.incarnation,
            health.MESSAGE_VALUES[endpoint_health.state],
            round(endpoint.speed * 100),
        )
        self.state.holder.report_health(endpoint, note)

    def handle_running_timeout(self, run: job_run.JobRun, end: effects.TaskEnd) -> None:
        """Fail the job of a timed-out task that may still run.

        The slot stays in use until the task ends or its lease expires.
        """
        running = run.running.get(end.task.index)
        if running is None:
            return
        if run.state != job_run.ENDED:
            self.count_failure(run.job, running.endpoint)
            reason = reasons.Reason.TASK_TIMEOUT
            self.state.end_job(run, outcomes.Failed(reason))

    def handle_deadline(self, ticket: str) -> None:
        """End a job whose deadline has passed."""
        run = self.state.jobs.get(ticket)
        if run is None or run.state == job_run.ENDED:
            return
        self.state.changed_services.add(run.member_queue.service)
        if not run.possible_starts:
            reason = reasons.Reason.DEADLINE
            self.state.end_job(run, outcomes.NotRun(reason))
            return
        self.state.end_job(run, outcomes.Failed(reasons.Reason.TASK_TIMEOUT))

    def handle_lease_expiry(self, ticket: str, index: int) -> None:
        """Release the slot of a stopped task whose end was never reported."""
        run = self.state.jobs.get(ticket)
        running = run.running.pop(index, None) if run is not None else None
        if run is None or running is None:
            return
        task = ids.TaskId(ticket, index)
        result = effects.TaskFailed(reasons.Reason.TASK_TIMEOUT)
        run_ms = self.state.clock.now_ms() - running.started_ms
        name = running.endpoint.record.endpoint
        self.release(run, running, effects.TaskEnd(task, name, result, run_ms), 0)
        self.state.holder.handle_task_end(running.endpoint)
        if not run.running:
            self.state.jobs.pop(ticket, None)


def get_class_key(job: jobs.Job) -> tuple[str, str, str]:
    """Return the key under which failures are compared: service, class, member."""
    return (job.service, job.job_class, job.member)
