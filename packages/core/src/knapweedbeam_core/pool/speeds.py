"""How fast each endpoint works, learned from the times of its tasks."""

from __future__ import annotations

import dataclasses
import math

# One sample moves the estimate by a tenth: estimates of callers are off by a factor
# of up to two, and an endpoint ends several tasks a second.
WEIGHT = 0.1
# The first samples count more, so that a new endpoint is known within a second.
FIRST_WEIGHT = 0.5
# Start, polling and answer take some milliseconds beside the work itself.
OVERHEAD_MS = 8
MIN_SPEED = 0.05
# Callers' estimates are off by this factor at most, either way.
ESTIMATE_ERROR = 2.0
# A task that runs this much longer than it can need hangs, or its endpoint is slow:
# the tasks of a job differ by a half, and a stop of sound work costs more than a
# late one of a task that hangs.
OVERDUE_FACTOR = 2.0
OVERDUE_MS = 40
# Until this many tasks have ended on an endpoint it may be this slow.
RELIABLE_SAMPLES = 8
ASSUMED_MIN_SPEED = 0.5
MAX_SPEED = 10.0


@dataclasses.dataclass(slots=True)
class Speed:
    """The speed of one endpoint against a sound one, as a running mean of logs."""

    log_mean: float = 0.0
    samples: int = 0

    @property
    def value(self) -> float:
        """Return the speed: 2.0 does a task in half of its estimated time."""
        return math.exp(self.log_mean)

    def add(self, estimate_ms: float, duration_ms: float) -> None:
        """Take the time of a task that ended well."""
        worked_ms = max(1.0, duration_ms - OVERHEAD_MS)
        ratio = min(MAX_SPEED, max(MIN_SPEED, max(1.0, estimate_ms) / worked_ms))
        self.samples += 1
        weight = max(WEIGHT, FIRST_WEIGHT / self.samples)
        self.log_mean += weight * (math.log(ratio) - self.log_mean)

    def restore(self, speed: float, samples: int) -> None:
        """Go on from what another dispatcher has learned."""
        bounded = min(MAX_SPEED, max(MIN_SPEED, speed))
        self.log_mean = math.log(bounded)
        self.samples = samples

    def get_run_ms(self, estimate_ms: float) -> float:
        """Return how long a task of this estimate takes here."""
        return estimate_ms / self.value + OVERHEAD_MS

    def get_overdue_ms(self, estimate_ms: float, work_factor: float) -> float:
        """Return after how long a task should have ended here in any case.

        `work_factor` is what its job's ended tasks show, 0 while none has ended.
        """
        factor = OVERDUE_FACTOR * (work_factor or ESTIMATE_ERROR)
        if self.samples < RELIABLE_SAMPLES:
            factor /= ASSUMED_MIN_SPEED
        return self.get_run_ms(factor * estimate_ms) + OVERDUE_MS
