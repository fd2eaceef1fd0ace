from __future__ import annotations

import collections.abc
import random
import unittest

from knapweedbeam_core import effects, ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import key_messages, opened_ranges

ROUNDS = 60


class Simulation:
    """Simulates processes that exchange notes over links with random delay and loss."""

    def __init__(self, size: int, seed: int, loss: float) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.names = [f"vm{number}" for number in range(size)]
        self.runs = {name: ids.ProcessId(name, 1) for name in self.names}
        self.trackers = {name: self.build(name) for name in self.names}
        self.in_flight: list[tuple[str, ids.ProcessId, effects.Message]] = []

    def build(self, name: str) -> opened_ranges.OpenedRangeTracker:
        return opened_ranges.OpenedRangeTracker(self.runs[name], frozenset(self.names))

    def restart(self, name: str) -> None:
        self.runs[name] = ids.ProcessId(name, self.runs[name].incarnation + 1)
        self.trackers[name] = self.build(name)

    def send(self, name: str, produced: collections.abc.Iterable[parts.Effect]) -> None:
        for effect in produced:
            assert isinstance(effect, effects.Send)
            if self.rng.random() >= self.loss:
                self.in_flight.append((effect.to, self.runs[name], effect.message))

    def deliver(self) -> None:
        index = self.rng.randrange(len(self.in_flight))
        to, sender, message = self.in_flight.pop(index)
        receiver = self.trackers[to]
        if isinstance(message, key_messages.AskNotes):
            self.send(to, receiver.on_ask_notes(sender, message))
        if isinstance(message, key_messages.NotesTold):
            self.send(to, receiver.on_notes_told(sender, message))

    def run_round(self) -> None:
        """Have random processes request notes; deliver most messages in flight."""
        for name in self.names:
            if self.rng.random() < 0.7:
                self.send(name, self.trackers[name].request_notes())
        while len(self.in_flight) > 3:
            self.deliver()


class FirstStartTest(unittest.TestCase):
    def check(self, size: int, seed: int, loss: float, restarts: int) -> None:
        simulation = Simulation(size, seed, loss)
        for round_ in range(ROUNDS):
            if round_ in range(2, 2 + restarts):
                simulation.restart(simulation.rng.choice(simulation.names))
            simulation.run_round()
        unsynced = [n for n in simulation.names if not simulation.trackers[n].synced]
        self.assertEqual(unsynced, [], (size, seed))

    def test_all_processes_sync_when_they_start_unevenly(self) -> None:
        """Check that no process gets in sync too early.

        Such a process kept the others from ever getting in sync.
        """
        for size in (2, 3, 6, 9):
            for seed in range(60):
                self.check(size, seed, 0.1, 0)

    def test_all_processes_sync_despite_restarts(self) -> None:
        for size in (3, 6, 9):
            for seed in range(60):
                self.check(size, seed, 0.1, 1)

    def test_no_process_syncs_while_one_has_never_answered(self) -> None:
        simulation = Simulation(3, 1, 0.0)
        for _ in range(ROUNDS):
            simulation.send("vm0", simulation.trackers["vm0"].request_notes())
            simulation.send("vm1", simulation.trackers["vm1"].request_notes())
            simulation.in_flight = [
                message for message in simulation.in_flight if message[0] != "vm2"
            ]
            while simulation.in_flight:
                simulation.deliver()
        self.assertFalse(
            any(tracker.synced for tracker in simulation.trackers.values())
        )
