"""The way of a job until its tasks may start."""

from __future__ import annotations

import heapq

from knapweedbeam_core import effects, jobs, outcomes, reasons
from knapweedbeam_core.dispatch import admission, fair_queue, job_run, state, usage
from knapweedbeam_core.entry import parts
from knapweedbeam_core.slots import directory, slot_requester

MIN_AHEAD_TASKS = 2
AHEAD_SHARE = 8
ORDER_SLOTS = 16


class Intake:
    """Queues jobs and has them begun shortly before a slot is there."""

    def __init__(
        self,
        state: state.State,
        slot_requester: slot_requester.SlotRequester,
        directory: directory.CapacityDirectory,
    ) -> None:
        self.state = state
        self.slot_requester = slot_requester
        self.directory = directory

    def enqueue(self, job: jobs.Job) -> None:
        """Queue a job, or end it at once as not run."""
        state = self.state
        if job.ticket in state.jobs:
            return
        refusal = self.judge(job)
        if refusal is not None:
            state.out.append(effects.JobEnded(job.ticket, refusal))
            return
        queue = state.get_queue(job.service)
        line = queue.get_line(state.get_account(job.member))
        task_ms = self.get_work_ms(job) / len(job.tasks)
        work_ms = task_ms * len(job.tasks)
        order_ms = state.clock.now_ms() + work_ms / ORDER_SLOTS
        run = job_run.build_run(job, line, task_ms, order_ms)
        state.jobs[job.ticket] = run
        state.open_jobs += 1
        state.queued_tasks += len(job.tasks)
        state.queued_bytes += run.bytes
        queue.add_waiting(run)
        state.timers.add(job.due_ms, state_due(job.ticket))
        state.touched.add(job.service)

    def judge(self, job: jobs.Job) -> outcomes.NotRun | None:
        """Return why a job is not taken, none when it is."""
        state = self.state
        if state.stopping:
            return outcomes.NotRun(reasons.Reason.STOPPING)
        if not job.tasks:
            return outcomes.NotRun(reasons.Reason.INVALID)
        outlook = self.get_outlook(job)
        return admission.judge(
            job, self.get_largest(job), outlook, state.clock.now_ms()
        )

    def get_largest(self, job: jobs.Job) -> usage.Need:
        """Return the largest size of any task of the job."""
        needs = [self.state.get_size(job, task) for task in job.tasks]
        return usage.Need(
            max(need.cpu_millis for need in needs),
            max(need.memory_mib for need in needs),
        )

    def get_work_ms(self, job: jobs.Job) -> float:
        """Return the expected run time of all tasks together."""
        get_base_ms = self.state.times.get_base_ms
        return sum(get_base_ms(job, task.run_ms) for task in job.tasks)

    def get_outlook(self, job: jobs.Job) -> admission.Outlook:
        """Return what the job has to expect."""
        state = self.state
        queue = state.get_queue(job.service)
        line = queue.lines.get(job.member)
        get_base_ms = state.times.get_base_ms
        return admission.Outlook(
            total=self.directory.get_total(job.service),
            slots=self.get_member_slots(queue, job.member),
            queued_ms=line.queued_ms if line is not None else 0.0,
            longest_ms=max(get_base_ms(job, task.run_ms) for task in job.tasks),
            work_ms=self.get_work_ms(job),
            known=state.times.is_known(job),
            queued_tasks=state.queued_tasks,
            queued_bytes=state.queued_bytes,
        )

    def get_member_slots(self, queue: fair_queue.FairQueue, member: str) -> float:
        """Return how many slots a member may have at once.

        Where slots are scarce its keepers said so, and its weight is its part;
        else it can count on what is held here, or its part of half of all slots.
        """
        state = self.state
        service = queue.service
        held_slots = state.holder.get_pool(service).held
        line = queue.lines.get(member)
        is_active = line is not None and (line.running_slots or line.get_backlog())
        weight = state.get_standing(member)
        others = queue.get_active_weight(state.clock.now_ms())
        if is_active:
            others = max(0.0, others - weight)
        part = weight / (weight + others)
        if line is not None and self.is_bounded(service):
            return max(line.weight, held_slots * part)
        return max(held_slots, self.directory.get_total(service).slots / 2) * part

    def is_bounded(self, service: str) -> bool:
        """Say whether any keeper said that slots are scarce."""
        bounds = [link.bounds.get(service) for link in self.state.holder.links.values()]
        return any(bound is not None and bound.bounded for bound in bounds)

    def begin_ahead(self, service: str) -> None:
        """Have the next jobs begun, as many as slots are soon there for."""
        state = self.state
        queue = state.queues.get(service)
        if queue is None or not queue.waiting:
            return
        pool = state.holder.get_pool(service)
        lines = queue.take_changed(all_lines=bool(pool.free_endpoints) or state.ticking)
        if not lines:
            return
        now_ms = state.clock.now_ms()
        expected = self.slot_requester.count_expected_slots(service, now_ms)
        ahead = max(MIN_AHEAD_TASKS, pool.held // AHEAD_SHARE)
        bound = expected + ahead
        for line in lines:
            if line.held_until_ms <= now_ms:
                self.begin_line(queue, line, bound, now_ms)

    def begin_line(
        self,
        queue: fair_queue.FairQueue,
        line: fair_queue.Line,
        bound: int,
        now_ms: int,
    ) -> None:
        """Ask to begin a member's next jobs, up to `bound` tasks."""
        state = self.state
        while line.waiting_tasks and line.ready_tasks + line.asked_tasks < bound:
            run = queue.take_waiting(line)
            if run is None:
                return
            answer = state.limiter.reserve(run.job)
            if isinstance(answer, parts.Wait):
                heapq.heappush(line.waiting, (run.order_ms, queue.next_count(), run))
                self.hold_line(line, answer.until_ms, now_ms)
                return
            if isinstance(answer, outcomes.NotRun):
                state.end_job(run, answer)
                continue
            run.take("ask")
            queue.count_waiting(line, -len(run.order))
            line.asked_tasks += len(run.order)
            state.out.append(effects.RequestBegin(run.job.ticket))

    def hold_line(self, line: fair_queue.Line, until_ms: int, now_ms: int) -> None:
        """Leave a member's waiting jobs alone until its limits may allow them."""
        line.held_until_ms = max(until_ms, now_ms + parts.TICK_MS)
        due = state.Due(state.DueKind.LINE, line=line)
        self.state.timers.add(line.held_until_ms, due)

    def begun(self, ticket: str) -> None:
        """Let a job's tasks start."""
        run = self.state.jobs.get(ticket)
        if run is None or not run.take("begin"):
            return
        line = run.line
        line.asked_tasks -= len(run.order)
        line.ready_tasks += len(run.order)
        self.state.queues[line.service].add_ready(run)
        self.state.touched.add(line.service)

    def abandon(self, ticket: str) -> None:
        """Drop a job that was not begun."""
        run = self.state.jobs.get(ticket)
        if run is not None and run.state in (job_run.WAITING, job_run.ASKED):
            self.state.end_job(run, None)
            self.state.touched.add(run.line.service)

    def cancel(self, ticket: str) -> None:
        """Stop what is left of a job."""
        run = self.state.jobs.get(ticket)
        if run is None or run.state == job_run.ENDED:
            return
        reason = reasons.Reason.CANCELLED
        self.state.end_job(run, get_end(run, reason))
        self.state.touched.add(run.line.service)

    def stop(self) -> None:
        """End what is not begun as not run."""
        self.state.stopping = True
        outcome = outcomes.NotRun(reasons.Reason.STOPPING)
        for run in list(self.state.jobs.values()):
            if run.state in (job_run.WAITING, job_run.ASKED):
                self.state.end_job(run, outcome)


def state_due(ticket: str) -> state.Due:
    """Return the timer of a job's deadline."""
    return state.Due(state.DueKind.DEADLINE, ticket)


def get_end(run: job_run.JobRun, reason: reasons.Reason) -> outcomes.Outcome:
    """Return the outcome of a job that ends early; not run where that is sure."""
    if run.ran:
        return outcomes.Failed(reason)
    return outcomes.NotRun(reason)
