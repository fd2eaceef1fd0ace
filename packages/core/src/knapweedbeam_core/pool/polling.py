"""Decides how long a poll of an endpoint may wait while nothing ends there.

Load: hundreds of endpoints at one dispatcher. A poll that returns no end costs as much
as one that does, and most of the polls of a healthy deployment do. An interval is short
only for an endpoint that runs tasks while calls are being lost, so that a lost poll is
soon detected. With many endpoints it grows with their number: all of them together
cause no more than a fixed number of polls a second, as long as leases allow. While a
dispatcher's processor is full, polls of idle endpoints wait as long as leases allow.
"""

from __future__ import annotations

from knapweedbeam_core import clock

# Polls a second of all endpoints together that return no end.
POLLS_PER_S = 400
URGENT_POLLS_PER_S = 1_000
MIN_INTERVAL_MS = 250
# Short enough that a lost poll is detected before ends are late: objectives allow about
# 100 ms in addition to the work.
MIN_URGENT_INTERVAL_MS = 100
# Calls count as being lost for this long after the last one that was.
LOSSY_MS = 5_000
# A lost poll is detected some 300 ms after its answer is due. The next one must still
# renew the lease in time.
MAX_LEASE_SHARE = 0.4


class LossRecord:
    """When a call was last found without an answer."""

    def __init__(self) -> None:
        self.lost_ms = -LOSSY_MS

    def record(self, now_ms: int) -> None:
        """Record a call that has no answer in time."""
        self.lost_ms = now_ms

    def is_lossy(self, now_ms: int) -> bool:
        """Return whether calls are being lost."""
        return now_ms - self.lost_ms < LOSSY_MS


def get_interval_ms(endpoint_count: int, is_urgent: bool, lease_ms: int) -> int:
    """Return how long a poll may wait.

    It is urgent while attempts run there and calls are being lost.
    """
    polls_per_s = URGENT_POLLS_PER_S if is_urgent else POLLS_PER_S
    shortest_ms = MIN_URGENT_INTERVAL_MS if is_urgent else MIN_INTERVAL_MS
    longest_ms = max(shortest_ms, get_longest_ms(lease_ms))
    interval_ms = endpoint_count * clock.SECOND_MS // polls_per_s
    return max(shortest_ms, min(interval_ms, longest_ms))


def get_longest_ms(lease_ms: int) -> int:
    """Return how long a poll may wait at most, as the next one renews the lease."""
    return int(MAX_LEASE_SHARE * lease_ms)
