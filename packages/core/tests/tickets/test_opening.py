from __future__ import annotations

import collections.abc
import random
import unittest

from knapweedbeam_core import effects, ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import key_messages, opening

ROUNDS = 60


class World:
    """Processes that ask each other for notes over links of uneven delay."""

    def __init__(self, size: int, seed: int, loss: float) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.names = [f"vm{number}" for number in range(size)]
        self.runs = {name: ids.ProcessId(name, 1) for name in self.names}
        self.openings = {name: self.build(name) for name in self.names}
        self.pool: list[tuple[str, ids.ProcessId, effects.Message]] = []

    def build(self, name: str) -> opening.Opening:
        return opening.Opening(self.runs[name], frozenset(self.names))

    def restart(self, name: str) -> None:
        self.runs[name] = ids.ProcessId(name, self.runs[name].incarnation + 1)
        self.openings[name] = self.build(name)

    def send(self, name: str, found: collections.abc.Iterable[parts.Effect]) -> None:
        for effect in found:
            assert isinstance(effect, effects.Send)
            if self.rng.random() >= self.loss:
                self.pool.append((effect.to, self.runs[name], effect.message))

    def deliver(self) -> None:
        place = self.rng.randrange(len(self.pool))
        to, sender, message = self.pool.pop(place)
        receiver = self.openings[to]
        if isinstance(message, key_messages.AskNotes):
            self.send(to, receiver.on_ask(sender, message))
        if isinstance(message, key_messages.NotesTold):
            self.send(to, receiver.on_told(sender, message))

    def run_round(self) -> None:
        """Have a random part of the processes ask; deliver most of the pool."""
        for name in self.names:
            if self.rng.random() < 0.7:
                self.send(name, self.openings[name].ask())
        while len(self.pool) > 3:
            self.deliver()


class FirstStartTest(unittest.TestCase):
    def check(self, size: int, seed: int, loss: float, restarts: int) -> None:
        world = World(size, seed, loss)
        for round_ in range(ROUNDS):
            if round_ in range(2, 2 + restarts):
                world.restart(world.rng.choice(world.names))
            world.run_round()
        out = [n for n in world.names if not world.openings[n].synced]
        self.assertEqual(out, [], (size, seed))

    def test_all_get_in_sync_however_unevenly_they_start(self) -> None:
        """One that got in sync at once left the others out of it for good."""
        for size in (2, 3, 6, 9):
            for seed in range(60):
                self.check(size, seed, 0.1, 0)

    def test_restarts_meanwhile_leave_nobody_out(self) -> None:
        for size in (3, 6, 9):
            for seed in range(60):
                self.check(size, seed, 0.1, 1)

    def test_nobody_is_in_sync_while_one_was_never_heard(self) -> None:
        world = World(3, 1, 0.0)
        for _ in range(ROUNDS):
            world.send("vm0", world.openings["vm0"].ask())
            world.send("vm1", world.openings["vm1"].ask())
            world.pool = [each for each in world.pool if each[0] != "vm2"]
            while world.pool:
                world.deliver()
        self.assertFalse(any(each.synced for each in world.openings.values()))
