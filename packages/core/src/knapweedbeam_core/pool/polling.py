"""Decides how long a poll of an endpoint may wait while nothing ends there.

Load: hundreds of endpoints at one dispatcher. A poll that returns no end costs as much
as one that does. With few endpoints the interval is short, so that a lost poll is soon
detected. With many it grows with their number: all of them together cause no more than
a fixed number of polls a second, as long as leases allow.
"""

from __future__ import annotations

from knapweedbeam_core import clock

# Polls a second of all endpoints together that return no end.
IDLE_POLLS_PER_S = 400
BUSY_POLLS_PER_S = 1_000
MIN_IDLE_INTERVAL_MS = 250
# Shorter while attempts run, so that a lost poll is detected before their ends are
# late: objectives allow about 100 ms in addition to the work.
MIN_BUSY_INTERVAL_MS = 100
# A lost poll is detected some 300 ms after its answer is due. The next one must still
# renew the lease in time.
MAX_LEASE_SHARE = 0.4


def get_interval_ms(endpoint_count: int, is_busy: bool, lease_ms: int) -> int:
    """Return how long a poll may wait; `is_busy` while attempts run there."""
    polls_per_s = BUSY_POLLS_PER_S if is_busy else IDLE_POLLS_PER_S
    shortest_ms = MIN_BUSY_INTERVAL_MS if is_busy else MIN_IDLE_INTERVAL_MS
    longest_ms = max(shortest_ms, int(MAX_LEASE_SHARE * lease_ms))
    interval_ms = endpoint_count * clock.SECOND_MS // polls_per_s
    return max(shortest_ms, min(interval_ms, longest_ms))
