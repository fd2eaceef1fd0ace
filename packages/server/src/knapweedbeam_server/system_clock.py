"""The clocks of the machine."""

from __future__ import annotations

import time

NANOS_PER_MS = 1_000_000


class SystemClock:
    """Reads the machine's monotonic and wall clocks."""

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds.

        It includes the time during which the machine is suspended, so that leases
        expire meanwhile.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // NANOS_PER_MS
