from __future__ import annotations

import collections
import random
import unittest
from unittest import mock

from knapweedbeam_core import clock, effects, ids, jobs, outcomes
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import coordinator, witnesses
from tickets import simulation

VMS = 9
ROUNDS = 60
JOBS_PER_ROUND = 8
TASKS = 100


class Traffic:
    """Counts messages and frames; messages to one peer in one round share a frame."""

    def __init__(self, jobs_per_round: int) -> None:
        self.time = clock.ManualClock(1, 10**12)
        self.ids = {f"a{i}": ids.ProcessId(f"a{i}", 1) for i in range(VMS)}
        self.parts = {name: self.build(name) for name in self.ids}
        self.messages: collections.Counter[str] = collections.Counter()
        self.frames = 0
        self.complete = 0
        self.waiting: dict[tuple[str, str], list[effects.Message]] = {}
        for _ in range(ROUNDS):
            for name in self.ids:
                for _ in range(jobs_per_round):
                    self.submit(name)
            self.run_round()

    def build(self, name: str) -> coordinator.Coordinator:
        peers = tuple(parts.Peer(peer, "a") for peer in self.ids if peer != name)
        rng = random.Random(name)
        part = coordinator.Coordinator(
            self.ids[name], "a", peers, simulation.KEY, self.time, rng
        )
        part.on_live(frozenset(self.ids.values()))
        return part

    def submit(self, name: str) -> None:
        tasks = (jobs.TaskSpec(b"{}"),) * TASKS
        job = jobs.Job("", "m", "s", "c", 10**9, tasks)
        submitted = self.parts[name].submit_new(job, "")
        assert isinstance(submitted, tuple)
        self.apply(name, submitted[1])

    def run_round(self) -> None:
        """Deliver frames until none is left, then advance the clock by a tick."""
        while self.waiting:
            frames, self.waiting = self.waiting, {}
            self.frames += len(frames)
            for (sender, to), messages in frames.items():
                for message in messages:
                    produced = self.parts[to].on_message(self.ids[sender], message)
                    self.apply(to, produced)
        self.time.advance(parts.TICK_MS)

    def apply(self, name: str, produced: parts.Effects) -> None:
        part = self.parts[name]
        for effect in produced:
            match effect:
                case effects.Send(to, message):
                    self.messages[type(message).__name__] += 1
                    self.waiting.setdefault((name, to), []).append(message)
                case effects.Enqueue(job):
                    self.apply(name, part.begin(job.ticket))
                case effects.JobBegun(text):
                    complete = outcomes.Complete((b"{}",) * TASKS)
                    self.apply(name, part.settle(text, complete))
                case effects.Answer():
                    self.complete += 1


class MessagesTest(unittest.TestCase):
    def test_job_takes_four_messages_and_witness_blocks_share_frames(self) -> None:
        total = VMS * ROUNDS * JOBS_PER_ROUND
        with_blocks = Traffic(JOBS_PER_ROUND)
        with mock.patch.object(witnesses, "BLOCK_TICKETS", 1):
            without_blocks = Traffic(JOBS_PER_ROUND)
        self.assertEqual(with_blocks.complete, total)
        self.assertEqual(sum(with_blocks.messages.values()), 4 * total)
        self.assertEqual(with_blocks.messages, without_blocks.messages)
        self.assertLess(2 * with_blocks.frames, without_blocks.frames)
