"""Learned sizes: the resources that the tasks of a class really use.

Declared sizes may be far too low or too high. If this entry VM holds all slots
of a worker, a usage report shows what its tasks use together. The ratio to what
was expected corrects the class.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import jobs, rules
from knapweedbeam_core.dispatch import service_times, usage

GAIN = 0.1
MAX_CLASSES = 4_096
MIN_RATIO = 1.0 / 64.0
MAX_RATIO = 64.0


@dataclasses.dataclass(slots=True)
class SizeRatios:
    """The ratios of actual to declared resources of one class."""

    cpu: service_times.MovingAverage
    memory: service_times.MovingAverage


class SizeEstimator:
    """Corrects declared sizes, per service and class."""

    def __init__(self) -> None:
        self.classes: dict[tuple[str, str], SizeRatios] = {}

    def get_ratios(self, service: str, job_class: str) -> SizeRatios:
        """Return the corrections of a class, evicting the oldest class if full."""
        key = (service, job_class)
        ratios = self.classes.get(key)
        if ratios is None:
            if len(self.classes) >= MAX_CLASSES:
                del self.classes[next(iter(self.classes))]
            average = service_times.MovingAverage
            ratios = self.classes[key] = SizeRatios(average(1.0), average(1.0))
        return ratios

    def get_need(
        self,
        job: jobs.Job,
        task: jobs.TaskSpec,
        service: rules.ServiceRules | None,
    ) -> usage.Need:
        """Return the resources that a task is expected to need.

        The service's defaults apply where the task declares nothing.
        """
        cpu_millis = task.cpu_millis
        memory_mib = task.memory_mib
        if service is not None:
            cpu_millis = cpu_millis or service.cpu_millis
            memory_mib = memory_mib or service.memory_mib
        if not cpu_millis and not memory_mib:
            return usage.UNKNOWN_NEED
        ratios = self.classes.get((job.service, job.job_class))
        if ratios is None:
            return usage.Need(cpu_millis, memory_mib)
        return usage.Need(
            int(cpu_millis * ratios.cpu.value),
            int(memory_mib * ratios.memory.value),
        )

    def learn_from_report(self, worker_usage: usage.WorkerUsage) -> None:
        """Learn from a report of a worker that runs only tasks of this process.

        Reports with tasks of several classes are ignored, since the usage can't
        be attributed to one of them.
        """
        report = worker_usage.report
        loads = worker_usage.get_loads_at(report.as_of_ms)
        service_classes = {load.service_class for load in loads}
        if len(service_classes) != 1:
            return
        ratios = self.get_ratios(*service_classes.pop())
        cpu_millis = sum(load.need.cpu_millis for load in loads)
        memory_mib = sum(load.need.memory_mib for load in loads)
        correct_ratio(ratios.cpu, report.cpu_millis_in_use, cpu_millis)
        correct_ratio(ratios.memory, report.memory_mib_in_use, memory_mib)


def correct_ratio(
    ratio: service_times.MovingAverage, actual: int, expected: int
) -> None:
    """Adjust a ratio by the actual usage relative to the expected one."""
    if actual > 0 and expected > 0:
        ratio.add(clamp(ratio.value * actual / expected), GAIN)


def clamp(ratio: float) -> float:
    """Return the ratio limited to the plausible range."""
    return min(MAX_RATIO, max(MIN_RATIO, ratio))
