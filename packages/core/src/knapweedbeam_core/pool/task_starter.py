"""Starts the waiting tasks that fit and refuses jobs that are too late."""

from __future__ import annotations

import typing

from knapweedbeam_core import reasons
from knapweedbeam_core.pool import (
    calls,
    crashes,
    endpoints,
    jobs,
    placement_order,
    placing,
    queueing,
    recovery_steps,
    reservations,
    room_keeper,
    run_reports,
    service_means,
    start_budget,
)

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher


# With this many waiting jobs, placements that follow each other more closely would take
# much of the processor's time.
LONG_QUEUE = 50
LONG_QUEUE_PAUSE_MS = 5


class TaskStarter:
    """Starts the waiting tasks of one dispatcher."""

    def __init__(self, owner: dispatcher.Dispatcher) -> None:
        self.owner = owner
        self.orders: dict[str, placement_order.PlacementOrder] = {}
        self.services: dict[str, str] = {}
        self.budget = start_budget.StartBudget()
        self.start_window = self.budget.window
        self.means = service_means.ServiceMeans()
        self.reservations = reservations.ServiceReservations()
        self.room = room_keeper.RoomKeeper(owner.iterate_service, self.is_room_scarce)
        self.placed_ms = 0
        self.queue_length = 0

    @property
    def waiting_ms(self) -> int:
        """Return the time by which calls and their answers are timed."""
        return self.owner.waiting_clock.now_ms()

    def get_pause_ms(self) -> int:
        """Return how long the next placement should wait."""
        if self.queue_length < LONG_QUEUE:
            return 0
        passed_ms = self.owner.clock.now_ms() - self.placed_ms
        return max(0, LONG_QUEUE_PAUSE_MS - passed_ms)

    def place(self) -> dispatcher.Effects:
        """Start the tasks that fit, service by service and in order of urgency."""
        now_ms = self.owner.clock.now_ms()
        by_service: dict[str, list[jobs.Job]] = {}
        for key, job in list(self.owner.queue.items()):
            if not job.waiting or self.owner.jobs.get(key) is not job:
                del self.owner.queue[key]
            elif not job.orphaned_ms:
                by_service.setdefault(job.terms.service, []).append(job)
        self.placed_ms = now_ms
        self.queue_length = sum(len(queued) for queued in by_service.values())
        self.update_orders()
        produced: dispatcher.Effects = []
        for service, queued in by_service.items():
            produced += self.place_service(service, queued, now_ms)
        return produced

    def update_orders(self) -> None:
        """Move the endpoints that changed to their new places."""
        changed = self.owner.endpoint_index.changed
        for name in changed:
            endpoint = self.owner.endpoints.get(name)
            service = endpoint.announcement.service if endpoint is not None else ""
            previous = self.services.get(name, service)
            if previous != service:
                self.orders[previous].remove(name)
            if endpoint is None:
                self.services.pop(name, None)
                continue
            self.services[name] = service
            order = self.orders.setdefault(service, placement_order.PlacementOrder())
            is_cold = endpoint.announcement.cold_ms > 0
            order.update(name, endpoint.speed.value, endpoint.free.cpu_millis, is_cold)
        changed.clear()

    def is_room_scarce(self, service: str) -> bool:
        """Return whether the rules for scarce room are in force for a service."""
        mean_millis = self.means.get_mean_millis(service)
        return self.owner.task_sizes.is_room_scarce(service, mean_millis)

    def get_reservations(
        self, service: str, now_ms: int
    ) -> reservations.Reservations | None:
        """Return what is held for a service, or None where nothing is held."""
        holds_room = self.owner.task_sizes.policy.holds_room
        if not holds_room or not self.is_room_scarce(service):
            return None
        return self.reservations.begin(service, now_ms)

    def place_service(
        self, service: str, queued: list[jobs.Job], now_ms: int
    ) -> dispatcher.Effects:
        """Start the tasks that fit on the endpoints of one service.

        Jobs that are too late and were never started are refused.
        """
        best_speed = self.means.get_best_speed(
            service, self.owner.iterate_service, now_ms
        )
        shortage = self.room.find(service)
        sort_jobs = queueing.sort_jobs if shortage is None else shortage.sort_jobs
        ordered = sort_jobs(queued, now_ms, best_speed)
        available = placing.AvailableEndpoints(
            self.orders.setdefault(service, placement_order.PlacementOrder()),
            self.owner.endpoints,
            now_ms,
            self.owner.bounds.remote_factor,
            held=self.get_reservations(service, now_ms),
        )
        too_late: list[jobs.Job] = []
        beyond: list[jobs.Job] = []
        ahead = len(self.start_window.open)
        kept: list[jobs.Job] = []
        produced: dispatcher.Effects = []
        for number, job in enumerate(ordered):
            job.place_number = number
            if job.question_ms or self.owner.takeover.may_run_elsewhere(job):
                continue
            is_refusable = not job.was_started and not job.is_stored
            if is_refusable and queueing.is_too_late(job, now_ms, best_speed):
                too_late.append(job)
                continue
            if is_refusable and self.budget.is_beyond(job, ahead, now_ms, best_speed):
                beyond.append(job)
                continue
            ahead += len(job.waiting)
            kept.append(job)
            if not self.start_window.count_free(self.waiting_ms):
                self.start_window.hold_back()
                continue
            produced += self.place_job(job, available, now_ms, best_speed)
            if not job.waiting:
                self.owner.queue.pop(job.key, None)
            elif available.held is not None:
                available.held.reserve(job, available.iterate(0), now_ms)
        produced += self.refuse_beyond(beyond, ahead, now_ms)
        if shortage is None:
            return produced + self.refuse_late_jobs(too_late, queued, service)
        for job in (*too_late, *beyond):
            shortage.shares.record_refusal(job, now_ms)
        waiting = [job for job in kept if job.waiting]
        too_late += self.room.choose_refusals(service, waiting, now_ms, best_speed)
        for job, return_ms in self.room.build_refusals(service, too_late, now_ms):
            produced += self.refuse(job, reasons.Reason.DEADLINE, return_ms)
        return produced

    def refuse_beyond(
        self, beyond: list[jobs.Job], ahead: int, now_ms: int
    ) -> dispatcher.Effects:
        """Refuse jobs that the processor starts too late after `ahead` other tasks."""
        produced: dispatcher.Effects = []
        for job in beyond:
            retry_ms = self.budget.get_retry_after_ms(job.job_id, ahead, now_ms)
            produced += self.refuse(job, reasons.Reason.OVERLOADED, retry_ms)
        return produced

    def refuse_late_jobs(
        self, too_late: list[jobs.Job], queued: list[jobs.Job], service: str
    ) -> dispatcher.Effects:
        """Refuse jobs that cannot end in time to be of use."""
        if not too_late:
            return []
        backlog_ms = queueing.get_backlog_ms(queued, self.room.list_held(service))
        produced: dispatcher.Effects = []
        for job in too_late:
            produced += self.refuse(job, reasons.Reason.DEADLINE, backlog_ms)
        return produced

    def place_job(
        self,
        job: jobs.Job,
        available: placing.AvailableEndpoints,
        now_ms: int,
        best_speed: float,
    ) -> dispatcher.Effects:
        """Start the tasks of a job that fit, and request advice where it is missing."""
        produced: dispatcher.Effects = []
        starts: list[calls.Start] = []
        blocked_steps: set[int] = set()
        for task in list(job.waiting):
            if not self.start_window.count_free(self.waiting_ms):
                break
            if task.step in blocked_steps or not available.may_fit(task):
                continue
            if not task.history.may_start(job.is_lasting):
                continue
            if job.is_stored and not self.owner.stored_scheduler.may_start(task):
                continue
            suitable = available.restrict(task)
            allowed = self.owner.advice_cache.restrict(task, suitable, now_ms)
            if task.spec.is_gang:
                blocked_steps.add(task.step)
                started = self.start_gang(task, allowed, now_ms, best_speed)
                produced += started
                if not started:
                    produced += self.owner.advice_cache.request(task, suitable, now_ms)
                starts += started
                continue
            endpoint = placing.choose_endpoint(task, allowed, now_ms, best_speed)
            if endpoint is not None:
                if available.held is not None:
                    available.held.record_start(task, endpoint)
                starts.append(self.start(task, endpoint, now_ms))
                produced.append(starts[-1])
                continue
            produced += self.owner.advice_cache.request(task, suitable, now_ms)
            if not task.failures:
                blocked_steps.add(task.step)
        if starts:
            produced += self.owner.recovery_steps.record(
                recovery_steps.Step.FIRST_TASK_STARTED, now_ms
            )
            produced.append(run_reports.build_placed(self.owner, job, starts, now_ms))
        return produced

    def start_gang(
        self,
        task: jobs.Task,
        allowed: placing.AvailableEndpoints,
        now_ms: int,
        best_speed: float,
    ) -> list[calls.Start]:
        """Start all tasks of a gang with one attempt number, or none of them."""
        members = task.job.get_gang(task)
        if any(member.state != jobs.TaskState.WAITING for member in members):
            return []
        if not all(self.owner.stored_scheduler.may_start(member) for member in members):
            return []
        is_lasting = task.job.is_lasting
        if not all(member.history.may_start(is_lasting) for member in members):
            return []
        last_attempt = max(member.last_attempt for member in members)
        was_started = task.job.was_started
        started: list[tuple[jobs.Task, endpoints.Endpoint, calls.Start]] = []
        for member in members:
            chosen_endpoint = placing.choose_endpoint(
                member, allowed, now_ms, best_speed
            )
            if chosen_endpoint is None:
                for other, endpoint, _ in started:
                    self.revert_start(other, endpoint, last_attempt)
                task.job.was_started = was_started
                return []
            member.last_attempt = last_attempt
            started.append(
                (member, chosen_endpoint, self.start(member, chosen_endpoint, now_ms))
            )
        return [start for _, _, start in started]

    def revert_start(
        self, task: jobs.Task, endpoint: endpoints.Endpoint, last_attempt: int
    ) -> None:
        """Revert a start that was not sent."""
        attempt = endpoint.attempts[task.name]
        self.start_window.remove(attempt.task, attempt.number)
        endpoint.remove(attempt)
        self.update_orders()
        task.last_attempt = last_attempt
        task.job.requeue(task)

    def refuse(
        self, job: jobs.Job, reason: reasons.Reason, backlog_ms: float
    ) -> dispatcher.Effects:
        """Refuse a job none of whose tasks was started.

        `backlog_ms` is how long the endpoints take for all waiting work.
        """
        return self.owner.end_job(job, queueing.build_refusal(job, reason, backlog_ms))

    def start(
        self, task: jobs.Task, endpoint: endpoints.Endpoint, now_ms: int
    ) -> calls.Start:
        """Return the call that starts a task, and assign its resources.

        The endpoint refuses the start after `until_ms` on its own clock.
        """
        job = task.job
        if not job.was_started:
            self.owner.load_report.record_first_start(job, now_ms)
            self.room.get(job.terms.service).shares.record_first_start(job)
        job.was_started = True
        job.waiting.remove(task)
        task.state = jobs.TaskState.PLACED
        task.last_attempt = max(task.last_attempt, job.attempt_base) + 1
        assert endpoint.reading is not None
        until_ms = endpoint.reading.get_latest_ms(now_ms) + self.owner.bounds.lease_ms
        endpoint.lease_until_ms = max(endpoint.lease_until_ms, until_ms)
        if placing.is_isolated(task):
            endpoint.isolated_until_ms = now_ms + crashes.EARLY_MS
        endpoint.add(
            endpoints.Attempt(
                task.name,
                task.last_attempt,
                task,
                task.need,
                endpoints.AttemptState.STARTING,
                now_ms,
                until_ms,
                is_suspect=placing.is_isolated(task),
            )
        )
        self.start_window.add(task.name, task.last_attempt, self.waiting_ms)
        self.update_orders()
        return calls.Start(
            endpoint.target,
            task.name,
            task.last_attempt,
            job.spec,
            until_ms,
            self.owner.fence,
            task.progress,
            self.owner.advice_cache.find_ticket(task, endpoint, now_ms),
        )
