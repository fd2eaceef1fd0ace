"""Selection of the witnesses of newly minted tickets."""

from __future__ import annotations

import dataclasses
import random

from knapweedbeam_core import ids

BLOCK_TICKETS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The processes that joined the live set and those that left it."""

    joined: frozenset[ids.ProcessId]
    lost: frozenset[ids.ProcessId]


class WitnessSelector:
    """Selects witnesses and tracks which of them are unresponsive or have ended.

    A block of tickets gets the same witness, so that the messages of jobs submitted
    together share a frame; the blocks are distributed over all peers.
    """

    def __init__(self, me: ids.ProcessId, rng: random.Random) -> None:
        self.me = me
        self.rng = rng
        self.live: frozenset[ids.ProcessId] = frozenset()
        self.by_name: dict[str, ids.ProcessId] = {}
        self.unresponsive: set[ids.ProcessId] = set()
        self.last_contact_ms: dict[ids.ProcessId, int] = {}
        self.shuffled: list[ids.ProcessId] = []
        self.block_witness: ids.ProcessId | None = None
        self.block_left = 0

    def update(self, live: frozenset[ids.ProcessId]) -> Change:
        """Update the live entry VMs; return which joined and which left."""
        others = live - {self.me}
        change = Change(others - self.live, self.live - others)
        self.unresponsive &= others
        self.last_contact_ms = {
            p: ms for p, ms in self.last_contact_ms.items() if p in others
        }
        self.live = others
        self.by_name = {process.name: process for process in others}
        self.shuffled = []
        if self.block_witness not in self.live:
            self.block_left = 0
        return change

    def select(self, count: int) -> ids.ProcessId | None:
        """Return the witness of the next `count` tickets, or none if alone."""
        if self.block_left <= 0 or self.block_witness in self.unresponsive:
            self.block_witness = self.select_next()
            self.block_left = BLOCK_TICKETS
        self.block_left -= count
        return self.block_witness

    def select_next(self) -> ids.ProcessId | None:
        """Return the next witness from a shuffled list of the usable ones."""
        self.shuffled = [
            process for process in self.shuffled if self.is_usable(process)
        ]
        if not self.shuffled:
            self.shuffled = sorted(p for p in self.live if self.is_usable(p))
            self.rng.shuffle(self.shuffled)
        return self.shuffled.pop() if self.shuffled else None

    def is_usable(self, witness: ids.ProcessId) -> bool:
        """Return whether a witness is live and responsive."""
        return witness in self.live and witness not in self.unresponsive

    def is_ended(self, witness: ids.ProcessId) -> bool:
        """Return whether another incarnation has replaced this witness."""
        successor = self.by_name.get(witness.name)
        return successor is not None and successor != witness

    def mark_unresponsive(self, witness: ids.ProcessId) -> None:
        """Exclude a live witness until it answers or joins the live set again."""
        if witness in self.live:
            self.unresponsive.add(witness)

    def record_contact(self, witness: ids.ProcessId, now_ms: int) -> bool:
        """Record that a witness answered; return whether it was unresponsive."""
        self.last_contact_ms[witness] = now_ms
        if witness not in self.unresponsive:
            return False
        self.unresponsive.remove(witness)
        return True
