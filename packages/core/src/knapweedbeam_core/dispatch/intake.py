"""Handling of a job from its submission until its tasks may start."""

from __future__ import annotations

import heapq

from knapweedbeam_core import effects, jobs, outcomes, reasons
from knapweedbeam_core.dispatch import admission, fair_queue, job_run, state, usage
from knapweedbeam_core.entry import parts
from knapweedbeam_core.slots import directory, slot_requester

MIN_AHEAD_TASKS = 2
AHEAD_DIVISOR = 8
ASSUMED_SLOTS = 16


class Intake:
    """Queues jobs and requests their begin shortly before slots become free."""

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
        """Queue a job, or end it at once as not run if admission refuses it."""
        state = self.state
        if job.ticket in state.jobs:
            return
        refusal = self.check_admission(job)
        if refusal is not None:
            state.pending_effects.append(effects.JobEnded(job.ticket, refusal))
            return
        queue = state.get_queue(job.service)
        member_queue = queue.get_member_queue(state.get_account(job.member))
        task_ms = self.get_work_ms(job) / len(job.tasks)
        work_ms = task_ms * len(job.tasks)
        expected_finish_ms = state.clock.now_ms() + work_ms / ASSUMED_SLOTS
        run = job_run.build_run(job, member_queue, task_ms, expected_finish_ms)
        state.jobs[job.ticket] = run
        state.open_jobs += 1
        state.queued_tasks += len(job.tasks)
        state.queued_bytes += run.size_bytes
        queue.add_waiting(run)
        state.timers.add(job.due_ms, build_deadline_timer(job.ticket))
        state.changed_services.add(job.service)

    def check_admission(self, job: jobs.Job) -> outcomes.NotRun | None:
        """Return why a job is refused, or None if it is accepted."""
        state = self.state
        if state.is_stopping:
            return outcomes.NotRun(reasons.Reason.STOPPING)
        if not job.tasks:
            return outcomes.NotRun(reasons.Reason.INVALID)
        estimate = self.build_estimate(job)
        return admission.check(
            job, self.get_largest_need(job), estimate, state.clock.now_ms()
        )

    def get_largest_need(self, job: jobs.Job) -> usage.Need:
        """Return the largest CPU and memory need among the job's tasks."""
        needs = [self.state.get_size(job, task) for task in job.tasks]
        return usage.Need(
            max(need.cpu_millis for need in needs),
            max(need.memory_mib for need in needs),
        )

    def get_work_ms(self, job: jobs.Job) -> float:
        """Return the sum of the expected run times of the job's tasks."""
        get_base_ms = self.state.times.get_base_ms
        return sum(get_base_ms(job, task.run_ms) for task in job.tasks)

    def build_estimate(self, job: jobs.Job) -> admission.LoadEstimate:
        """Return the load and the run times that the job can expect."""
        state = self.state
        queue = state.get_queue(job.service)
        member_queue = queue.member_queues.get(job.member)
        get_base_ms = state.times.get_base_ms
        return admission.LoadEstimate(
            total=self.directory.get_total(job.service),
            slots=self.get_member_slots(queue, job.member),
            queued_ms=member_queue.queued_ms if member_queue is not None else 0.0,
            longest_task_ms=max(get_base_ms(job, task.run_ms) for task in job.tasks),
            work_ms=self.get_work_ms(job),
            has_run_times=state.times.has_samples(job),
            queued_tasks=state.queued_tasks,
            queued_bytes=state.queued_bytes,
        )

    def get_member_slots(self, queue: fair_queue.FairQueue, member: str) -> float:
        """Return the number of slots that a member can expect to use at once.

        If keepers have reported that slots are scarce, this is the member's
        weight, which is its share, or its part of the slots held here if that is
        more. Otherwise it is its part of the slots held here, or of half of all
        slots if that is more.
        """
        state = self.state
        service = queue.service
        held_slots = state.holder.get_pool(service).held
        member_queue = queue.member_queues.get(member)
        is_active = member_queue is not None and (
            member_queue.running_slots or member_queue.get_backlog()
        )
        weight = state.get_standing(member)
        other_weight = queue.get_active_weight(state.clock.now_ms())
        if is_active:
            other_weight = max(0.0, other_weight - weight)
        fraction = weight / (weight + other_weight)
        if member_queue is not None and self.is_bounded(service):
            return max(member_queue.weight, held_slots * fraction)
        return max(held_slots, self.directory.get_total(service).slots / 2) * fraction

    def is_bounded(self, service: str) -> bool:
        """Return whether any keeper has limited slots because they are scarce."""
        allotments = [
            link.bounds.get(service) for link in self.state.holder.links.values()
        ]
        return any(
            allotment is not None and allotment.bounded for allotment in allotments
        )

    def begin_jobs_ahead(self, service: str) -> None:
        """Request the begin of as many jobs as slots are expected for soon."""
        state = self.state
        queue = state.queues.get(service)
        if queue is None or not queue.waiting:
            return
        pool = state.holder.get_pool(service)
        member_queues = queue.pop_changed(
            include_all=bool(pool.free_endpoints) or state.is_ticking
        )
        if not member_queues:
            return
        now_ms = state.clock.now_ms()
        expected = self.slot_requester.count_expected_slots(service, now_ms)
        ahead = max(MIN_AHEAD_TASKS, pool.held // AHEAD_DIVISOR)
        bound = expected + ahead
        for member_queue in member_queues:
            if member_queue.blocked_until_ms <= now_ms:
                self.begin_member_jobs(queue, member_queue, bound, now_ms)

    def begin_member_jobs(
        self,
        queue: fair_queue.FairQueue,
        member_queue: fair_queue.MemberQueue,
        bound: int,
        now_ms: int,
    ) -> None:
        """Request the begin of a member's next jobs, up to `bound` tasks."""
        state = self.state
        while (
            member_queue.waiting_tasks
            and member_queue.ready_tasks + member_queue.asked_tasks < bound
        ):
            run = queue.take_waiting(member_queue)
            if run is None:
                return
            reservation = state.limiter.reserve(run.job)
            if isinstance(reservation, parts.Wait):
                heapq.heappush(
                    member_queue.waiting,
                    (run.expected_finish_ms, queue.next_sequence(), run),
                )
                self.block_member_queue(member_queue, reservation.until_ms, now_ms)
                return
            if isinstance(reservation, outcomes.NotRun):
                state.end_job(run, reservation)
                continue
            run.apply_event("ask")
            queue.adjust_waiting(member_queue, -len(run.unstarted))
            member_queue.asked_tasks += len(run.unstarted)
            state.pending_effects.append(effects.RequestBegin(run.job.ticket))

    def block_member_queue(
        self, member_queue: fair_queue.MemberQueue, until_ms: int, now_ms: int
    ) -> None:
        """Delay a member's waiting jobs until its limits may allow them.

        The delay is at least one tick.
        """
        member_queue.blocked_until_ms = max(until_ms, now_ms + parts.TICK_MS)
        timer = state.Timer(state.TimerKind.MEMBER_QUEUE, member_queue=member_queue)
        self.state.timers.add(member_queue.blocked_until_ms, timer)

    def start_job(self, ticket: str) -> None:
        """Make the tasks of a begun job ready to start."""
        run = self.state.jobs.get(ticket)
        if run is None or not run.apply_event("begin"):
            return
        member_queue = run.member_queue
        member_queue.asked_tasks -= len(run.unstarted)
        member_queue.ready_tasks += len(run.unstarted)
        self.state.queues[member_queue.service].add_ready(run)
        self.state.changed_services.add(member_queue.service)

    def abandon(self, ticket: str) -> None:
        """Remove a job that was not begun, without reporting an outcome."""
        run = self.state.jobs.get(ticket)
        if run is not None and run.state in (job_run.WAITING, job_run.ASKED):
            self.state.end_job(run, None)
            self.state.changed_services.add(run.member_queue.service)

    def cancel(self, ticket: str) -> None:
        """Cancel a job and stop its running tasks."""
        run = self.state.jobs.get(ticket)
        if run is None or run.state == job_run.ENDED:
            return
        reason = reasons.Reason.CANCELLED
        self.state.end_job(run, get_early_outcome(run, reason))
        self.state.changed_services.add(run.member_queue.service)

    def stop(self) -> None:
        """End all jobs that are not begun as not run, and refuse new ones."""
        self.state.is_stopping = True
        outcome = outcomes.NotRun(reasons.Reason.STOPPING)
        for run in list(self.state.jobs.values()):
            if run.state in (job_run.WAITING, job_run.ASKED):
                self.state.end_job(run, outcome)


def build_deadline_timer(ticket: str) -> state.Timer:
    """Build the timer of a job's deadline."""
    return state.Timer(state.TimerKind.DEADLINE, ticket)


def get_early_outcome(run: job_run.JobRun, reason: reasons.Reason) -> outcomes.Outcome:
    """Return the outcome of a job that ends early.

    It is `NotRun` only if no task can have started, and `Failed` otherwise.
    """
    if run.possible_starts:
        return outcomes.Failed(reason)
    return outcomes.NotRun(reason)
