"""Which live entry VM watches over the tickets that are minted next."""

from __future__ import annotations

import dataclasses
import random

from knapweedbeam_core import ids

BLOCK_TICKETS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The witnesses that came into reach, and those that are live no longer."""

    back: frozenset[ids.ProcessId]
    lost: frozenset[ids.ProcessId]


class Witnesses:
    """Chooses witnesses and tells which of them are out of reach or gone.

    One witness is kept for a block of tickets, so that the messages of jobs
    submitted together share a frame; the blocks are spread over all peers.
    """

    def __init__(self, me: ids.ProcessId, rng: random.Random) -> None:
        self.me = me
        self.rng = rng
        self.live: frozenset[ids.ProcessId] = frozenset()
        self.by_name: dict[str, ids.ProcessId] = {}
        self.silent: set[ids.ProcessId] = set()
        self.heard_ms: dict[ids.ProcessId, int] = {}
        self.round: list[ids.ProcessId] = []
        self.current: ids.ProcessId | None = None
        self.left = 0

    def update(self, live: frozenset[ids.ProcessId]) -> Change:
        """Take the live entry VMs; return which came and which went."""
        others = live - {self.me}
        change = Change(others - self.live, self.live - others)
        self.silent &= others
        self.heard_ms = {p: ms for p, ms in self.heard_ms.items() if p in others}
        self.live = others
        self.by_name = {process.name: process for process in others}
        self.round = []
        if self.current not in self.live:
            self.left = 0
        return change

    def choose(self, count: int) -> ids.ProcessId | None:
        """Return the witness of the next `count` tickets; none when alone."""
        if self.left <= 0 or self.current in self.silent:
            self.current = self.get_next()
            self.left = BLOCK_TICKETS
        self.left -= count
        return self.current

    def get_next(self) -> ids.ProcessId | None:
        """Return the next witness of a shuffled round over the live ones."""
        self.round = [process for process in self.round if self.is_usable(process)]
        if not self.round:
            self.round = sorted(p for p in self.live if self.is_usable(p))
            self.rng.shuffle(self.round)
        return self.round.pop() if self.round else None

    def is_usable(self, witness: ids.ProcessId) -> bool:
        """Say whether a witness is live and answers."""
        return witness in self.live and witness not in self.silent

    def is_ended(self, witness: ids.ProcessId) -> bool:
        """Say whether another run has taken the place of this witness."""
        successor = self.by_name.get(witness.name)
        return successor is not None and successor != witness

    def mark_silent(self, witness: ids.ProcessId) -> None:
        """Choose this witness no more until it is heard or live again."""
        if witness in self.live:
            self.silent.add(witness)

    def mark_heard(self, witness: ids.ProcessId, now_ms: int) -> bool:
        """Note when a witness answered; say whether it was silent until now."""
        self.heard_ms[witness] = now_ms
        if witness not in self.silent:
            return False
        self.silent.remove(witness)
        return True
