"""Starts the waiting tasks that fit and refuses jobs that are too late."""

from __future__ import annotations

import dataclasses
import typing

from knapweedbeam_core import reasons
from knapweedbeam_core.pool import (
    calls,
    crashes,
    endpoints,
    jobs,
    log_events,
    placement_order,
    placing,
    queueing,
    recovery_steps,
    room_forecast,
    room_shortage,
    run_reports,
    start_window,
)

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher


# With this many waiting jobs, placements that follow each other more closely would take
# much of the processor's time.
LONG_QUEUE = 50
LONG_QUEUE_PAUSE_MS = 5
# The speed of the fastest endpoint changes slowly.
BEST_SPEED_INTERVAL_MS = 20


@dataclasses.dataclass(slots=True)
class BestSpeed:
    """The speed of the fastest held endpoint of a service, and when it was found.

    `shortage` is set while room is scarce there.
    """

    value: float
    found_ms: int
    shortage: room_shortage.RoomShortage | None = None


class TaskStarter:
    """Starts the waiting tasks of one dispatcher."""

    def __init__(self, owner: dispatcher.Dispatcher) -> None:
        self.owner = owner
        self.orders: dict[str, placement_order.PlacementOrder] = {}
        self.services: dict[str, str] = {}
        self.best_speeds: dict[str, BestSpeed] = {}
        self.shortages: dict[str, room_shortage.RoomShortage] = {}
        self.start_window = start_window.StartWindow()
        self.placed_ms = 0
        self.queue_length = 0

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
            order.update(name, endpoint.speed.value, endpoint.free.cpu_millis)
        changed.clear()

    def get_best_speed(self, service: str, now_ms: int) -> float:
        """Return the speed of the fastest held endpoint of a service."""
        best = self.best_speeds.get(service)
        if best is not None and now_ms - best.found_ms < BEST_SPEED_INTERVAL_MS:
            return best.value
        held = self.list_held(service)
        value = max((endpoint.speed.value for endpoint in held), default=1.0)
        total_millis = sum(endpoint.capacity.cpu_millis for endpoint in held)
        mean_millis = total_millis / max(1, len(held))
        is_scarce = self.owner.task_sizes.is_room_scarce(service, mean_millis)
        shortage = self.get_shortage(service) if is_scarce else None
        self.best_speeds[service] = BestSpeed(value, now_ms, shortage)
        return value

    def list_held(self, service: str) -> list[endpoints.Endpoint]:
        """Return the held endpoints of a service."""
        return [
            endpoint
            for endpoint in self.owner.iterate_service(service)
            if endpoint.is_held
        ]

    def get_shortage(self, service: str) -> room_shortage.RoomShortage:
        """Return who gets how much of the room of a service."""
        return self.shortages.setdefault(service, room_shortage.RoomShortage())

    def record_arrival(self, job: jobs.Job) -> None:
        """Count the work of a job that arrived."""
        shortage = self.get_shortage(job.terms.service)
        shortage.shares.record_arrival(job, job.arrived_ms)

    def build_room_reports(self, now_ms: int) -> list[log_events.RoomShared]:
        """Return the reports of the services that are short of room, if due."""
        return [
            report
            for service, shortage in self.shortages.items()
            for report in shortage.shares.build_report(
                service, now_ms, shortage.is_short(now_ms)
            )
        ]

    def place_service(
        self, service: str, queued: list[jobs.Job], now_ms: int
    ) -> dispatcher.Effects:
        """Start the tasks that fit on the endpoints of one service.

        Jobs that are too late and were never started are refused.
        """
        best_speed = self.get_best_speed(service, now_ms)
        shortage = self.best_speeds[service].shortage
        sort_jobs = queueing.sort_jobs if shortage is None else shortage.sort_jobs
        ordered = sort_jobs(queued, now_ms, best_speed)
        available = placing.AvailableEndpoints(
            self.orders.setdefault(service, placement_order.PlacementOrder()),
            self.owner.endpoints,
            now_ms,
            self.owner.bounds.remote_factor,
        )
        too_late: list[jobs.Job] = []
        kept: list[jobs.Job] = []
        produced: dispatcher.Effects = []
        for job in ordered:
            if job.question_ms or self.owner.takeover.may_run_elsewhere(job):
                continue
            is_refusable = not job.was_started and not job.is_stored
            if is_refusable and queueing.is_too_late(job, now_ms, best_speed):
                too_late.append(job)
                continue
            kept.append(job)
            if not self.start_window.count_free(now_ms):
                self.start_window.jobs_held_back += 1
                continue
            produced += self.place_job(job, available, now_ms, best_speed)
            if not job.waiting:
                self.owner.queue.pop(job.key, None)
        if shortage is None:
            return produced + self.refuse_late_jobs(too_late, queued, service)
        for job in too_late:
            shortage.shares.record_refusal(job, now_ms)
        waiting = [job for job in kept if job.waiting]
        too_late += self.choose_refusals(shortage, waiting, service, now_ms)
        return produced + self.refuse_for_room(shortage, too_late, service, now_ms)

    def choose_refusals(
        self,
        shortage: room_shortage.RoomShortage,
        waiting: list[jobs.Job],
        service: str,
        now_ms: int,
    ) -> list[jobs.Job]:
        """Return the jobs to refuse for the others to start in time.

        None until most endpoints are held: a successor does not know how much room
        there is.
        """
        if not waiting or now_ms < shortage.forecast_due_ms:
            return []
        held = self.list_held(service)
        if 2 * len(held) <= sum(1 for _ in self.owner.iterate_service(service)):
            return []
        speed = sum(endpoint.speed.value for endpoint in held) / len(held)
        need_millis = min(job.waiting[0].need.cpu_millis for job in waiting)
        releases = room_forecast.list_releases(held, now_ms, need_millis)
        forecast = room_forecast.RoomForecast(now_ms, releases, speed)
        best_speed = self.best_speeds[service].value
        return shortage.choose_refusals(waiting, forecast, now_ms, best_speed)

    def refuse_for_room(
        self,
        shortage: room_shortage.RoomShortage,
        chosen: list[jobs.Job],
        service: str,
        now_ms: int,
    ) -> dispatcher.Effects:
        """Refuse jobs, each with a time to return of its own."""
        if not chosen:
            return []
        room_millis = sum(
            endpoint.capacity.cpu_millis * endpoint.speed.value
            for endpoint in self.list_held(service)
        )
        produced: dispatcher.Effects = []
        for job in chosen:
            return_ms = shortage.get_return_ms(job, now_ms, room_millis)
            produced += self.refuse(job, reasons.Reason.DEADLINE, return_ms)
        return produced

    def refuse_late_jobs(
        self, too_late: list[jobs.Job], queued: list[jobs.Job], service: str
    ) -> dispatcher.Effects:
        """Refuse jobs that cannot end in time to be of use."""
        if not too_late:
            return []
        backlog_ms = queueing.get_backlog_ms(queued, self.list_held(service))
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
            if not self.start_window.count_free(now_ms):
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
            self.get_shortage(job.terms.service).shares.record_first_start(job)
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
        self.start_window.add(task.name, task.last_attempt, now_ms)
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
