"""Max-min shares in whole slots."""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq


@dataclasses.dataclass(frozen=True, slots=True)
class Want:
    """One party's demand and its weight beside the others."""

    slots: int
    weight: float = 1.0


def share(capacity: int, wants: collections.abc.Sequence[Want]) -> list[int]:
    """Split `capacity` by weight; nobody gets more than it wants.

    No one can get more without someone that has less for its weight getting
    less. What rounding leaves goes, slot by slot, to who has least for its weight.
    """
    shares = [0] * len(wants)
    order = sorted(range(len(wants)), key=lambda i: wants[i].slots / wants[i].weight)
    weight_left = sum(want.weight for want in wants)
    left = capacity
    for index in order:
        want = wants[index]
        fair = int(left * want.weight / weight_left + 1e-9) if weight_left > 0 else 0
        shares[index] = min(want.slots, fair)
        left -= shares[index]
        weight_left -= want.weight
    spread_rest(left, wants, shares)
    return shares


def spread_rest(
    left: int, wants: collections.abc.Sequence[Want], shares: list[int]
) -> None:
    """Give single slots to those who want more, least for its weight first."""
    heap = [
        ((shares[i] + 1) / want.weight, i)
        for i, want in enumerate(wants)
        if shares[i] < want.slots
    ]
    heapq.heapify(heap)
    while left > 0 and heap:
        _, index = heapq.heappop(heap)
        shares[index] += 1
        left -= 1
        want = wants[index]
        if shares[index] < want.slots:
            heapq.heappush(heap, ((shares[index] + 1) / want.weight, index))
