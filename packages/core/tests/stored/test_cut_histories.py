"""Random histories of cuts: a job that no run failed and no crash hit never fails."""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from bench.pool import simulation, stored_simulation
from knapweedbeam_core.pool import calls, messages
from knapweedbeam_core.stored import commands, ledger

ENDPOINTS = 6
ACTIONS = (
    "job",
    "return",
    "announce",
    "log down",
    "log up",
    "take over",
    "split",
    "wait",
    "wait long",
)


class LateRecordSimulation(stored_simulation.StoredSimulation):
    """A simulation whose log may get a record of a crash again, seconds later."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.late_records = random.Random(seed)

    def handle_record_crash(
        self, by: simulation.Dispatching, request: calls.RecordCrash
    ) -> None:
        """Commit a crash under a task, and perhaps commit it again later."""
        super().handle_record_crash(by, request)
        if self.late_records.random() < 0.3:
            self.schedule_after(
                self.late_records.randrange(100, 8_000),
                lambda: super(LateRecordSimulation, self).handle_record_crash(
                    by, request
                ),
            )


class History:
    def __init__(self, seed: int) -> None:
        self.simulation = LateRecordSimulation(seed)
        for number in range(ENDPOINTS):
            self.simulation.add_endpoint(f"e{number}")
        self.fence = 10
        self.current = self.simulation.add_dispatcher("d10", self.fence)
        self.jobs = 0

    def apply_action(self, action: str, size: int) -> None:
        match action:
            case "job":
                self.jobs += 1
                work_ms = 2_000 + 200 * size
                step = stored_simulation.build_step(1 + size % 3, estimate_ms=work_ms)
                self.simulation.store_job(f"j{self.jobs}", (step,), work_ms)
            case "return":
                self.return_all()
            case "announce":
                self.announce_all()
            case "log down":
                self.simulation.cut_from_log.add(self.current.name)
            case "log up":
                self.simulation.cut_from_log.clear()
            case "take over":
                self.take_over()
            case "split":
                self.simulation.cut_from_log.add(self.current.name)
                self.take_over()
            case "wait":
                self.simulation.advance(200 * size)
            case "wait long":
                self.simulation.advance(5_000 + 500 * size)

    def cut_off_newest_run(self, is_refusing: bool) -> None:
        """Cut off the endpoint of the newest start, which runs on."""
        endpoint = self.simulation.endpoints[self.simulation.starts[-1][1]]
        if not endpoint.is_unresponsive:
            endpoint.cut_off(is_refusing)

    def return_all(self) -> None:
        """Let all endpoints be reached again, as the same incarnations."""
        for endpoint in self.simulation.endpoints.values():
            endpoint.is_unresponsive = endpoint.has_ended = False
        self.announce_all()

    def announce_all(self) -> None:
        """Let all endpoints announce themselves, also those that cannot be called."""
        for endpoint in self.simulation.endpoints.values():
            for each in self.simulation.dispatchers:
                announcement = endpoint.build_announcement()
                self.simulation.run(each, each.on_announcement(announcement))

    def take_over(self) -> None:
        old = self.current
        self.fence += 1
        self.current = self.simulation.add_dispatcher(f"d{self.fence}", self.fence)
        self.simulation.schedule_after(
            400,
            lambda: self.simulation.run(old, old.set_fence(0)) if old.fence else None,
        )

    def list_failed(self) -> list[str]:
        return [
            job_id
            for job_id in self.simulation.ledger.entries
            if self.simulation.get_state(job_id) == "failed"
        ]


class CutHistoriesTest(unittest.TestCase):
    def test_job_without_a_failed_run_or_a_crash_is_not_failed(self) -> None:
        """Guards against cuts that are counted as crashes, by any dispatcher."""
        for seed in range(60):
            with self.subTest(seed=seed):
                self.play(seed)

    def play(self, seed: int) -> None:
        rng = random.Random(seed)
        history = History(seed)
        history.apply_action("job", 15)
        for _ in range(rng.randrange(2, 7)):
            history.simulation.advance(rng.randrange(100, 1_200))
            history.cut_off_newest_run(is_refusing=rng.random() < 0.7)
            for _ in range(rng.randrange(3)):
                history.simulation.advance(rng.randrange(2_500))
                history.apply_action(rng.choice(ACTIONS), rng.randrange(16))
                self.assertEqual(history.list_failed(), [])
            history.simulation.advance(1_500)
            self.assertEqual(history.list_failed(), [])
        history.simulation.cut_from_log.clear()
        history.return_all()
        history.simulation.advance(40_000)
        states = [
            history.simulation.get_state(f"j{number + 1}")
            for number in range(history.jobs)
        ]
        self.assertEqual(set(states), {"complete"})
        self.assertEqual(history.simulation.breaches, [])


class RecordOrderTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.integers(1, 6), strategies.booleans()),
            max_size=30,
        )
    )
    def test_suspicions_in_any_order_end_no_job(
        self, records: list[tuple[int, bool]]
    ) -> None:
        """Guards against a suspicion that is recorded again after its retraction."""
        log = ledger.Ledger()
        world = stored_simulation.StoredSimulation()
        world.ledger = log
        world.store_job("j", (stored_simulation.build_step(1),))
        world.advance(100)
        for number, is_retracted in records:
            crash = messages.TaskCrash("j.0.0.0", number, True, "e0", 7, "e0:1")
            log.apply(commands.RecordCrashes((crash,), is_retracted), 0)
        self.assertTrue(log.entries["j"].is_open)
        retracted = {number for number, is_retracted in records if is_retracted}
        counted = log.entries["j"].crashes.get("0.0.0", {})
        self.assertEqual(retracted & set(counted), set())


if __name__ == "__main__":
    unittest.main()
