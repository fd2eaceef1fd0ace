"""Starting tasks on held slots."""

from __future__ import annotations

from knapweedbeam_core import effects, ids, jobs
from knapweedbeam_core.dispatch import fair_queue, job_run, placement, state
from knapweedbeam_core.slots import held

HOLD_MS = 40
REPEATABLE_MS = 10_000


class Starting:
    """Puts the next tasks on free slots."""

    def __init__(self, state: state.State) -> None:
        self.state = state

    def fill(self, service: str) -> None:
        """Start tasks until slots or tasks run out."""
        state = self.state
        queue = state.queues.get(service)
        pool = state.holder.pools.get(service)
        if queue is None or pool is None:
            return
        now_ms = state.clock.now_ms()
        while pool.free_endpoints:
            line = queue.get_next()
            if line is None:
                return
            run = queue.get_ready(line)
            if run is None:
                line.ready_tasks = 0
                continue
            if not self.start_next(pool, run, now_ms):
                queue.set_aside(line)
                due = make_line_due(line)
                state.timers.add(now_ms + HOLD_MS, due)

    def may_try(self, job: jobs.Job, now_ms: int) -> bool:
        """Say whether a job may go to an endpoint on trial.

        One that can be run again may; the others do where there is none such.
        """
        if job.repeatable and len(job.tasks) == 1:
            self.state.repeatable_ms[job.service] = now_ms
            return True
        last_ms = self.state.repeatable_ms.get(job.service, -REPEATABLE_MS)
        return now_ms - last_ms >= REPEATABLE_MS

    def start_next(self, pool: held.SlotPool, run: job_run.JobRun, now_ms: int) -> bool:
        """Start a job's next task; false when it must wait."""
        state = self.state
        job = run.job
        index = run.order[-1]
        spec = job.tasks[index]
        need = state.get_size(job, spec)
        avoid = run.avoid if len(pool.free_endpoints) > 1 else ""
        request = placement.Request(job, need, self.may_try(job, now_ms), avoid)
        endpoint = state.placement.choose(pool, request)
        if endpoint is None:
            return False
        lease = endpoint.lease
        if lease.until_ms <= now_ms:
            state.holder.expire_lease(lease)
            return True
        task = ids.TaskId(job.ticket, index)
        if not state.limiter.start_task(task, spec):
            return False
        run.order.pop()
        line = run.line
        line.ready_tasks -= 1
        line.running_slots += 1
        run.ran += 1
        state.queued_tasks -= 1
        queue = state.queues[line.service]
        queue.forget_work(run, 1)
        if line.waiting_tasks:
            queue.changed[line.account.member] = line
        record = endpoint.record
        base_ms = state.times.get_base_ms(job, spec.run_ms)
        expected_ms = base_ms * endpoint.speed
        group = (job.service, job.job_class)
        wall_ms = state.clock.wall_ms()
        load = state.usage.start(record.worker, need, wall_ms, group)
        run.running[index] = job_run.RunningTask(endpoint, now_ms, expected_ms, load)
        fair_queue.charge(line, expected_ms)
        state.budget.earn()
        state.out.append(
            effects.StartTask(
                task,
                record.endpoint,
                record.address,
                spec.payload,
                max(1, job.due_ms - now_ms),
            )
        )
        endpoint.running += 1
        pool.running += 1
        pool.update(endpoint)
        state.placement.changed(pool, endpoint)
        return True


def make_line_due(line: fair_queue.Line) -> state.Due:
    """Return the timer of a member's line that was set aside."""
    return state.Due(state.DueKind.LINE, line=line)
