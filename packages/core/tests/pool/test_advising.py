from __future__ import annotations

import unittest

from bench.pool import stored_world


class AdviceCacheTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = stored_world.StoredWorld()
        for number in range(6):
            self.world.add_endpoint(f"e{number}")
        self.dispatcher = self.world.add_dispatcher("a", 10)
        self.world.advance(100)

    def tearDown(self) -> None:
        self.assertEqual(self.world.breaches, [])

    def store_job(
        self, job_id: str, count: int, valid_ms: int, work_ms: int = 60
    ) -> None:
        step = stored_world.build_step(count, estimate_ms=work_ms)
        self.world.keep(job_id, (step,), work_ms, advice_valid_ms=valid_ms)

    def get_endpoints(self, job_id: str) -> list[str]:
        prefix = job_id + "."
        return [n for _, n, o in self.world.starts if o.task.startswith(prefix)]

    def test_step_runs_only_on_allowed_endpoints(self) -> None:
        self.world.allowed["j"] = {"e1", "e4"}
        self.store_job("j", 6, 5_000)
        self.world.advance(400)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertEqual(set(self.get_endpoints("j")), {"e1", "e4"})
        self.assertEqual(len(self.world.advice_calls), 1)

    def test_expired_ticket_is_requested_again(self) -> None:
        self.world.allowed["j"] = {"e1"}
        self.store_job("j", 6, 400, work_ms=300)
        self.world.advance(2_500)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertGreater(len(self.world.advice_calls), 1)

    def test_new_incarnation_needs_new_ticket(self) -> None:
        self.world.allowed["j"] = {"e1"}
        self.store_job("j", 1, 60_000, work_ms=300)
        self.world.advance(150)
        self.world.endpoints["e1"].crash()
        replacement = self.world.add_endpoint("e1")
        replacement.born_ms = 2
        announcement = replacement.get_news()
        self.world.run(self.dispatcher, self.dispatcher.on_announcement(announcement))
        self.world.advance(1_500)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertEqual(len(self.world.advice_calls), 2)

    def test_other_queues_do_not_wait_for_advice(self) -> None:
        self.world.allowed["j"] = set()
        self.store_job("j", 1, 5_000)
        self.world.submit(self.dispatcher, "k", count=4)
        self.world.advance(300)
        self.assertEqual(self.world.get_outcome("k"), "JobComplete")
        self.assertEqual(self.get_endpoints("j"), [])
        self.assertLessEqual(len(self.world.advice_calls), 2)


if __name__ == "__main__":
    unittest.main()
