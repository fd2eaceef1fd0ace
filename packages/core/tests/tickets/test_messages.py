from __future__ import annotations

import collections
import random
import unittest
from unittest import mock

from knapweedbeam_core import clock, effects, ids, jobs, outcomes
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import coordinator, witnesses
from tickets import world

VMS = 9
TURNS = 60
JOBS_A_TURN = 8
TASKS = 100


class Traffic:
    """Counts messages, and frames: those to one peer in one turn share one."""

    def __init__(self, jobs_a_turn: int) -> None:
        self.time = clock.ManualClock(1, 10**12)
        self.ids = {f"a{i}": ids.ProcessId(f"a{i}", 1) for i in range(VMS)}
        self.parts = {name: self.build(name) for name in self.ids}
        self.messages: collections.Counter[str] = collections.Counter()
        self.frames = 0
        self.complete = 0
        self.waiting: dict[tuple[str, str], list[effects.Message]] = {}
        for _ in range(TURNS):
            for name in self.ids:
                for _ in range(jobs_a_turn):
                    self.submit(name)
            self.turn()

    def build(self, name: str) -> coordinator.Coordinator:
        peers = tuple(parts.Peer(peer, "a") for peer in self.ids if peer != name)
        rng = random.Random(name)
        part = coordinator.Coordinator(
            self.ids[name], "a", peers, world.KEY, self.time, rng
        )
        part.on_live(frozenset(self.ids.values()))
        return part

    def submit(self, name: str) -> None:
        tasks = (jobs.TaskSpec(b"{}"),) * TASKS
        job = jobs.Job("", "m", "s", "c", 10**9, tasks)
        taken = self.parts[name].submit_new(job, "")
        assert isinstance(taken, tuple)
        self.take(name, taken[1])

    def turn(self) -> None:
        """Carry frames until none is left, then let a tick pass."""
        while self.waiting:
            frames, self.waiting = self.waiting, {}
            self.frames += len(frames)
            for (sender, to), messages in frames.items():
                for message in messages:
                    done = self.parts[to].on_message(self.ids[sender], message)
                    self.take(to, done)
        self.time.advance(parts.TICK_MS)

    def take(self, name: str, done: parts.Effects) -> None:
        part = self.parts[name]
        for effect in done:
            match effect:
                case effects.Send(to, message):
                    self.messages[type(message).__name__] += 1
                    self.waiting.setdefault((name, to), []).append(message)
                case effects.Enqueue(job):
                    self.take(name, part.begin(job.ticket))
                case effects.JobBegun(text):
                    complete = outcomes.Complete((b"{}",) * TASKS)
                    self.take(name, part.settle(text, complete))
                case effects.Answer():
                    self.complete += 1


class MessagesTest(unittest.TestCase):
    def test_job_costs_four_messages_and_sticking_shares_frames(self) -> None:
        total = VMS * TURNS * JOBS_A_TURN
        sticky = Traffic(JOBS_A_TURN)
        with mock.patch.object(witnesses, "BLOCK_TICKETS", 1):
            anew = Traffic(JOBS_A_TURN)
        self.assertEqual(sticky.complete, total)
        self.assertEqual(sum(sticky.messages.values()), 4 * total)
        self.assertEqual(sticky.messages, anew.messages)
        self.assertLess(2 * sticky.frames, anew.frames)
