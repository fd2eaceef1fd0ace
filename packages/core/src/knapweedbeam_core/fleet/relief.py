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
# Smaller deployments are not divided by load: a few endpoints pack wide tasks badly.
MIN_ENDPOINTS = 60

# The owner of each shard; a single one if the deployment is not divided.
Owners = collections.abc.Sequence[str]


class Relief:
    """Since when owners are overloaded, and what was done about it."""

    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.overloaded_since_ms: dict[str, int] = {}
        self.relieved_ms = timer.now_ms() - PAUSE_MS
        self.moved_shards: set[int] = set()

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
        self.moved_shards.clear()

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
        return 2 * len(full) > len(owners) or bool(self.moved_shards & set(full))

    def move(
        self, owners: Owners, idle: collections.abc.Collection[str]
    ) -> tuple[int, str] | None:
        """Return the shard to move and its next owner, and record the move."""
        full = self.list_overloaded_shards(owners)
        movable = [shard for shard in full if shard not in self.moved_shards]
        if not movable or not idle or len(owners) < 2 or 2 * len(full) > len(owners):
            return None
        self.relieved_ms = self.clock.now_ms()
        self.moved_shards.add(movable[0])
        return movable[0], min(idle)
