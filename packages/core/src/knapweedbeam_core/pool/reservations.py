"""Holds room for the last tasks of jobs that fit nowhere now.

Load: tasks of a third to three quarters of an endpoint while the service is full. Tasks
of less than half of an endpoint fit into nearly every gap, so that wider ones wait
behind them for seconds; and a job is worth nothing until its last task ends.

Where one or two tasks of a job fit nowhere, the room where each would end soonest is
held, if the whole job can then be in time. Another task may use that endpoint only if
its job is more urgent, if it ends before, or if there is enough room for both. What is
held is chosen anew every `REVIEW_MS`, so a wrong estimate or a lost endpoint costs one
interval. Nothing is held for stored jobs, jobs of several steps, and lasting, filling,
suspect or restricted tasks; the last three do not heed what is held.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import itertools

from knapweedbeam_core import clock
from knapweedbeam_core.pool import endpoints, jobs, log_events, queueing, speeds

REVIEW_MS = 5
REPORT_INTERVAL_MS = clock.SECOND_MS
# A job with more waiting tasks than this isn't about to end.
MAX_LAST_TASKS = 2
# These bound the cost of a review, and the room that is held.
MAX_RESERVATIONS = 8
MAX_SEARCHES = 4
MAX_ENDPOINTS = 24
MAX_WAIT_MS = 400

# When an endpoint is expected to have this much free processor capacity.
Step = tuple[float, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Room that is held on an endpoint for a task that will start at `at_ms`.

    `spare_millis` is the processor capacity that is then left beside it.
    """

    task: jobs.Task
    endpoint: endpoints.Endpoint
    at_ms: float
    spare_millis: int


@dataclasses.dataclass(slots=True)
class Counts:
    """What became of reservations since the last report.

    Room was held for `made` tasks, of which `used` started there. It was `missed` when
    not free at the expected time, and `held_back` counts refusals of it to others.
    """

    made: int = 0
    used: int = 0
    missed: int = 0
    held_back: int = 0


def is_plain(task: jobs.Task) -> bool:
    """Return whether any endpoint with enough room may run a task."""
    step = task.spec
    return not (
        step.is_gang
        or step.is_lasting
        or step.is_filling
        or step.is_rack_local
        or step.required_label
        or step.data_rack
        or step.max_per_endpoint
        or step.target_ms
        or task.job.terms.advice_valid_ms
        or task.failures
        or task.left_endpoint
        or task.history.is_suspect
    )


def forecast(endpoint: endpoints.Endpoint, now_ms: int) -> list[Step]:
    """Return when an endpoint is expected to have how much free processor capacity.

    An attempt whose task is unknown frees nothing.
    """
    margin = speeds.ESTIMATE_MARGIN
    ends: list[Step] = []
    for attempt in endpoint.attempts.values():
        if attempt.owner is not None:
            estimate_ms = margin * attempt.owner.spec.estimate_ms
            ends_ms = attempt.sent_ms + endpoint.speed.get_run_ms(estimate_ms)
            ends.append((ends_ms, attempt.need.cpu_millis))
    free = endpoint.free.cpu_millis
    steps: list[Step] = [(now_ms, free)]
    for ends_ms, cpu_millis in sorted(ends):
        free += cpu_millis
        steps.append((max(now_ms, ends_ms), free))
    return steps


class Reservations:
    """What is held on the endpoints of one service."""

    def __init__(self) -> None:
        self.by_endpoint: dict[str, Reservation] = {}
        self.forecasts: list[tuple[endpoints.Endpoint, list[Step]]] | None = None
        self.former_tasks: set[str] = set()
        self.searches_left = 0
        self.reviewed_ms = 0
        self.is_reviewing = False
        self.counts = Counts()

    def begin(self, now_ms: int) -> None:
        """Begin a placement; if a review is due, drop what is held."""
        self.is_reviewing = now_ms - self.reviewed_ms >= REVIEW_MS
        if not self.is_reviewing:
            return
        self.reviewed_ms = now_ms
        former = self.by_endpoint.values()
        self.former_tasks = {held.task.name for held in former}
        self.counts.missed += sum(
            held.at_ms < now_ms and held.task.state == jobs.TaskState.WAITING
            for held in former
        )
        self.by_endpoint.clear()
        self.forecasts = None
        self.searches_left = MAX_SEARCHES

    def is_held_from(
        self, task: jobs.Task, endpoint: endpoints.Endpoint, ends_ms: float
    ) -> bool:
        """Return whether an endpoint's room is held for another, more urgent task.

        `ends_ms` is when this task would end there.
        """
        held = self.by_endpoint.get(endpoint.announcement.endpoint)
        if held is None or held.endpoint is not endpoint or held.task is task:
            return False
        if held.task.state != jobs.TaskState.WAITING or not is_plain(task):
            return False
        if ends_ms <= held.at_ms or task.need.cpu_millis <= held.spare_millis:
            return False
        is_late = ends_ms > task.job.due_ms
        if not is_late and task.job.place_number < held.task.job.place_number:
            return False
        self.counts.held_back += 1
        return True

    def record_start(self, task: jobs.Task, endpoint: endpoints.Endpoint) -> None:
        """Release what was held for a task that starts."""
        name = endpoint.announcement.endpoint
        held = self.by_endpoint.get(name)
        if held is not None and held.task is task:
            self.counts.used += 1
            del self.by_endpoint[name]

    def reserve(
        self,
        job: jobs.Job,
        available: collections.abc.Iterable[endpoints.Endpoint],
        now_ms: int,
    ) -> None:
        """Hold room for all waiting tasks of a job that is about to end, or for none.

        Jobs must come in the order in which they are placed, and `available` endpoints
        in the order in which tasks prefer them.
        """
        count = len(job.waiting)
        if job.is_stored or len(job.steps) > 1:
            return
        if not self.is_reviewing or count > min(MAX_LAST_TASKS, self.searches_left):
            return
        if len(self.by_endpoint) + count > MAX_RESERVATIONS:
            return
        if not all(is_plain(task) for task in job.waiting):
            return
        if self.forecasts is None:
            preferred = itertools.islice(available, MAX_ENDPOINTS)
            self.forecasts = [(each, forecast(each, now_ms)) for each in preferred]
        made: list[Reservation] = []
        for task in job.waiting:
            found = self.find(task, now_ms)
            if found is None:
                for each in made:
                    del self.by_endpoint[each.endpoint.announcement.endpoint]
                return
            made.append(found)
            self.by_endpoint[found.endpoint.announcement.endpoint] = found
        self.counts.made += sum(
            each.task.name not in self.former_tasks for each in made
        )

    def find(self, task: jobs.Task, now_ms: int) -> Reservation | None:
        """Return the room where a task would end soonest, None if that is too late."""
        self.searches_left -= 1
        assert self.forecasts is not None
        run_ms = speeds.ESTIMATE_MARGIN * task.spec.estimate_ms
        best_ms: float = task.job.due_ms - queueing.TRANSIT_MS
        best: Reservation | None = None
        for endpoint, steps in self.forecasts:
            if endpoint.announcement.endpoint in self.by_endpoint:
                continue
            if not endpoint.capacity.covers(task.need):
                continue
            # Where there is room now, something other than processor capacity is short.
            if endpoint.free.cpu_millis >= task.need.cpu_millis:
                continue
            for at_ms, free_millis in steps:
                if free_millis < task.need.cpu_millis:
                    continue
                ends_ms = at_ms + endpoint.speed.get_run_ms(run_ms)
                if ends_ms <= best_ms and at_ms - now_ms <= MAX_WAIT_MS:
                    spare = free_millis - task.need.cpu_millis
                    best = Reservation(task, endpoint, at_ms, spare)
                    best_ms = ends_ms
                break
        return best


class ServiceReservations:
    """What is held for each service, and the reports about it."""

    def __init__(self) -> None:
        self.by_service: dict[str, Reservations] = {}
        self.due_ms = 0

    def begin(self, service: str, now_ms: int) -> Reservations:
        """Return what is held for a service whose tasks are placed now."""
        held = self.by_service.setdefault(service, Reservations())
        held.begin(now_ms)
        return held

    def clear(self) -> None:
        """Hold nothing, as another dispatcher may have taken over."""
        self.by_service.clear()

    def build(self, now_ms: int) -> list[log_events.RoomHeld]:
        """Return a report on each service, at most one a second, and start new ones."""
        if now_ms < self.due_ms:
            return []
        self.due_ms = now_ms + REPORT_INTERVAL_MS
        reports = [
            log_events.RoomHeld(service, **dataclasses.asdict(held.counts))
            for service, held in self.by_service.items()
            if held.counts != Counts()
        ]
        for held in self.by_service.values():
            held.counts = Counts()
        return reports
