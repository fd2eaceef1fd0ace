"""Limits retries to a share of the starts, plus a small burst."""

from __future__ import annotations

RETRIES_PER_START = 0.1
MAX_TOKENS = 32.0
MAX_RETRIES_PER_JOB = 8


class RetryBudget:
    """A token bucket of retries that each start refills by a fraction."""

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    def record_start(self) -> None:
        """Refill the bucket for one start."""
        if self.tokens < MAX_TOKENS:
            self.tokens += RETRIES_PER_START

    def acquire(self) -> bool:
        """Take one retry from the bucket; return False if it is empty."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
