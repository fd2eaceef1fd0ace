"""Which endpoints to leave alone for a while, judged by how their tasks end.

Load: endpoints that fail, refuse or stall all that they are given while they go on
announcing themselves as up. One that fails fast always has room and would draw all
work to it.
"""

from __future__ import annotations

import dataclasses

# Faults in a row, with nothing done between them, that make an endpoint a suspect.
FAULTS_BEFORE_COOL_DOWN = 2
FIRST_COOL_DOWN_MS = 1_000
MAX_COOL_DOWN_MS = 4_000


@dataclasses.dataclass(slots=True)
class Health:
    """What is known against one endpoint."""

    faults: int = 0
    cool_down_ms: int = 0
    cool_down_until_ms: int = 0
    is_on_probation: bool = False

    def record_success(self) -> None:
        """Take a task that ended well: the endpoint works."""
        self.faults = 0
        self.cool_down_ms = 0
        self.cool_down_until_ms = 0
        self.is_on_probation = False

    def record_fault(self, now_ms: int) -> bool:
        """Take a task that failed here; say whether the endpoint is to rest."""
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
        """Take back a fault: the task fails everywhere."""
        self.faults = max(0, self.faults - 1)
        if not self.faults:
            self.record_success()

    def is_cooling_down(self, now_ms: int) -> bool:
        """Say whether the endpoint is to be left alone."""
        return now_ms < self.cool_down_until_ms
