"""The system clocks, as the core package's clock interface."""

from __future__ import annotations

import time

NANOS_PER_MS = 1_000_000


class SystemClock:
    """Reads the system's monotonic and wall clocks."""

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""
        return time.monotonic_ns() // NANOS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // NANOS_PER_MS
