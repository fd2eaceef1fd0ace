"""Starts the waiting tasks that fit and refuses jobs that are too late."""

from __future__ import annotations

import typing

from knapweedbeam_core import reasons
from knapweedbeam_core.pool import (
    calls,
    endpoints,
    jobs,
    log_events,
    placing,
    queueing,
    recovery_steps,
)

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher


class TaskStarter:
    """Starts the waiting tasks of one dispatcher."""

    def __init__(self, owner: dispatcher.Dispatcher) -> None:
        self.owner = owner

    def place(self) -> dispatcher.Effects:
        """Start the tasks that fit, service by service and in order of urgency."""
        now_ms = self.owner.clock.now_ms()
        by_service: dict[str, list[jobs.Job]] = {}
        for job in self.owner.jobs.values():
            if job.waiting and not job.orphaned_ms:
                by_service.setdefault(job.terms.service, []).append(job)
        produced: dispatcher.Effects = []
        for service, queued in by_service.items():
            produced += self.place_service(service, queued, now_ms)
        return produced

    def place_service(
        self, service: str, queued: list[jobs.Job], now_ms: int
    ) -> dispatcher.Effects:
        """Start the tasks that fit on the endpoints of one service.

        Jobs that are too late and were never started are refused.
        """
        service_endpoints = [
            endpoint
            for endpoint in self.owner.endpoints.values()
            if endpoint.announcement.service == service
        ]
        held_endpoints = [
            endpoint for endpoint in service_endpoints if endpoint.is_held
        ]
        best_speed = max(
            (endpoint.speed.value for endpoint in held_endpoints), default=1.0
        )
        holds_all = self.owner.holds_all_endpoints(service)
        available = placing.AvailableEndpoints(
            (endpoint for endpoint in held_endpoints if endpoint.is_available(now_ms)),
            self.owner.bounds.remote_factor,
        )
        produced: dispatcher.Effects = []
        for job in queueing.sort_jobs(queued, now_ms, best_speed):
            if now_ms < job.not_before_ms and not holds_all:
                continue
            is_refusable = not job.was_started and not job.is_stored
            if is_refusable and queueing.is_too_late(job, now_ms, best_speed):
                backlog_ms = queueing.get_backlog_ms(queued, held_endpoints)
                produced += self.refuse(job, reasons.Reason.DEADLINE, backlog_ms)
                continue
            produced += self.place_job(job, available, now_ms, best_speed)
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
        used_endpoints: list[str] = []
        blocked_steps: set[int] = set()
        for task in list(job.waiting):
            if task.step in blocked_steps or not available.may_fit(task):
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
                used_endpoints += [start.target.endpoint for start in started]
                available.update_largest()
                continue
            endpoint = placing.choose_endpoint(task, allowed, now_ms, best_speed)
            if endpoint is not None:
                produced.append(self.start(task, endpoint, now_ms))
                used_endpoints.append(endpoint.announcement.endpoint)
                available.update_largest()
                continue
            produced += self.owner.advice_cache.request(task, suitable, now_ms)
            if not task.failures:
                blocked_steps.add(task.step)
        if used_endpoints:
            produced += self.owner.recovery_steps.record(
                recovery_steps.Step.FIRST_TASK_STARTED, now_ms
            )
            produced.append(self.build_log_event(job, used_endpoints, now_ms))
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
        endpoint.remove(endpoint.attempts[task.name])
        task.last_attempt = last_attempt
        task.job.requeue(task)

    def build_log_event(
        self, job: jobs.Job, used_endpoints: list[str], now_ms: int
    ) -> log_events.TasksPlaced:
        """Return the log event for tasks that were just started."""
        return log_events.TasksPlaced(
            job.job_id,
            " ".join(used_endpoints),
            len(job.waiting),
            now_ms - job.born_ms,
            job.due_ms - now_ms,
        )

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
        job.was_started = True
        job.waiting.remove(task)
        task.state = jobs.TaskState.PLACED
        task.last_attempt = max(task.last_attempt, job.attempt_base) + 1
        assert endpoint.reading is not None
        until_ms = endpoint.reading.get_latest_ms(now_ms) + self.owner.bounds.lease_ms
        endpoint.lease_until_ms = max(endpoint.lease_until_ms, until_ms)
        endpoint.add(
            endpoints.Attempt(
                task.name,
                task.last_attempt,
                task,
                task.need,
                endpoints.AttemptState.STARTING,
                now_ms,
                until_ms,
            )
        )
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
