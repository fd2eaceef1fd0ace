from __future__ import annotations

import unittest

from bench.pool import stored_world


class AdviceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = stored_world.StoredWorld()
        for number in range(6):
            self.world.add_endpoint(f"e{number}")
        self.dispatcher = self.world.add_dispatcher("a", 10)
        self.world.advance(100)

    def tearDown(self) -> None:
        self.assertEqual(self.world.breaches, [])

    def keep(self, job_id: str, count: int, valid_ms: int, work_ms: int = 60) -> None:
        step = stored_world.build_step(count, estimate_ms=work_ms)
        self.world.keep(job_id, (step,), work_ms, advice_valid_ms=valid_ms)

    def get_endpoints(self, job_id: str) -> list[str]:
        prefix = job_id + "."
        return [n for _, n, o in self.world.starts if o.task.startswith(prefix)]

    def test_only_allowed_endpoints_run_a_step(self) -> None:
        self.world.allowed["j"] = {"e1", "e4"}
        self.keep("j", 6, 5_000)
        self.world.advance(400)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertEqual(set(self.get_endpoints("j")), {"e1", "e4"})
        self.assertEqual(len(self.world.advice_calls), 1)

    def test_a_ticket_that_ran_out_is_asked_for_anew(self) -> None:
        self.world.allowed["j"] = {"e1"}
        self.keep("j", 6, 400, work_ms=300)
        self.world.advance(2_500)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertGreater(len(self.world.advice_calls), 1)

    def test_a_new_life_needs_a_new_ticket(self) -> None:
        self.world.allowed["j"] = {"e1"}
        self.keep("j", 1, 60_000, work_ms=300)
        self.world.advance(150)
        self.world.endpoints["e1"].crash()
        fresh = self.world.add_endpoint("e1")
        fresh.born_ms = 2
        news = fresh.get_news()
        self.world.run(self.dispatcher, self.dispatcher.on_announcement(news))
        self.world.advance(1_500)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertEqual(len(self.world.advice_calls), 2)

    def test_other_queues_do_not_wait_for_advice(self) -> None:
        self.world.allowed["j"] = set()
        self.keep("j", 1, 5_000)
        self.world.submit(self.dispatcher, "k", count=4)
        self.world.advance(300)
        self.assertEqual(self.world.get_outcome("k"), "JobComplete")
        self.assertEqual(self.get_endpoints("j"), [])
        self.assertLessEqual(len(self.world.advice_calls), 2)


if __name__ == "__main__":
    unittest.main()
