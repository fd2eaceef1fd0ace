"""Ends of tasks: answers, retries, failures and what is learned from them."""

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

FAIL_PENALTY = 4.0
RUNS_ON = frozenset({reasons.Reason.TASK_TIMEOUT})


class Ending:
    """Takes ends of tasks and deadlines."""

    def __init__(self, state: state.State) -> None:
        self.state = state

    def task_end(self, end: effects.TaskEnd) -> None:
        """Take the end of a task; one that is not running here changes nothing."""
        state = self.state
        run = state.jobs.get(end.task.ticket)
        if run is None:
            return
        result = end.result
        if isinstance(result, effects.TaskFailed) and result.reason in RUNS_ON:
            self.leave_running(run, end)
            return
        running = run.running.pop(end.task.index, None)
        if running is None:
            return
        self.release(run, running, end, 0)
        if isinstance(result, effects.TaskAnswered):
            self.take_answer(run, running, end, result.answer)
        elif isinstance(result, effects.TaskNotStarted):
            self.take_not_started(run, running, end, result.reason)
        else:
            self.take_failed(run, running, end, result.reason)
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
        """Give back what a task held and charge what it used."""
        state = self.state
        endpoint = running.endpoint
        endpoint.running -= 1
        state.holder.get_pool(endpoint.record.service).running -= 1
        line = run.line
        line.running_slots -= 1
        used_ms = max(end.run_ms, state.clock.now_ms() - running.started_ms)
        fair_queue.correct(line, used_ms - running.expected_ms)
        if running.load is not None:
            worker = endpoint.record.worker
            state.usage.end(worker, running.load, state.clock.wall_ms())
        state.limiter.end_task(end.task, end.run_ms, lease_left_ms)

    def take_answer(
        self,
        run: job_run.JobRun,
        running: job_run.RunningTask,
        end: effects.TaskEnd,
        answer: bytes,
    ) -> None:
        """Keep an answer; the last one completes the job."""
        state = self.state
        job = run.job
        endpoint = running.endpoint
        name = endpoint.record.endpoint
        declared_ms = job.tasks[end.task.index].run_ms
        speed = state.times.learn(job, declared_ms, name, end.run_ms)
        known = state.health.get(name, endpoint.record.incarnation)
        endpoint.speed = speed * (1.0 + FAIL_PENALTY * known.fail_rate)
        if state.health.take_good(known, get_class_key(job)):
            self.health_changed(endpoint, known)
        if run.state == job_run.ENDED:
            return
        run.answers[end.task.index] = answer
        run.unanswered -= 1
        if not run.unanswered:
            state.end_job(run, outcomes.Complete(tuple(run.answers)))

    def take_not_started(
        self,
        run: job_run.JobRun,
        running: job_run.RunningTask,
        end: effects.TaskEnd,
        reason: reasons.Reason,
    ) -> None:
        """Queue a task again that was surely not started."""
        run.ran -= 1
        if run.state == job_run.ENDED:
            return
        self.judge_failure(run.job, running.endpoint)
        self.try_again(run, running.endpoint, end.task.index, reason)

    def take_failed(
        self,
        run: job_run.JobRun,
        running: job_run.RunningTask,
        end: effects.TaskEnd,
        reason: reasons.Reason,
    ) -> None:
        """Fail the job, or run a repeatable job of one task again."""
        if run.state == job_run.ENDED:
            return
        self.judge_failure(run.job, running.endpoint)
        if run.job.repeatable and len(run.job.tasks) == 1:
            self.try_again(run, running.endpoint, end.task.index, reason)
        else:
            self.state.end_job(run, outcomes.Failed(reason))

    def try_again(
        self,
        run: job_run.JobRun,
        endpoint: held.HeldEndpoint,
        index: int,
        reason: reasons.Reason,
    ) -> None:
        """Queue a task once more, within the budget."""
        state = self.state
        run.retries += 1
        bound = retry_budget.MAX_PER_JOB
        if run.retries > bound or not state.budget.take():
            state.end_job(run, intake.get_end(run, reason))
            return
        run.avoid = endpoint.record.endpoint
        run.order.append(index)
        run.line.ready_tasks += 1
        state.queued_tasks += 1
        queue = state.queues[run.line.service]
        queue.forget_work(run, -1)
        queue.add_ready(run)
        state.touched.add(run.line.service)

    def judge_failure(self, job: jobs.Job, endpoint: held.HeldEndpoint) -> None:
        """Let a failure count against its endpoint."""
        state = self.state
        record = endpoint.record
        known = state.health.get(record.endpoint, record.incarnation)
        count = self.count_endpoints(job.service)
        key = get_class_key(job)
        if state.health.take_failure(known, key, job.ticket, count):
            self.health_changed(endpoint, known)

    def count_endpoints(self, service: str) -> int:
        """Return how many endpoints of a service are held here."""
        return len(self.state.holder.get_pool(service).endpoints)

    def health_changed(
        self, endpoint: held.HeldEndpoint, known: health.EndpointHealth
    ) -> None:
        """Obey an endpoint's new state, and tell its keeper what matters."""
        endpoint.max_running = health.LIMITS[known.state]
        endpoint.is_on_trial = known.state == health.TRIAL
        self.state.holder.update_endpoint(endpoint)
        if known.state == health.HEALTHY:
            known.reported = False
        elif known.state == health.EJECTED or not known.reported:
            known.reported = True
        else:
            return
        record = endpoint.record
        note = messages.HealthNote(
            record.endpoint,
            record.incarnation,
            health.NOTES[known.state],
            round(endpoint.speed * 100),
        )
        self.state.holder.report_health(endpoint, note)

    def leave_running(self, run: job_run.JobRun, end: effects.TaskEnd) -> None:
        """Fail the job of a task that may run on; its slot stays charged."""
        running = run.running.get(end.task.index)
        if running is None:
            return
        if run.state != job_run.ENDED:
            self.judge_failure(run.job, running.endpoint)
            reason = reasons.Reason.TASK_TIMEOUT
            self.state.end_job(run, outcomes.Failed(reason))

    def deadline(self, ticket: str) -> None:
        """End a job whose deadline has come."""
        run = self.state.jobs.get(ticket)
        if run is None or run.state == job_run.ENDED:
            return
        self.state.touched.add(run.line.service)
        if not run.ran:
            reason = reasons.Reason.DEADLINE
            self.state.end_job(run, outcomes.NotRun(reason))
            return
        self.state.end_job(run, outcomes.Failed(reasons.Reason.TASK_TIMEOUT))

    def lease_over(self, ticket: str, index: int) -> None:
        """Free the slot of a stopped task that never ended."""
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
    """Return what jobs are judged together: service, class and member."""
    return (job.service, job.job_class, job.member)
