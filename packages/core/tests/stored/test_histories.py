"""Random histories of stored jobs, faults and takeovers: no task is lost or rerun."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from bench.pool import stored_simulation

ENDPOINTS = 4
ACTIONS = (
    "job",
    "job",
    "steps",
    "gang",
    "cut",
    "heal",
    "crash",
    "return",
    "lose answers",
    "start late",
    "sound",
    "log down",
    "log up",
    "take over",
    "split",
    "cancel",
)


class History:
    def __init__(self) -> None:
        self.simulation = stored_simulation.StoredSimulation()
        for number in range(ENDPOINTS):
            self.simulation.add_endpoint(f"e{number}", speed=1.0 + number % 2)
        self.fence = 10
        self.current = self.simulation.add_dispatcher("d10", self.fence)
        self.jobs = 0
        self.cancelled: set[str] = set()

    def apply_action(self, action: str, endpoint_number: int, size: int) -> None:
        endpoint = self.simulation.endpoints[f"e{endpoint_number % ENDPOINTS}"]
        match action:
            case "job" | "steps" | "gang":
                self.keep(action, size)
            case "cut":
                self.simulation.cut_links.add((self.current.name, endpoint.name))
            case "heal":
                self.simulation.cut_links.clear()
            case "crash":
                endpoint.crash()
            case "return" if endpoint.is_unresponsive:
                restarted = self.simulation.add_endpoint(endpoint.name)
                restarted.born_ms = endpoint.born_ms + 1
                for each in self.simulation.dispatchers:
                    announcement = restarted.build_announcement()
                    self.simulation.run(each, each.on_announcement(announcement))
            case "lose answers":
                endpoint.drops_answers = True
            case "start late":
                endpoint.start_delay_ms = 100 + 100 * size
            case "sound":
                endpoint.drops_answers = False
                endpoint.start_delay_ms = 0
            case "log down":
                self.simulation.cut_from_log.add(self.current.name)
            case "log up":
                self.simulation.cut_from_log.clear()
            case "take over":
                self.take_over()
            case "split":
                self.split(size)
            case "cancel" if self.jobs:
                job_id = f"j{1 + size % self.jobs}"
                self.cancelled.add(job_id)
                self.simulation.cancel(job_id)

    def keep(self, kind: str, size: int) -> None:
        self.jobs += 1
        work_ms = 30 + 60 * size
        first = stored_simulation.build_step(
            1 + size % 5, is_gang=kind == "gang", estimate_ms=work_ms
        )
        steps = (first,)
        if kind == "steps":
            steps += (
                stored_simulation.build_step(2, depends_on=(0,), estimate_ms=work_ms),
            )
        self.simulation.store_job(f"j{self.jobs}", steps, work_ms)

    def split(self, size: int) -> None:
        """Let a successor take over while the old dispatcher keeps some endpoints.

        The old dispatcher loses contact with the log and its successor's endpoints.
        """
        old = self.current
        self.fence += 1
        self.simulation.cut_from_log.add(old.name)
        self.current = self.simulation.add_dispatcher(f"d{self.fence}", self.fence)
        for number in range(ENDPOINTS):
            inside = number % 2 == size % 2
            name = old.name if inside else self.current.name
            self.simulation.cut_links.add((name, f"e{number}"))

    def take_over(self) -> None:
        old = self.current
        self.fence += 1
        self.current = self.simulation.add_dispatcher(f"d{self.fence}", self.fence)
        # The old dispatcher learns of it late, and stops what it can still reach.
        self.simulation.schedule_after(
            400,
            lambda: self.simulation.run(old, old.set_fence(0)) if old.fence else None,
        )


class HistoriesTest(unittest.TestCase):
    @hypothesis.settings(
        max_examples=120, deadline=None, derandomize=True, database=None
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
    def test_guarantees_hold(self, steps: list[tuple[str, int, int, int]]) -> None:
        history = History()
        for action, endpoint_number, size, pause_ms in steps:
            history.apply_action(action, endpoint_number, size)
            history.simulation.advance(pause_ms)
        self.assertEqual(history.simulation.breaches, [])
        history.simulation.cut_links.clear()
        history.simulation.cut_from_log.clear()
        for number in range(ENDPOINTS):
            history.apply_action("sound", number, 0)
            history.apply_action("return", number, 0)
        history.simulation.advance(20_000)
        self.assertEqual(history.simulation.breaches, [])
        states = {
            f"j{number + 1}": history.simulation.get_state(f"j{number + 1}")
            for number in range(history.jobs)
        }
        for job_id, state in states.items():
            allowed = {"complete"} | (
                {"cancelled"} if job_id in history.cancelled else set()
            )
            self.assertIn(state, allowed, (job_id, states))


if __name__ == "__main__":
    unittest.main()
