"""Records when a dispatcher that became active reaches each step of its recovery."""

from __future__ import annotations

import enum

from knapweedbeam_core.pool import log_events


class Step(enum.StrEnum):
    """What an active dispatcher has reached, in the usual order."""

    FIRST_ENDPOINT_HELD = "first_endpoint_held"
    ALL_ENDPOINTS_HELD = "all_endpoints_held"
    FIRST_TASK_STARTED = "first_task_started"
    FIRST_JOB_COMPLETE = "first_job_complete"
    BACKLOG_DONE = "backlog_done"


class RecoverySteps:
    """The steps that one dispatcher has reached since it became active."""

    def __init__(self, started_ms: int) -> None:
        self.started_ms = started_ms
        self.active_ms = started_ms
        self.reached: set[Step] = set()

    def reset(self, now_ms: int) -> None:
        """Start again: the dispatcher became active."""
        self.active_ms = now_ms
        self.reached.clear()

    def record(self, step: Step, now_ms: int) -> list[log_events.RecoveryStepReached]:
        """Return a log event if the step is reached for the first time."""
        if step in self.reached:
            return []
        self.reached.add(step)
        return [
            log_events.RecoveryStepReached(
                str(step), now_ms - self.active_ms, now_ms - self.started_ms
            )
        ]
