"""The capacity that every entry VM keeps, as reported by it."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import ids
from knapweedbeam_core.slots import messages


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityTotal:
    """Capacity of all keepers together for one service.

    The sizes are those of the largest worker, 0 while any is unknown.
    """

    endpoints: int
    slots: int
    cpu_millis: int
    memory_mib: int


NO_TOTAL = CapacityTotal(0, 0, 0, 0)


class CapacityDirectory:
    """The capacity of each keeper, and of all of them by service."""

    def __init__(self) -> None:
        self.versions: dict[ids.ProcessId, int] = {}
        self.services: dict[ids.ProcessId, dict[str, messages.ServiceCapacity]] = {}
        self.near: set[ids.ProcessId] = set()
        self.totals: dict[str, CapacityTotal] = {}

    def update(
        self, keeper: ids.ProcessId, capacity: messages.Capacity, near: bool
    ) -> None:
        """Store a keeper's capacity, unless a newer one is stored already."""
        if capacity.version <= self.versions.get(keeper, 0):
            return
        self.versions[keeper] = capacity.version
        self.services[keeper] = {part.service: part for part in capacity.services}
        if near:
            self.near.add(keeper)
        self.update_totals()

    def remove(self, keeper: ids.ProcessId) -> None:
        """Remove a keeper that is gone."""
        if self.versions.pop(keeper, None) is None:
            return
        del self.services[keeper]
        self.near.discard(keeper)
        self.update_totals()

    def update_totals(self) -> None:
        """Recompute the totals by service after a change."""
        by_service: dict[str, list[messages.ServiceCapacity]] = {}
        for services in self.services.values():
            for part in services.values():
                by_service.setdefault(part.service, []).append(part)
        self.totals = {
            name: sum_capacities(parts) for name, parts in by_service.items()
        }

    def get_total(self, service: str) -> CapacityTotal:
        """Return the capacity of all keepers together for a service."""
        return self.totals.get(service, NO_TOTAL)

    def get_capacity(self, keeper: ids.ProcessId, service: str) -> int:
        """Return the number of slots of a service at a keeper."""
        part = self.services.get(keeper, {}).get(service)
        return part.slots if part is not None else 0

    def is_near(self, keeper: ids.ProcessId) -> bool:
        """Return whether a keeper is in this failure domain."""
        return keeper in self.near


def sum_capacities(parts: list[messages.ServiceCapacity]) -> CapacityTotal:
    """Return the sum of several keepers' capacities of one service."""
    return CapacityTotal(
        sum(part.endpoints for part in parts),
        sum(part.slots for part in parts),
        get_largest_size([part.cpu_millis for part in parts]),
        get_largest_size([part.memory_mib for part in parts]),
    )


def get_largest_size(sizes: list[int]) -> int:
    """Return the largest size, 0 while any is unknown."""
    return max(sizes) if all(sizes) else 0
