"""Times of leases, and the bounds that they give together.

An endpoint that leaves and reaches nobody has its last announcement aged at
most `LAST_START_MS` when the last holder's lease ends: a heartbeat renews a
lease to `SLOT_LEASE_MS` after it was sent, and never past `LAST_START_MS` after
the announcement that is oldest at the keeper.

A new keeper waits `HANDOVER_MS` from when the earlier one was last heard, or
from when it first heard of the endpoint: one heartbeat interval in which the
earlier one may have gone on, and one lease. A live keeper that others replace
grants no more and stops after `MOVE_MS`.
"""

from __future__ import annotations

ENDPOINT_LEASE_MS = 2_000
ANNOUNCE_MS = 500
UNRESPONSIVE_MS = 1_500
SLOT_LEASE_MS = 2_000
DRIFT_MARGIN_MS = 100
LAST_START_MS = 2_900
HANDOVER_MS = 2_300
MOVE_MS = 250
IDLE_MS = 20


def get_holder_end_ms(sent_ms: int, stalest_ms: int) -> int:
    """Return when a holder stops, from when it asked and what the keeper said."""
    lease_ms = min(SLOT_LEASE_MS - DRIFT_MARGIN_MS, LAST_START_MS - stalest_ms)
    return sent_ms + lease_ms
