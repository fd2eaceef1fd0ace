"""An endpoint's own clock, known within bounds from what its answers say."""

from __future__ import annotations

import dataclasses

# The protocol of endpoints allows their clocks to run 2% slow; ours may be as fast.
DRIFT = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """An endpoint's clock as an answer gave it.

    `clock_ms` was read between `sent_ms` and `received_ms` of the dispatcher's clock.
    """

    clock_ms: int
    sent_ms: int
    received_ms: int

    def get_earliest_ms(self, now_ms: int) -> int:
        """Return what the endpoint's clock shows at least at `now_ms`."""
        return self.clock_ms + int((now_ms - self.received_ms) * (1 - DRIFT))

    def get_latest_ms(self, now_ms: int) -> int:
        """Return what the endpoint's clock shows at most at `now_ms`."""
        return self.clock_ms + int((now_ms - self.sent_ms) * (1 + DRIFT)) + 1
