"""Max-min fair division in whole slots."""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """One party's demand and its weight relative to the others."""

    slots: int
    weight: float = 1.0


def split(capacity: int, demands: collections.abc.Sequence[Demand]) -> list[int]:
    """Divide `capacity` by weight so that nobody gets more than it demands.

    The division is max-min fair: no party can get more without another one that
    has less for its weight getting less. The remainder of rounding goes, slot by
    slot, to the party that has least for its weight.
    """
    shares = [0] * len(demands)
    order = sorted(
        range(len(demands)), key=lambda i: demands[i].slots / demands[i].weight
    )
    remaining_weight = sum(demand.weight for demand in demands)
    remaining = capacity
    for index in order:
        demand = demands[index]
        fair = (
            int(remaining * demand.weight / remaining_weight + 1e-9)
            if remaining_weight > 0
            else 0
        )
        shares[index] = min(demand.slots, fair)
        remaining -= shares[index]
        remaining_weight -= demand.weight
    distribute_remainder(remaining, demands, shares)
    return shares


def distribute_remainder(
    remaining: int, demands: collections.abc.Sequence[Demand], shares: list[int]
) -> None:
    """Add single slots to unmet demands, least for its weight first."""
    heap = [
        ((shares[i] + 1) / demand.weight, i)
        for i, demand in enumerate(demands)
        if shares[i] < demand.slots
    ]
    heapq.heapify(heap)
    while remaining > 0 and heap:
        _, index = heapq.heappop(heap)
        shares[index] += 1
        remaining -= 1
        demand = demands[index]
        if shares[index] < demand.slots:
            heapq.heappush(heap, ((shares[index] + 1) / demand.weight, index))
