"""On which endpoint a task goes.

Load: tasks of 14 to 41 cores on endpoints of 32 to 96, two or three on each, whose
speeds differ by a factor of two and more. A job ends with its slowest task. So a task
takes the fastest endpoint with room, and of equally fast ones the one that it fills
best, which keeps room for wide tasks in one piece. A task that would be late on every
endpoint with room, and in time on a faster one, waits as long as that holds.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core.pool import endpoints, jobs, messages, queueing, resources

# Estimates are off by a factor of up to two; this much longer is planned for.
ESTIMATE_MARGIN = 1.25
# Two endpoints whose speeds differ by less count as equally fast.
SPEED_STEP = 0.2


class AvailableEndpoints:
    """The endpoints of one service that may take tasks now.

    Under a backlog most waiting tasks fit nowhere; `may_fit` tells so at once.
    """

    def __init__(
        self,
        open_endpoints: collections.abc.Iterable[endpoints.Endpoint],
        remote_factor: float = 1.0,
    ) -> None:
        self.endpoints = list(open_endpoints)
        self.remote_factor = remote_factor
        self.largest_cpu_millis = 0
        self.update_largest()

    def update_largest(self) -> None:
        """Note the largest room that is left."""
        self.largest_cpu_millis = max(
            (endpoint.free.cpu_millis for endpoint in self.endpoints), default=-1
        )

    def may_fit(self, task: jobs.Task) -> bool:
        """Say whether some endpoint has the processor room of a task."""
        return task.need.cpu_millis <= self.largest_cpu_millis

    def restrict(self, task: jobs.Task) -> AvailableEndpoints:
        """Return the endpoints that a task's step is to share.

        Rack-local tasks go to the rack where others of their step are, or else to the
        one with the most room if it holds the whole step. Tasks that fill keep to one
        half of the endpoints, so that those that serve find places without them.
        """
        if task.spec.is_filling:
            names = sorted(
                endpoint.announcement.endpoint for endpoint in self.endpoints
            )
            half = set(names[: (len(names) + 1) // 2])
            return self.filter_endpoints(
                lambda each: each.announcement.endpoint in half
            )
        if not task.spec.is_rack_local:
            return self
        rack = find_used_rack(task, self.endpoints)
        if not rack:
            rack = self.find_free_rack(task)
        return (
            self.filter_endpoints(lambda each: each.announcement.rack == rack)
            if rack
            else self
        )

    def filter_endpoints(
        self, is_wanted: collections.abc.Callable[[endpoints.Endpoint], bool]
    ) -> AvailableEndpoints:
        """Return some of the endpoints."""
        return AvailableEndpoints(
            (endpoint for endpoint in self.endpoints if is_wanted(endpoint)),
            self.remote_factor,
        )

    def find_free_rack(self, task: jobs.Task) -> str:
        """Return the rack with the most room if it holds a whole step, else none."""
        free: dict[str, int] = {}
        for endpoint in self.endpoints:
            rack = endpoint.announcement.rack
            free[rack] = free.get(rack, 0) + max(0, endpoint.free.cpu_millis)
        if not free:
            return ""
        best = max(free, key=lambda rack: (rack == task.spec.data_rack, free[rack]))
        is_enough = free[best] >= task.spec.count * task.need.cpu_millis
        return best if is_enough else ""


def find_used_rack(
    task: jobs.Task, known: collections.abc.Iterable[endpoints.Endpoint]
) -> str:
    """Return the rack on which other tasks of the same step run, or none."""
    for endpoint in known:
        if count_step_tasks(task, endpoint):
            return endpoint.announcement.rack
    return ""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint with room, and when a task would end there."""

    endpoint: endpoints.Endpoint
    ends_ms: float


def fits(task: jobs.Task, endpoint: endpoints.Endpoint) -> bool:
    """Say whether an endpoint may run a task now."""
    step = task.spec
    if not endpoint.free.covers(task.need):
        return False
    if (step.is_filling or step.target_ms) and would_interfere(task, endpoint):
        return False
    if step.required_label and step.required_label not in endpoint.announcement.labels:
        return False
    if (
        step.max_per_endpoint
        and count_step_tasks(task, endpoint) >= step.max_per_endpoint
    ):
        return False
    if task.failures and endpoint.announcement.endpoint in task.failed_endpoints:
        return False
    is_last_attempt = task.failures + 1 >= task.job.terms.max_attempts
    return not (is_last_attempt and task.failures and endpoint.health.faults)


def would_interfere(task: jobs.Task, endpoint: endpoints.Endpoint) -> bool:
    """Say whether tasks that fill and tasks that serve would share an endpoint.

    Filling tasks share what room is left, so they also bound each other.
    """
    filling_millis = task.spec.cpu_millis if task.spec.is_filling else 0
    for attempt in endpoint.attempts.values():
        if attempt.owner is None:
            continue
        other = attempt.owner.spec
        if other.is_filling and task.spec.target_ms:
            return True
        if other.target_ms and task.spec.is_filling:
            return True
        filling_millis += other.cpu_millis if other.is_filling else 0
    return filling_millis > endpoint.free.cpu_millis


def count_step_tasks(task: jobs.Task, endpoint: endpoints.Endpoint) -> int:
    """Return how many tasks of the same step are on an endpoint."""
    return sum(
        attempt.owner is not None
        and attempt.owner.job is task.job
        and attempt.owner.step == task.step
        for attempt in endpoint.attempts.values()
    )


def could_ever_fit(
    step: messages.SubmittedStep, known: collections.abc.Iterable[endpoints.Endpoint]
) -> bool:
    """Say whether some endpoint is large enough for a task, and of the right kind."""
    return any(
        endpoint.capacity.covers(resources.get_need(step))
        and (
            not step.required_label
            or step.required_label in endpoint.announcement.labels
        )
        for endpoint in known
    )


def choose_endpoint(
    task: jobs.Task,
    available: AvailableEndpoints,
    now_ms: int,
    best_speed: float,
) -> endpoints.Endpoint | None:
    """Return the endpoint to start a task on, or none to let it wait."""
    planned_ms = task.spec.estimate_ms * ESTIMATE_MARGIN
    factor = available.remote_factor
    due_ms = task.job.due_ms - queueing.TRANSIT_MS
    in_time: list[Candidate] = []
    late: list[Candidate] = []
    for endpoint in available.endpoints:
        if not fits(task, endpoint):
            continue
        here_ms = ESTIMATE_MARGIN * endpoint.get_estimate_ms(task.spec, factor)
        ends_ms = now_ms + endpoint.speed.get_run_ms(here_ms)
        (in_time if ends_ms <= due_ms else late).append(Candidate(endpoint, ends_ms))
    if task.spec.is_lasting:
        # These end when their job is cancelled: nothing is gained by waiting.
        fitting = in_time + late
        return min(fitting, key=get_preference).endpoint if fitting else None
    if in_time:
        return min(in_time, key=get_preference).endpoint
    if not late:
        return None
    best = min(late, key=lambda candidate: candidate.ends_ms)
    if best.ends_ms > due_ms >= now_ms + planned_ms / best_speed:
        return None
    return best.endpoint


def get_preference(candidate: Candidate) -> tuple[int, int]:
    """Return what orders endpoints that are in time: fast first, then full."""
    endpoint = candidate.endpoint
    speed = round(endpoint.speed.value / SPEED_STEP)
    return -speed, endpoint.free.cpu_millis
