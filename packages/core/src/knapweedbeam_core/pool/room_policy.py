"""Decides for which services the rules for scarce room are in force.

Load: an endpoint holds one or two tasks of usual size, so that a waiting task often
fits nowhere although a third of the capacity is idle, and a burst fills the service
within a second. Where endpoints hold many tasks, capacity is rarely short, and the
plain rules serve callers as well with less work.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core.pool import jobs

# Weight of one job in the running mean of task sizes.
SAMPLE_WEIGHT = 0.02
# Until this many jobs have arrived, the mean says little.
RELIABLE_SAMPLES = 20


@dataclasses.dataclass(frozen=True, slots=True)
class RoomPolicy:
    """Where room counts as scarce.

    Room is scarce for a service if its mean task takes at least `scarce_task_share` of
    the processor capacity of its mean endpoint; 0 means always, more than 1 never.
    `holds_room` tells whether room is held there for the last tasks of jobs.
    """

    scarce_task_share: float = 0.4
    holds_room: bool = False


DEFAULT = RoomPolicy()


@dataclasses.dataclass(slots=True)
class MeanNeed:
    """The running mean of the processor capacity that one task of a service needs."""

    cpu_millis: float = 0.0
    samples: int = 0

    def add(self, cpu_millis: float) -> None:
        """Add the mean need of the tasks of one job."""
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.samples)
        self.cpu_millis += weight * (cpu_millis - self.cpu_millis)


class TaskSizes:
    """The mean task of each service, from the jobs that arrived."""

    def __init__(self, policy: RoomPolicy = DEFAULT) -> None:
        self.policy = policy
        self.needs: dict[str, MeanNeed] = {}

    def record(self, job: jobs.Job) -> None:
        """Add a job that arrived."""
        count = sum(step.count for step in job.steps)
        total = sum(step.count * step.cpu_millis for step in job.steps)
        if count:
            self.needs.setdefault(job.terms.service, MeanNeed()).add(total / count)

    def is_room_scarce(self, service: str, mean_capacity_millis: float) -> bool:
        """Return whether room is scarce on endpoints of a mean processor capacity."""
        share = self.policy.scarce_task_share
        need = self.needs.get(service)
        if not share:
            return True
        if need is None or need.samples < RELIABLE_SAMPLES or not mean_capacity_millis:
            return False
        return need.cpu_millis / mean_capacity_millis >= share
