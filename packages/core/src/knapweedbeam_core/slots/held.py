"""Endpoints whose slots this entry VM holds."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import ids
from knapweedbeam_core.entry import parts

FOREVER_MS = 1 << 60


@dataclasses.dataclass(slots=True, eq=False)
class Lease:
    """Lease of one keeper's slots: what this process may use, and until when."""

    keeper: ids.ProcessId
    session: int
    until_ms: int
    is_expired: bool = False
    endpoints: dict[str, HeldEndpoint] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, eq=False)
class HeldEndpoint:
    """One run of an endpoint with slots held or tasks running here.

    `granted` and `returned` only grow within one lease. `max_running` bounds the
    tasks that may run at once while the endpoint's health is uncertain. `speed`
    is its expected run time relative to that of an average endpoint.
    `free_index` is its index in the pool's free list, -1 if it is not in it.
    """

    record: parts.Announcement
    lease: Lease
    granted: int = 0
    returned: int = 0
    running: int = 0
    revoked: bool = False
    max_running: int = FOREVER_MS
    is_on_trial: bool = False
    speed: float = 1.0
    free_index: int = -1
    entry_number: int = 0
    counted_free: int = 0
    idle_since_ms: int = 0

    @property
    def held(self) -> int:
        """Return the number of slots held, in use or not."""
        return self.granted - self.returned

    @property
    def free(self) -> int:
        """Return how many more tasks may be started here now."""
        if self.revoked or self.lease.is_expired:
            return 0
        return min(self.granted - self.returned, self.max_running) - self.running


class SlotPool:
    """The held endpoints of one service.

    `free_endpoints` lists those with a free slot, in no particular order.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self.endpoints: dict[str, HeldEndpoint] = {}
        self.free_endpoints: list[HeldEndpoint] = []
        self.held = 0
        self.free_slots = 0
        self.running = 0

    def update(self, endpoint: HeldEndpoint) -> None:
        """Add an endpoint to the free list or remove it, after a change."""
        free = max(0, endpoint.free)
        self.free_slots += free - endpoint.counted_free
        endpoint.counted_free = free
        if free:
            if endpoint.free_index < 0:
                endpoint.free_index = len(self.free_endpoints)
                self.free_endpoints.append(endpoint)
        elif endpoint.free_index >= 0:
            self.remove_free(endpoint)

    def remove_free(self, endpoint: HeldEndpoint) -> None:
        """Remove an endpoint from the free list by moving the last one to its place."""
        last = self.free_endpoints.pop()
        if last is not endpoint:
            self.free_endpoints[endpoint.free_index] = last
            last.free_index = endpoint.free_index
        endpoint.free_index = -1
