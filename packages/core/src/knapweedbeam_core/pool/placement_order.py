"""Keeps the endpoints of a service in the order in which tasks prefer them."""

from __future__ import annotations

import bisect
import collections.abc

# Endpoints whose speeds differ by less than this count as equally fast.
SPEED_STEP = 0.2

# Whether it is cold, speed step (negative, so that the fastest come first), free
# processor capacity, name.
Entry = tuple[bool, int, int, str]


class PlacementOrder:
    """The endpoints of one service in the order in which tasks prefer them.

    Those that are cold come last, as they are slower than was measured. The fastest
    come first, and among equally fast ones those with the least free processor
    capacity, which leaves space for wide tasks.
    """

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.by_name: dict[str, Entry] = {}

    def update(
        self, name: str, speed: float, free_millis: int, is_cold: bool = False
    ) -> None:
        """Add an endpoint or move it to its new place."""
        entry = (is_cold, -round(speed / SPEED_STEP), free_millis, name)
        if self.by_name.get(name) == entry:
            return
        self.remove(name)
        self.by_name[name] = entry
        bisect.insort(self.entries, entry)

    def remove(self, name: str) -> None:
        """Remove an endpoint if it is there."""
        entry = self.by_name.pop(name, None)
        if entry is not None:
            del self.entries[bisect.bisect_left(self.entries, entry)]

    def iterate(self, cpu_millis: float) -> collections.abc.Iterator[str]:
        """Return the endpoints with at least this much free processor capacity."""
        return (name for _, _, free, name in self.entries if free >= cpu_millis)
