from __future__ import annotations

import unittest

from bench.pool import simulation
from knapweedbeam_core.pool import log_events


class LoadReportTest(unittest.TestCase):
    def setUp(self) -> None:
        self.simulation = simulation.Simulation()
        self.simulation.add_endpoint("e0", cpu_millis=64_000)
        self.dispatcher = self.simulation.add_dispatcher("a", 10)
        self.simulation.advance(50)

    def build_reports(self) -> list[log_events.QueueLoad]:
        """Return the report that is due after a second."""
        self.dispatcher.load_report.due_ms = 0
        jobs = self.dispatcher.jobs.values()
        return self.dispatcher.load_report.build(jobs, self.simulation.now_ms)

    def test_report_counts_jobs_by_queue_and_outcome(self) -> None:
        self.dispatcher.load_report.due_ms = 10**9
        self.simulation.submit(self.dispatcher, "j1", count=1, queue="q1")
        self.simulation.submit(self.dispatcher, "j2", count=1, queue="q2")
        self.simulation.submit(
            self.dispatcher, "j3", work_ms=900, patience_ms=100, queue="q2"
        )
        self.simulation.advance(200)
        first, second = sorted(self.build_reports(), key=lambda load: load.queue)
        self.assertEqual((first.queue, first.arrived, first.in_time), ("q1", 1, 1))
        self.assertEqual((second.queue, second.arrived), ("q2", 2))
        self.assertEqual((second.in_time, second.refused), (1, 1))
        self.assertEqual(self.build_reports(), [])

    def test_report_names_the_age_of_the_oldest_waiting_job(self) -> None:
        self.dispatcher.load_report.due_ms = 10**9
        self.simulation.submit(self.dispatcher, "j1", count=9, work_ms=2_000)
        self.simulation.advance(150)
        (load,) = self.build_reports()
        self.assertEqual(load.waiting, 1)
        self.assertGreaterEqual(load.oldest_ms, 150)

    def test_each_recovery_step_is_reported_once(self) -> None:
        self.simulation.submit(self.dispatcher, "j1", count=1)
        self.simulation.advance(500)
        reached = self.dispatcher.recovery_steps.reached
        self.assertEqual(len(reached), 5)
        for step in list(reached):
            self.assertEqual(self.dispatcher.recovery_steps.record(step, 0), [])


if __name__ == "__main__":
    unittest.main()
