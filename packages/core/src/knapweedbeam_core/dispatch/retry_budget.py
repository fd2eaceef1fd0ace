"""How many tasks may be started again, beside those started first."""

from __future__ import annotations

RETRY_SHARE = 0.1
BURST = 32.0
MAX_PER_JOB = 8


class RetryBudget:
    """Earns a part of a retry with each start, up to a small stock."""

    def __init__(self) -> None:
        self.stock = BURST

    def earn(self) -> None:
        """Count a first start."""
        if self.stock < BURST:
            self.stock += RETRY_SHARE

    def take(self) -> bool:
        """Use one retry; false when the stock is empty."""
        if self.stock < 1.0:
            return False
        self.stock -= 1.0
        return True
