"""Tests random histories of jobs, faults and takeovers.

No task may run twice at a time, no endpoint may exceed its capacity, and every job has
to end.
"""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from bench.pool import simulation

ENDPOINTS = 4
ACTIONS = (
    "job",
    "job",
    "job",
    "cut",
    "heal",
    "crash",
    "return",
    "lose answers",
    "start late",
    "sound",
    "fail",
    "take over",
    "withdraw",
)


class History:
    def __init__(self) -> None:
        self.simulation = simulation.Simulation()
        for number in range(ENDPOINTS):
            self.simulation.add_endpoint(f"e{number}", speed=1.0 + number % 2)
        self.fence = 10
        self.current = self.simulation.add_dispatcher("d10", self.fence)
        self.jobs = 0
        self.open: dict[str, tuple[int, int]] = {}

    def act(self, action: str, which: int, size: int) -> None:
        endpoint = self.simulation.endpoints[f"e{which % ENDPOINTS}"]
        match action:
            case "job":
                self.jobs += 1
                job = (1 + size % 9, 30 + 60 * size)
                self.open[f"j{self.jobs}"] = job
                self.simulation.submit(self.current, f"j{self.jobs}", *job)
            case "cut":
                self.simulation.cut_links.add((self.current.name, endpoint.name))
            case "heal":
                self.simulation.cut_links.clear()
            case "crash":
                endpoint.crash()
            case "return" if endpoint.is_unresponsive:
                replacement = self.simulation.add_endpoint(endpoint.name)
                replacement.born_ms = endpoint.born_ms + 1
                for each in self.simulation.dispatchers:
                    announcement = replacement.build_announcement()
                    self.simulation.run(each, each.on_announcement(announcement))
            case "lose answers":
                endpoint.drops_answers = True
            case "start late":
                endpoint.start_delay_ms = 100 + 100 * size
            case "sound":
                endpoint.drops_answers = endpoint.is_failing = False
                endpoint.start_delay_ms = 0
            case "fail":
                endpoint.is_failing = True
            case "take over":
                self.take_over()

    def take_over(self) -> None:
        old = self.current
        self.fence += 1
        self.current = self.simulation.add_dispatcher(f"d{self.fence}", self.fence)
        for job_id, job in self.open.items():
            if not self.simulation.get_outcome(job_id):
                base = 100 * (self.fence - 10)
                self.simulation.submit(self.current, job_id, *job, attempt_base=base)
        # The old dispatcher learns of the takeover late and stops what it can reach.
        self.simulation.schedule_after(
            400,
            lambda: self.simulation.run(old, old.set_fence(0)) if old.fence else None,
        )


class HistoriesTest(unittest.TestCase):
    @hypothesis.settings(
        max_examples=150, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(ACTIONS),
                strategies.integers(0, 7),
                strategies.integers(0, 20),
                strategies.integers(1, 400),
            ),
            max_size=40,
        )
    )
    def test_invariants_hold(self, steps: list[tuple[str, int, int, int]]) -> None:
        history = History()
        for action, which, size, pause_ms in steps:
            history.act(action, which, size)
            history.simulation.advance(pause_ms)
        self.assertEqual(history.simulation.breaches, [])
        history.simulation.cut_links.clear()
        for number in range(ENDPOINTS):
            history.act("sound", number, 0)
            history.act("return", number, 0)
        history.simulation.advance(8_000)
        self.assertEqual(history.simulation.breaches, [])
        left = [j for j in history.open if not history.simulation.get_outcome(j)]
        self.assertEqual(left, [])


if __name__ == "__main__":
    unittest.main()
