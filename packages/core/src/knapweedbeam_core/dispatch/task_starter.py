"""Starts queued tasks on held slots."""

from __future__ import annotations

from knapweedbeam_core import effects, ids, jobs
from knapweedbeam_core.dispatch import fair_queue, job_run, placement, state
from knapweedbeam_core.slots import held

RETRY_MS = 40
REPEATABLE_WINDOW_MS = 10_000


class TaskStarter:
    """Starts the next tasks on free slots."""

    def __init__(self, state: state.State) -> None:
        self.state = state

    def start_ready_tasks(self, service: str) -> None:
        """Start tasks of a service until no free slot or no ready task is left."""
        state = self.state
        queue = state.queues.get(service)
        pool = state.holder.pools.get(service)
        if queue is None or pool is None:
            return
        now_ms = state.clock.now_ms()
        while pool.free_endpoints:
            member_queue = queue.get_next()
            if member_queue is None:
                return
            run = queue.get_ready(member_queue)
            if run is None:
                member_queue.ready_tasks = 0
                continue
            if not self.start_next(pool, run, now_ms):
                queue.unschedule_next(member_queue)
                timer = build_member_queue_timer(member_queue)
                state.timers.add(now_ms + RETRY_MS, timer)

    def may_use_trial(self, job: jobs.Job, now_ms: int) -> bool:
        """Return whether a job may run at an endpoint that is on trial.

        Repeatable jobs with a single task may. Other jobs may only if the service
        had no such job for `REPEATABLE_WINDOW_MS`.
        """
        if job.repeatable and len(job.tasks) == 1:
            self.state.last_repeatable_ms[job.service] = now_ms
            return True
        last_ms = self.state.last_repeatable_ms.get(job.service, -REPEATABLE_WINDOW_MS)
        return now_ms - last_ms >= REPEATABLE_WINDOW_MS

    def start_next(self, pool: held.SlotPool, run: job_run.JobRun, now_ms: int) -> bool:
        """Start a job's next task; return False if it must wait.

        Return True without a start if the endpoint's lease turned out to be
        expired, so that the caller tries the next endpoint.
        """
        state = self.state
        job = run.job
        index = run.unstarted[-1]
        spec = job.tasks[index]
        need = state.get_size(job, spec)
        avoided_endpoint = run.avoided_endpoint if len(pool.free_endpoints) > 1 else ""
        request = placement.Request(
            job, need, self.may_use_trial(job, now_ms), avoided_endpoint
        )
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
        run.unstarted.pop()
        member_queue = run.member_queue
        member_queue.ready_tasks -= 1
        member_queue.running_slots += 1
        run.possible_starts += 1
        state.queued_tasks -= 1
        queue = state.queues[member_queue.service]
        queue.subtract_queued_work(run, 1)
        if member_queue.waiting_tasks:
            queue.changed[member_queue.account.member] = member_queue
        record = endpoint.record
        base_ms = state.times.get_base_ms(job, spec.run_ms)
        expected_ms = base_ms * endpoint.speed
        service_class = (job.service, job.job_class)
        wall_ms = state.clock.wall_ms()
        load = state.usage.start(record.worker, need, wall_ms, service_class)
        run.running[index] = job_run.RunningTask(endpoint, now_ms, expected_ms, load)
        fair_queue.charge(member_queue, expected_ms)
        state.budget.record_start()
        state.pending_effects.append(
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
        state.placement.update_endpoint(pool, endpoint)
        return True


def build_member_queue_timer(member_queue: fair_queue.MemberQueue) -> state.Timer:
    """Build the timer that schedules a member's queue again."""
    return state.Timer(state.TimerKind.MEMBER_QUEUE, member_queue=member_queue)
