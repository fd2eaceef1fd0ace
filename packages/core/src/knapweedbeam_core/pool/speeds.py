"""Estimates the speed of each endpoint from the run times of its tasks."""

from __future__ import annotations

import dataclasses
import math

# Weight of one sample in the running mean. It is small because callers' estimates are
# off by a factor of up to two and an endpoint ends several tasks per second.
MIN_SAMPLE_WEIGHT = 0.1
# First samples weigh more, so that a new endpoint's speed is known within a second.
FIRST_SAMPLE_WEIGHT = 0.5
# Time for start, polling and answer in addition to the work itself.
OVERHEAD_MS = 8
MIN_SPEED = 0.05
# Safety factor for callers' estimates where a task's end is forecast.
ESTIMATE_MARGIN = 1.25
# Callers' estimates are too high or too low by at most this factor.
ESTIMATE_ERROR = 2.0
# A task that runs this many times longer than the error of its estimate explains hangs,
# or its endpoint is slow. The tasks of a job differ by a half, and stopping a healthy
# task costs more than stopping a hanging one late.
OVERDUE_FACTOR = 2.0
OVERDUE_MARGIN_MS = 40
# Until this many tasks have ended on an endpoint, it is assumed to be this slow when
# tasks are checked for being overdue.
RELIABLE_SAMPLES = 8
ASSUMED_MIN_SPEED = 0.5
MAX_SPEED = 10.0


@dataclasses.dataclass(slots=True)
class Speed:
    """The speed of one endpoint relative to a normal one, as a mean of logarithms.

    At a `value` of 2.0 a task takes half of its estimated time.
    """

    log_mean: float = 0.0
    samples: int = 0
    value: float = 1.0

    def add(self, estimate_ms: float, duration_ms: float) -> None:
        """Add the duration of a task that succeeded, as one sample."""
        work_ms = max(1.0, duration_ms - OVERHEAD_MS)
        ratio = min(MAX_SPEED, max(MIN_SPEED, max(1.0, estimate_ms) / work_ms))
        self.samples += 1
        weight = max(MIN_SAMPLE_WEIGHT, FIRST_SAMPLE_WEIGHT / self.samples)
        self.log_mean += weight * (math.log(ratio) - self.log_mean)
        self.value = math.exp(self.log_mean)

    def restore(self, speed: float, samples: int) -> None:
        """Continue with the speed that another dispatcher has measured."""
        bounded = min(MAX_SPEED, max(MIN_SPEED, speed))
        self.log_mean = math.log(bounded)
        self.value = bounded
        self.samples = samples

    def get_run_ms(self, estimate_ms: float) -> float:
        """Return how long a task with this estimate takes here."""
        return estimate_ms / self.value + OVERHEAD_MS

    def get_overdue_ms(self, estimate_ms: float, work_factor: float) -> float:
        """Return the run time after which a task counts as overdue here.

        `work_factor` is the ratio of actual to estimated work that the job's ended
        tasks show, 0 while none has ended.
        """
        factor = OVERDUE_FACTOR * (work_factor or ESTIMATE_ERROR)
        if self.samples < RELIABLE_SAMPLES:
            factor /= ASSUMED_MIN_SPEED
        return self.get_run_ms(factor * estimate_ms) + OVERDUE_MARGIN_MS
