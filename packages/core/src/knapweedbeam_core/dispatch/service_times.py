"""Learned run times of classes, and relative run times of endpoints.

The expected run time of a task is `base x speed`. `base` belongs to the class
and is scaled from the declared time if there is one. `speed` is the run time at
the endpoint relative to an average one; once enough tasks of the class ended
there, a ratio for the class at that endpoint applies too.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import jobs

DEFAULT_RUN_MS = 200.0
MIN_RUN_MS = 1.0
MIN_SPEED = 1.0 / 64.0
MAX_SPEED = 64.0
CLASS_GAIN = 0.02
SPEED_GAIN = 0.1
MIN_SAMPLES = 8
MAX_CLASSES = 4_096
MAX_CLASS_RATIOS = 65_536
MAX_ENDPOINTS = 16_384
OUTLIER_FACTOR = 16.0


@dataclasses.dataclass(slots=True)
class MovingAverage:
    """A moving average: arithmetic for the first samples, then exponential."""

    value: float
    count: int = 0

    def add(self, sample: float, gain: float) -> None:
        """Add a sample with a weight of at least `gain`."""
        self.count += 1
        self.value += (sample - self.value) * max(gain, 1.0 / self.count)


@dataclasses.dataclass(slots=True)
class ClassTimes:
    """The mean run time of a class, and its ratio of actual to declared time."""

    run_ms: MovingAverage
    declared_ratio: MovingAverage


class ServiceTimes:
    """Estimates run times from the ends of tasks."""

    def __init__(self) -> None:
        self.classes: dict[tuple[str, str], ClassTimes] = {}
        self.speeds: dict[str, MovingAverage] = {}
        self.class_ratios: dict[tuple[str, str], MovingAverage] = {}

    def get_class_times(self, service: str, job_class: str) -> ClassTimes:
        """Return the estimates of a class, evicting the oldest class if full."""
        key = (service, job_class)
        times = self.classes.get(key)
        if times is None:
            if len(self.classes) >= MAX_CLASSES:
                del self.classes[next(iter(self.classes))]
            times = ClassTimes(MovingAverage(DEFAULT_RUN_MS), MovingAverage(1.0))
            self.classes[key] = times
        return times

    def get_base_ms(self, job: jobs.Job, declared_ms: int) -> float:
        """Return the expected run time on an average endpoint."""
        times = self.get_class_times(job.service, job.job_class)
        if declared_ms > 0:
            return max(MIN_RUN_MS, declared_ms * times.declared_ratio.value)
        return max(MIN_RUN_MS, times.run_ms.value)

    def has_samples(self, job: jobs.Job) -> bool:
        """Return whether enough tasks of the class ended for an estimate."""
        times = self.classes.get((job.service, job.job_class))
        return times is not None and times.run_ms.count >= MIN_SAMPLES

    def get_speed(self, endpoint: str) -> float:
        """Return an endpoint's run time relative to an average endpoint's."""
        mean = self.speeds.get(endpoint)
        return mean.value if mean is not None else 1.0

    def get_class_ratio(self, endpoint: str, job_class: str) -> float:
        """Return a class's run time at an endpoint relative to the endpoint's speed."""
        mean = self.class_ratios.get((endpoint, job_class))
        if mean is None or mean.count < MIN_SAMPLES:
            return 1.0
        return mean.value

    def set_initial_speed(self, endpoint: str, speed: float) -> None:
        """Use another entry VM's estimate until there are enough samples here."""
        mean = self.speeds.get(endpoint)
        if mean is None or mean.count < MIN_SAMPLES:
            self.speeds[endpoint] = MovingAverage(speed, 1)

    def learn(
        self, job: jobs.Job, declared_ms: int, endpoint: str, run_ms: int
    ) -> float:
        """Learn from the run time of a task that answered; return the new speed."""
        times = self.get_class_times(job.service, job.job_class)
        base_ms = self.get_base_ms(job, declared_ms)
        actual_ms = max(MIN_RUN_MS, float(run_ms))
        mean = self.speeds.get(endpoint)
        if mean is None:
            if len(self.speeds) >= MAX_ENDPOINTS:
                del self.speeds[next(iter(self.speeds))]
            mean = self.speeds[endpoint] = MovingAverage(1.0)
        speed = mean.value
        sample = min(MAX_SPEED, max(MIN_SPEED, actual_ms / base_ms))
        if times.run_ms.count >= MIN_SAMPLES:
            mean.add(min(sample, OUTLIER_FACTOR * speed), SPEED_GAIN)
            self.learn_class_ratio(endpoint, job.job_class, sample / speed)
        times.run_ms.add(actual_ms / speed, CLASS_GAIN)
        if declared_ms > 0:
            times.declared_ratio.add(actual_ms / speed / declared_ms, CLASS_GAIN)
        return mean.value

    def learn_class_ratio(self, endpoint: str, job_class: str, ratio: float) -> None:
        """Learn a class's run time at an endpoint relative to the endpoint's speed."""
        key = (endpoint, job_class)
        mean = self.class_ratios.get(key)
        if mean is None:
            if len(self.class_ratios) >= MAX_CLASS_RATIOS:
                del self.class_ratios[next(iter(self.class_ratios))]
            mean = self.class_ratios[key] = MovingAverage(1.0)
        mean.add(ratio, SPEED_GAIN)
