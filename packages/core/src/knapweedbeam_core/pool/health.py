"""Decides which endpoints get no work for a while, from how their tasks end.

Fault scenario: endpoints that fail, refuse or stall all their tasks while they announce
themselves as up. One that fails fast always has free resources and would attract all
work.
"""

from __future__ import annotations

import dataclasses

# Consecutive faults, without a success between them, that start a cool-down.
FAULTS_BEFORE_COOL_DOWN = 2
FIRST_COOL_DOWN_MS = 1_000
MAX_COOL_DOWN_MS = 4_000


@dataclasses.dataclass(slots=True)
class Health:
    """The faults and the cool-down of one endpoint.

    It is on probation from its first cool-down until a task succeeds; each fault in
    that time starts another cool-down, twice as long.
    """

    faults: int = 0
    cool_down_ms: int = 0
    cool_down_until_ms: int = 0
    is_on_probation: bool = False

    def record_success(self) -> None:
        """Reset faults and cool-down after a task succeeded."""
        self.faults = 0
        self.cool_down_ms = 0
        self.cool_down_until_ms = 0
        self.is_on_probation = False

    def record_fault(self, now_ms: int) -> bool:
        """Record a fault and return whether it starts a cool-down."""
        self.faults += 1
        if self.faults < FAULTS_BEFORE_COOL_DOWN and not self.is_on_probation:
            return False
        self.cool_down_ms = min(
            MAX_COOL_DOWN_MS, 2 * self.cool_down_ms or FIRST_COOL_DOWN_MS
        )
        self.cool_down_until_ms = now_ms + self.cool_down_ms
        self.is_on_probation = True
        return True

    def retract_fault(self) -> None:
        """Retract a fault that was due to the task and not to the endpoint."""
        self.faults = max(0, self.faults - 1)
        if not self.faults:
            self.record_success()

    def is_cooling_down(self, now_ms: int) -> bool:
        """Return whether the endpoint gets no work for now."""
        return now_ms < self.cool_down_until_ms
