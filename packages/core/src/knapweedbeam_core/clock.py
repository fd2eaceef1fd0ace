"""Time in milliseconds: the clock interface that every part uses."""

from __future__ import annotations

import dataclasses
import typing

SECOND_MS = 1_000
MINUTE_MS = 60 * SECOND_MS
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS


class Clock(typing.Protocol):
    """A source of time in whole milliseconds."""

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds; it never goes back."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; it may jump in either direction."""


@dataclasses.dataclass(slots=True)
class ManualClock:
    """A clock that moves only by calls of `advance`."""

    monotonic_ms: int = 0
    epoch_ms: int = 0

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""
        return self.monotonic_ms

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return self.epoch_ms

    def advance(self, by_ms: int) -> None:
        """Move both readings forward by `by_ms`."""
        self.monotonic_ms += by_ms
        self.epoch_ms += by_ms
