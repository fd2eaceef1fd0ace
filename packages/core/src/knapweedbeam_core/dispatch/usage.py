"""Free resources of workers, estimated from delayed usage reports.

A report gives the resources in use at its as-of time. Tasks started here since
then are added; tasks that it included and that have ended since are subtracted.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core.entry import parts

MAX_WORKERS = 4_096
KEEP_ENDED_MS = 10_000
MAX_ENDED = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """The resources that a task needs; zero means unknown."""

    cpu_millis: int = 0
    memory_mib: int = 0


UNKNOWN_NEED = Need()


@dataclasses.dataclass(slots=True, eq=False)
class TaskLoad:
    """One task on a worker; `ended_ms` is 0 while it runs.

    `service_class` is the service and the class that the task belongs to. Times
    are wall-clock times.
    """

    need: Need
    started_ms: int
    service_class: tuple[str, str]
    ended_ms: int = 0


@dataclasses.dataclass(slots=True)
class WorkerUsage:
    """A worker's latest report, and the tasks of this process since then.

    `cpu_millis` and `memory_mib` are the resources estimated to be in use.
    """

    report: parts.UsageReport
    loads: list[TaskLoad] = dataclasses.field(default_factory=list)
    cpu_millis: int = 0
    memory_mib: int = 0

    def has_resources(self, need: Need) -> bool:
        """Return whether the free resources are enough for a task."""
        report = self.report
        return (
            self.cpu_millis + need.cpu_millis <= report.cpu_millis
            and self.memory_mib + need.memory_mib <= report.memory_mib
        )

    def fits_when_empty(self, need: Need) -> bool:
        """Return whether a task fits on the worker when nothing else runs there."""
        report = self.report
        return (
            need.cpu_millis <= report.cpu_millis
            and need.memory_mib <= report.memory_mib
        )

    def add(self, need: Need, sign: int) -> None:
        """Add a task's need, or subtract it if `sign` is -1."""
        self.cpu_millis += sign * need.cpu_millis
        self.memory_mib += sign * need.memory_mib

    def rebuild(self) -> None:
        """Recalculate the resources in use from the report and the tasks since."""
        as_of_ms = self.report.as_of_ms
        self.cpu_millis = self.report.cpu_millis_in_use
        self.memory_mib = self.report.memory_mib_in_use
        oldest_ms = as_of_ms - KEEP_ENDED_MS
        self.loads = [load for load in self.loads if not 0 < load.ended_ms < oldest_ms]
        for load in self.loads:
            if load.started_ms > as_of_ms and not load.ended_ms:
                self.add(load.need, 1)
            elif load.started_ms <= as_of_ms < load.ended_ms:
                self.add(load.need, -1)

    def get_loads_at(self, as_of_ms: int) -> list[TaskLoad]:
        """Return the tasks of this process that ran at the as-of time."""
        return [
            load
            for load in self.loads
            if load.started_ms <= as_of_ms
            and (not load.ended_ms or load.ended_ms > as_of_ms)
        ]


class Usage:
    """The resources in use on every worker with a usage report."""

    def __init__(self) -> None:
        self.workers: dict[str, WorkerUsage] = {}

    def get_report(self, worker: str) -> parts.UsageReport | None:
        """Return a worker's latest report."""
        worker_usage = self.workers.get(worker)
        return worker_usage.report if worker_usage is not None else None

    def add_report(self, report: parts.UsageReport) -> bool:
        """Store a report; return False if it is not newer than the stored one.

        Reports of further workers are dropped once there are `MAX_WORKERS`.
        """
        worker_usage = self.workers.get(report.worker)
        if worker_usage is None:
            if len(self.workers) >= MAX_WORKERS:
                return False
            worker_usage = self.workers[report.worker] = WorkerUsage(report)
        elif report.as_of_ms <= worker_usage.report.as_of_ms:
            return False
        worker_usage.report = report
        worker_usage.rebuild()
        return True

    def fits(self, worker: str, need: Need) -> bool:
        """Return whether a task fits on a worker now; True for unknown workers."""
        worker_usage = self.workers.get(worker)
        return worker_usage is None or worker_usage.has_resources(need)

    def fits_when_empty(self, worker: str, need: Need) -> bool:
        """Return whether a task fits on the worker when nothing else runs there."""
        worker_usage = self.workers.get(worker)
        return worker_usage is None or worker_usage.fits_when_empty(need)

    def start(
        self, worker: str, need: Need, wall_ms: int, service_class: tuple[str, str]
    ) -> TaskLoad | None:
        """Record the start of a task; return None if the worker is unknown."""
        worker_usage = self.workers.get(worker)
        if worker_usage is None:
            return None
        load = TaskLoad(need, wall_ms, service_class)
        worker_usage.loads.append(load)
        worker_usage.add(need, 1)
        if len(worker_usage.loads) > 2 * MAX_ENDED:
            worker_usage.rebuild()
            worker_usage.loads = worker_usage.loads[-MAX_ENDED:]
        return load

    def end(self, worker: str, load: TaskLoad, wall_ms: int) -> None:
        """Record the end of a task."""
        load.ended_ms = wall_ms
        worker_usage = self.workers.get(worker)
        if worker_usage is not None:
            worker_usage.add(load.need, -1)
