"""Which endpoints to leave alone for a while, judged by how their tasks end.

Load: endpoints that fail, refuse or stall all that they are given while they go on
announcing themselves as up. One that fails fast always has room and would draw all
work to it.
"""

from __future__ import annotations

import dataclasses

# Faults in a row, with nothing done between them, that make an endpoint a suspect.
FAULTS_TO_SUSPECT = 2
FIRST_REST_MS = 1_000
MAX_REST_MS = 4_000


@dataclasses.dataclass(slots=True)
class Health:
    """What is known against one endpoint."""

    faults: int = 0
    rest_ms: int = 0
    resting_until_ms: int = 0
    on_trial: bool = False

    def note_done(self) -> None:
        """Take a task that ended well: the endpoint works."""
        self.faults = 0
        self.rest_ms = 0
        self.resting_until_ms = 0
        self.on_trial = False

    def note_fault(self, now_ms: int) -> bool:
        """Take a task that failed here; say whether the endpoint is to rest."""
        self.faults += 1
        if self.faults < FAULTS_TO_SUSPECT and not self.on_trial:
            return False
        self.rest_ms = min(MAX_REST_MS, 2 * self.rest_ms or FIRST_REST_MS)
        self.resting_until_ms = now_ms + self.rest_ms
        self.on_trial = True
        return True

    def forgive_fault(self) -> None:
        """Take back a fault: the task fails everywhere."""
        self.faults = max(0, self.faults - 1)
        if not self.faults:
            self.note_done()

    def is_resting(self, now_ms: int) -> bool:
        """Say whether the endpoint is to be left alone."""
        return now_ms < self.resting_until_ms
