"""State machine of the evacuated failure domains in the replicated log."""

from __future__ import annotations

import collections

import msgspec

# A proposer waits a second at most for its order, and few operators order at a time.
REMEMBERED_ORDERS = 256


class EvacuationOrder(msgspec.Struct, frozen=True, array_like=True, tag="evacuation"):
    """An operator's order: start nothing more in a failure domain, or start again.

    `number` is drawn by the proposer, which finds by it that its order was applied.
    """

    domain: str
    is_evacuated: bool
    number: int


class EvacuatedDomains(msgspec.Struct, frozen=True, array_like=True):
    """The evacuated failure domains in order; each change has a higher `version`."""

    version: int = 0
    domains: tuple[str, ...] = ()


NO_EVACUATIONS = EvacuatedDomains()


class EvacuationStateMachine:
    """Holds the committed evacuations and the numbers of the orders applied last."""

    def __init__(self) -> None:
        self.stored = NO_EVACUATIONS
        self.applied_numbers: collections.deque[int] = collections.deque(
            maxlen=REMEMBERED_ORDERS
        )

    def apply(self, order: EvacuationOrder) -> None:
        """Apply a committed order; one that is in force already changes nothing."""
        self.applied_numbers.append(order.number)
        domains = frozenset(self.stored.domains)
        named = frozenset({order.domain})
        changed = domains | named if order.is_evacuated else domains - named
        if changed != domains:
            self.stored = EvacuatedDomains(
                self.stored.version + 1, tuple(sorted(changed))
            )

    def restore(self, stored: EvacuatedDomains) -> None:
        """Replace the state by that of a snapshot."""
        self.stored = stored
        self.applied_numbers.clear()

    def has_applied(self, number: int) -> bool:
        """Return whether the order with this number was applied just now."""
        return number in self.applied_numbers
