"""Durations of leases and the bounds that follow from them.

If an endpoint leaves without reaching any entry VM, its last announcement is at
most `MAX_START_AGE_MS` old when the last holder's lease ends: a heartbeat renews
a lease until `SLOT_LEASE_MS` after it was sent, but never past
`MAX_START_AGE_MS` after the oldest announcement at the keeper.

A new keeper waits `HANDOVER_MS` from the last contact with the earlier keeper, or
from the first announcement of the endpoint. This covers one heartbeat interval
in which the earlier keeper may have continued, and one lease. A live keeper that
is replaced grants no more slots and drops the endpoint after
`MOVED_RETENTION_MS`.
"""

from __future__ import annotations

ENDPOINT_LEASE_MS = 2_000
ANNOUNCE_INTERVAL_MS = 500
UNRESPONSIVE_MS = 1_500
SLOT_LEASE_MS = 2_000
DRIFT_MARGIN_MS = 100
MAX_START_AGE_MS = 2_900
HANDOVER_MS = 2_300
MOVED_RETENTION_MS = 250
IDLE_RETURN_MS = 20


def get_holder_end_ms(sent_ms: int, stalest_ms: int) -> int:
    """Return when a holder must stop using its lease.

    `sent_ms` is when the holder asked for renewal, `stalest_ms` the age of the
    oldest announcement that the keeper reported.
    """
    lease_ms = min(SLOT_LEASE_MS - DRIFT_MARGIN_MS, MAX_START_AGE_MS - stalest_ms)
    return sent_ms + lease_ms
