from __future__ import annotations

import unittest

from bench.pool import stored_simulation


class AdviceCacheTest(unittest.TestCase):
    def setUp(self) -> None:
        self.simulation = stored_simulation.StoredSimulation()
        for number in range(6):
            self.simulation.add_endpoint(f"e{number}")
        self.dispatcher = self.simulation.add_dispatcher("a", 10)
        self.simulation.advance(100)

    def tearDown(self) -> None:
        self.assertEqual(self.simulation.breaches, [])

    def store_job(
        self, job_id: str, count: int, valid_ms: int, work_ms: int = 60
    ) -> None:
        step = stored_simulation.build_step(count, estimate_ms=work_ms)
        self.simulation.store_job(job_id, (step,), work_ms, advice_valid_ms=valid_ms)

    def get_endpoints(self, job_id: str) -> list[str]:
        prefix = job_id + "."
        return [n for _, n, o in self.simulation.starts if o.task.startswith(prefix)]

    def test_step_runs_only_on_allowed_endpoints(self) -> None:
        self.simulation.allowed_endpoints["j"] = {"e1", "e4"}
        self.store_job("j", 6, 5_000)
        self.simulation.advance(400)
        self.assertEqual(self.simulation.get_state("j"), "complete")
        self.assertEqual(set(self.get_endpoints("j")), {"e1", "e4"})
        self.assertEqual(len(self.simulation.advice_requests), 1)

    def test_expired_ticket_is_requested_again(self) -> None:
        self.simulation.allowed_endpoints["j"] = {"e1"}
        self.store_job("j", 6, 400, work_ms=300)
        self.simulation.advance(2_500)
        self.assertEqual(self.simulation.get_state("j"), "complete")
        self.assertGreater(len(self.simulation.advice_requests), 1)

    def test_new_incarnation_needs_new_ticket(self) -> None:
        self.simulation.allowed_endpoints["j"] = {"e1"}
        self.store_job("j", 1, 60_000, work_ms=300)
        self.simulation.advance(150)
        self.simulation.endpoints["e1"].crash()
        replacement = self.simulation.add_endpoint("e1")
        replacement.born_ms = 2
        announcement = replacement.build_announcement()
        self.simulation.run(
            self.dispatcher, self.dispatcher.on_announcement(announcement)
        )
        self.simulation.advance(1_500)
        self.assertEqual(self.simulation.get_state("j"), "complete")
        self.assertEqual(len(self.simulation.advice_requests), 2)

    def test_other_queues_do_not_wait_for_advice(self) -> None:
        self.simulation.allowed_endpoints["j"] = set()
        self.store_job("j", 1, 5_000)
        self.simulation.submit(self.dispatcher, "k", count=4)
        self.simulation.advance(300)
        self.assertEqual(self.simulation.get_outcome("k"), "JobComplete")
        self.assertEqual(self.get_endpoints("j"), [])
        self.assertLessEqual(len(self.simulation.advice_requests), 2)


if __name__ == "__main__":
    unittest.main()
