"""How many tasks may be started again, beside those started first."""

from __future__ import annotations

RETRIES_PER_START = 0.1
MAX_TOKENS = 32.0
MAX_RETRIES_PER_JOB = 8


class RetryBudget:
    """Earns a part of a retry with each start, up to a small stock."""

    def __init__(self) -> None:
        self.tokens = MAX_TOKENS

    def record_start(self) -> None:
        """Count a first start."""
        if self.tokens < MAX_TOKENS:
            self.tokens += RETRIES_PER_START

    def acquire(self) -> bool:
        """Use one retry; false when the stock is empty."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
