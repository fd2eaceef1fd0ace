"""Chooses the endpoint that a task is placed on.

Expected load: tasks of 14 to 41 cores on endpoints of 32 to 96 cores, two or three on
each, whose speeds differ by a factor of two or more. A job ends with its slowest task,
so a task is placed on the fastest endpoint that it fits on, and among equally fast ones
on the one with the least free processor capacity (best fit), which avoids fragmentation
and leaves space for wide tasks. A task that would be late on every endpoint that it
fits on, but in time on a faster one, waits while that holds.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import math

from knapweedbeam_core.pool import (
    crashes,
    endpoints,
    jobs,
    messages,
    placement_order,
    queueing,
    reservations,
    resources,
    speeds,
)

# A failed task waits this long for another endpoint than those that seem at fault, half
# of the time that a job with free capacity may have nothing running.
AVOID_MS = 1_500


class AvailableEndpoints:
    """The endpoints of one service that may take tasks now, in order of preference.

    With a backlog most waiting tasks fit nowhere; `may_fit` is a fast check for that.
    """

    def __init__(
        self,
        order: placement_order.PlacementOrder,
        known: collections.abc.Mapping[str, endpoints.Endpoint],
        now_ms: int,
        remote_factor: float = 1.0,
        names: collections.abc.Set[str] | None = None,
        held: reservations.Reservations | None = None,
    ) -> None:
        self.order = order
        self.known = known
        self.now_ms = now_ms
        self.remote_factor = remote_factor
        self.names = names
        self.held = held
        # No endpoint has more free processor capacity.
        self.largest_cpu_millis: float = math.inf

    def list_endpoints(self) -> list[endpoints.Endpoint]:
        """Return all endpoints that may take tasks."""
        return list(self.iterate(-math.inf))

    def iterate(
        self, cpu_millis: float
    ) -> collections.abc.Iterator[endpoints.Endpoint]:
        """Return the endpoints with at least this much free processor capacity."""
        for name in self.order.iterate(cpu_millis):
            if self.names is not None and name not in self.names:
                continue
            endpoint = self.known[name]
            if endpoint.is_available(self.now_ms):
                yield endpoint

    def may_fit(self, task: jobs.Task) -> bool:
        """Return whether some endpoint may have enough free processor capacity."""
        return task.need.cpu_millis <= self.largest_cpu_millis

    def record_no_room(self, task: jobs.Task) -> None:
        """Record that no endpoint has enough free processor capacity for a task."""
        self.largest_cpu_millis = min(self.largest_cpu_millis, task.need.cpu_millis - 1)

    def restrict(self, task: jobs.Task) -> AvailableEndpoints:
        """Return the endpoints that tasks of the same step may use.

        Rack-local tasks use the rack where others of their step run, or else the one
        with the most free capacity if the whole step fits there. A lasting task uses
        others while that rack has no room, as nothing there ends by itself. Filling
        tasks use one half of the endpoints, so that serving tasks find endpoints
        without them: those that run such tasks, and then those that may.
        """
        if task.spec.is_filling:
            ranked = sorted(
                self.list_endpoints(),
                key=lambda endpoint: rank_for_filling(task, endpoint),
            )
            half = {
                endpoint.announcement.endpoint
                for endpoint in ranked[: (len(ranked) + 1) // 2]
            }
            return self.filter_endpoints(
                lambda endpoint: endpoint.announcement.endpoint in half
            )
        if not task.spec.is_rack_local:
            return self
        rack = find_used_rack(task, self.list_endpoints())
        if not rack:
            rack = self.find_free_rack(task)
        if not rack:
            return self
        local = self.filter_endpoints(
            lambda endpoint: endpoint.announcement.rack == rack
        )
        return local if not task.spec.is_lasting or local.has_room(task) else self

    def has_room(self, task: jobs.Task) -> bool:
        """Return whether a task fits on one of these endpoints now."""
        return any(
            fits(task, endpoint, self.now_ms)
            for endpoint in self.iterate(task.need.cpu_millis)
        )

    def filter_endpoints(
        self, is_wanted: collections.abc.Callable[[endpoints.Endpoint], bool]
    ) -> AvailableEndpoints:
        """Return the endpoints for which a predicate holds."""
        names = {
            endpoint.announcement.endpoint
            for endpoint in self.list_endpoints()
            if is_wanted(endpoint)
        }
        return AvailableEndpoints(
            self.order, self.known, self.now_ms, self.remote_factor, names, self.held
        )

    def find_free_rack(self, task: jobs.Task) -> str:
        """Return the rack for a whole step, or an empty string if it fits on none.

        The rack of the step's data comes first, then the one with the most free
        processor capacity.
        """
        free: dict[str, int] = {}
        for endpoint in self.list_endpoints():
            rack = endpoint.announcement.rack
            free[rack] = free.get(rack, 0) + max(0, endpoint.free.cpu_millis)
        if not free:
            return ""
        best_rack = max(
            free, key=lambda rack: (rack == task.spec.data_rack, free[rack])
        )
        is_enough = free[best_rack] >= task.spec.count * task.need.cpu_millis
        return best_rack if is_enough else ""


def find_used_rack(
    task: jobs.Task, candidates: collections.abc.Iterable[endpoints.Endpoint]
) -> str:
    """Return the rack on which tasks of the same step run, or an empty string."""
    for endpoint in candidates:
        if count_step_tasks(task, endpoint):
            return endpoint.announcement.rack
    return ""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint on which a task fits, and when the task would end there."""

    endpoint: endpoints.Endpoint
    ends_ms: float


def fits(task: jobs.Task, endpoint: endpoints.Endpoint, now_ms: int) -> bool:
    """Return whether an endpoint may run a task now.

    For `AVOID_MS` a failed task avoids the endpoints on which it failed, and for its
    last attempt all endpoints with faults since their last success. There may be no
    others with its label, its ticket or room for it.
    """
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
    if not task.failures or now_ms - task.failed_ms > AVOID_MS:
        return True
    if endpoint.announcement.endpoint in task.failed_endpoints:
        return False
    is_last_attempt = task.failures + 1 >= task.job.terms.max_attempts
    return not (is_last_attempt and endpoint.health.faults)


def would_interfere(task: jobs.Task, endpoint: endpoints.Endpoint) -> bool:
    """Return whether a filling and a serving task would share an endpoint.

    Also true if the filling tasks together would need more than the free processor
    capacity, which they share.
    """
    filling_millis = task.spec.cpu_millis if task.spec.is_filling else 0
    for attempt in endpoint.attempts.values():
        if attempt.owner is None:
            continue
        other_step = attempt.owner.spec
        if other_step.is_filling and task.spec.target_ms:
            return True
        if other_step.target_ms and task.spec.is_filling:
            return True
        filling_millis += other_step.cpu_millis if other_step.is_filling else 0
    return filling_millis > endpoint.free.cpu_millis


def rank_for_filling(
    task: jobs.Task, endpoint: endpoints.Endpoint
) -> tuple[bool, bool, str]:
    """Return the sort key of an endpoint for a filling task; the lowest comes first."""
    step = task.spec
    owners = [each.owner for each in endpoint.attempts.values() if each.owner]
    can_run = (
        endpoint.capacity.covers(task.need)
        and not any(owner.spec.target_ms for owner in owners)
        and (
            not step.required_label
            or step.required_label in endpoint.announcement.labels
        )
    )
    is_filled = any(owner.spec.is_filling for owner in owners)
    return not can_run, not is_filled, endpoint.announcement.endpoint


def count_step_tasks(task: jobs.Task, endpoint: endpoints.Endpoint) -> int:
    """Return how many tasks of the same step are on an endpoint."""
    return sum(
        attempt.owner is not None
        and attempt.owner.job is task.job
        and attempt.owner.step == task.step
        for attempt in endpoint.attempts.values()
    )


def could_ever_fit(
    step: messages.SubmittedStep,
    candidates: collections.abc.Iterable[endpoints.Endpoint],
) -> bool:
    """Return whether some endpoint has the capacity and the label for a task."""
    return any(
        endpoint.capacity.covers(resources.get_need(step))
        and (
            not step.required_label
            or step.required_label in endpoint.announcement.labels
        )
        for endpoint in candidates
    )


def has_other_endpoint(task: jobs.Task, available: AvailableEndpoints) -> bool:
    """Return whether a task that stood still may run elsewhere, now or later."""
    return any(
        endpoint.announcement.endpoint != task.left_endpoint
        and endpoint.capacity.covers(task.need)
        for endpoint in available.list_endpoints()
    )


def is_isolated(task: jobs.Task) -> bool:
    """Return whether a task is kept apart from others, as an endpoint crashed under it.

    The tasks of a gang start together or not at all, so they are not kept apart.
    """
    return task.history.is_suspect and not task.spec.is_gang


def choose_emptiest(
    task: jobs.Task, available: AvailableEndpoints
) -> endpoints.Endpoint | None:
    """Return the endpoint that a suspect fits on and shares with the fewest others.

    Above all with few that started just now, as the next crash may be due to these.
    """

    def get_key(endpoint: endpoints.Endpoint) -> tuple[int, int]:
        oldest_ms = available.now_ms - crashes.EARLY_MS
        recent = sum(
            attempt.sent_ms > oldest_ms for attempt in endpoint.attempts.values()
        )
        return recent, len(endpoint.attempts)

    candidates = [
        endpoint
        for endpoint in available.iterate(task.need.cpu_millis)
        if fits(task, endpoint, available.now_ms)
    ]
    return min(candidates, key=get_key, default=None)


def choose_endpoint(
    task: jobs.Task,
    available: AvailableEndpoints,
    now_ms: int,
    best_speed: float,
) -> endpoints.Endpoint | None:
    """Return the endpoint to start a task on, or None to let it wait.

    `best_speed` is the speed of the fastest held endpoint, available or not.
    """
    if is_isolated(task):
        return choose_emptiest(task, available)
    planned_ms = task.spec.estimate_ms * speeds.ESTIMATE_MARGIN
    factor = available.remote_factor
    due_ms = task.job.due_ms - queueing.TRANSIT_MS
    best: Candidate | None = None
    has_room = False
    for endpoint in available.iterate(task.need.cpu_millis):
        has_room = True
        if not fits(task, endpoint, now_ms):
            continue
        if endpoint.announcement.endpoint == task.left_endpoint and has_other_endpoint(
            task, available
        ):
            continue
        run_ms = speeds.ESTIMATE_MARGIN * endpoint.get_estimate_ms(task.spec, factor)
        ends_ms = now_ms + endpoint.speed.get_run_ms(run_ms)
        held = available.held
        if held is not None and held.is_held_from(task, endpoint, ends_ms):
            continue
        # Lasting tasks run until their job is cancelled, so waiting gains nothing.
        if ends_ms <= due_ms or task.spec.is_lasting:
            return endpoint
        if best is None or ends_ms < best.ends_ms:
            best = Candidate(endpoint, ends_ms)
    if not has_room:
        available.record_no_room(task)
    if best is None or best.ends_ms > due_ms >= now_ms + planned_ms / best_speed:
        return None
    return best.endpoint
