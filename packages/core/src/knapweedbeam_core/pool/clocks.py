"""Bounds on an endpoint's own clock, derived from the times in its answers."""

from __future__ import annotations

import dataclasses

# The endpoint protocol allows clocks to run 2% slow, and the dispatcher's 2% fast.
DRIFT = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """A reading of an endpoint's clock from one of its answers.

    `clock_ms` was read between `sent_ms` and `received_ms` of the dispatcher's clock.
    """

    clock_ms: int
    sent_ms: int
    received_ms: int

    def get_earliest_ms(self, now_ms: int) -> int:
        """Return the earliest time that the endpoint's clock may show at `now_ms`."""
        return self.clock_ms + int((now_ms - self.received_ms) * (1 - DRIFT))

    def get_latest_ms(self, now_ms: int) -> int:
        """Return the latest time that the endpoint's clock may show at `now_ms`."""
        return self.clock_ms + int((now_ms - self.sent_ms) * (1 + DRIFT)) + 1
