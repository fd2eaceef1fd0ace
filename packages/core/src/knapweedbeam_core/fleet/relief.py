"""Decides what relieves dispatchers whose processors are full.

Load: more starts a second than one core VM can make, or a core VM that has turned slow,
while others own no shard. The shard of a single overloaded owner moves to an idle core
VM, which takes up what runs there by name. If most owners are overloaded, or one still
is after its shard has moved, the endpoints are divided among twice as many owners: that
stops what runs, so it is done once in a while and never taken back.
"""

from __future__ import annotations

import collections.abc

from knapweedbeam_core import clock

# An owner has to be overloaded for this long.
OVERLOAD_MS = 1_000
# After a remedy, the owners need some time to take over.
PAUSE_MS = 10_000
# For so long, a VM that lost its shard gets no other, and a shard that moved is divided
# if its next owner is overloaded too.
MEMORY_MS = 60_000
# Smaller deployments are not divided by load: a few endpoints pack wide tasks badly.
MIN_ENDPOINTS = 60

# The owner of each shard; a single one if the deployment is not divided.
Owners = collections.abc.Sequence[str]


class Relief:
    """Since when owners are overloaded, and what was done about it."""

    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.overloaded_since_ms: dict[str, int] = {}
        # A new lead doesn't know what its predecessor did just before.
        self.relieved_ms = timer.now_ms()
        self.moved_ms: dict[int, int] = {}
        self.relieved_owners_ms: dict[str, int] = {}

    def record(
        self, owners: Owners, overloaded: collections.abc.Container[str]
    ) -> None:
        """Record which owners are overloaded now."""
        now_ms = self.clock.now_ms()
        self.overloaded_since_ms = {
            name: self.overloaded_since_ms.get(name, now_ms)
            for name in set(owners)
            if name in overloaded
        }

    def record_division(self) -> None:
        """Record that the endpoints were divided anew."""
        self.relieved_ms = self.clock.now_ms()
        self.moved_ms.clear()

    def list_overloaded_shards(self, owners: Owners) -> list[int]:
        """Return the shards whose owners have been overloaded for long.

        Empty while the last remedy may not show yet.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self.relieved_ms < PAUSE_MS:
            return []
        oldest_ms = now_ms - OVERLOAD_MS
        since = self.overloaded_since_ms
        return [
            shard
            for shard, name in enumerate(owners)
            if name in since and since[name] <= oldest_ms
        ]

    def needs_division(self, owners: Owners, endpoint_count: int) -> bool:
        """Return whether moving shards does not help."""
        full = self.list_overloaded_shards(owners)
        if not full or endpoint_count < MIN_ENDPOINTS:
            return False
        return 2 * len(full) > len(owners) or any(map(self.has_moved, full))

    def has_moved(self, shard: int) -> bool:
        """Return whether a shard was moved lately."""
        return self.is_recent(self.moved_ms.get(shard))

    def is_recent(self, at_ms: int | None) -> bool:
        """Return whether something happened within `MEMORY_MS`."""
        return at_ms is not None and self.clock.now_ms() - at_ms < MEMORY_MS

    def move(
        self, owners: Owners, idle: collections.abc.Collection[str]
    ) -> tuple[int, str] | None:
        """Return the shard to move and its next owner, and record the move."""
        full = self.list_overloaded_shards(owners)
        movable = [shard for shard in full if not self.has_moved(shard)]
        fresh = [
            name
            for name in idle
            if not self.is_recent(self.relieved_owners_ms.get(name))
        ]
        if not movable or not fresh or len(owners) < 2 or 2 * len(full) > len(owners):
            return None
        now_ms = self.clock.now_ms()
        self.relieved_ms = self.moved_ms[movable[0]] = now_ms
        self.relieved_owners_ms[owners[movable[0]]] = now_ms
        return movable[0], min(fresh)
