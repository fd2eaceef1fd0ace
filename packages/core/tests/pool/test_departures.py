from __future__ import annotations

import unittest

from bench.pool import simulation
from knapweedbeam_core.pool import messages

NAME = "e0"


class DepartureTest(unittest.TestCase):
    def setUp(self) -> None:
        self.simulation = simulation.Simulation()
        for number in range(4):
            self.simulation.add_endpoint(f"e{number}")
        self.endpoint = self.simulation.endpoints[NAME]
        self.endpoint.born_ms = 2
        self.dispatcher = self.simulation.add_dispatcher("a", 10)
        self.simulation.advance(50)

    def tearDown(self) -> None:
        self.assertEqual(self.simulation.breaches, [])

    def sign_off(self, born_ms: int = 0) -> None:
        gone = messages.EndpointGone(NAME, born_ms)
        self.simulation.run(self.dispatcher, self.dispatcher.on_endpoint_gone(gone))

    def announce(self, state: messages.EndpointState) -> None:
        announcement = self.endpoint.build_announcement(state)
        produced = self.dispatcher.on_announcement(announcement)
        self.simulation.run(self.dispatcher, produced)

    def submit(self, work_ms: int) -> None:
        for number in range(8):
            self.simulation.submit(self.dispatcher, f"j{number}", work_ms=work_ms)
        self.simulation.advance(20)
        self.assertTrue(self.endpoint.running_attempts)

    def count_starts(self) -> int:
        return sum(name == NAME for _, name, _ in self.simulation.starts)

    def test_late_sign_off_starts_no_task_that_still_runs(self) -> None:
        """The former incarnation sent it; a frozen process passed it on late."""
        self.submit(work_ms=700)
        self.sign_off()
        self.simulation.advance(1_500)
        self.assertEqual(len(self.simulation.starts), 8)

    def test_late_sign_off_while_the_next_incarnation_drains_starts_no_task(
        self,
    ) -> None:
        self.submit(work_ms=700)
        self.announce(messages.EndpointState.LEAVING)
        self.sign_off()
        self.simulation.advance(1_500)
        self.assertEqual(len(self.simulation.starts), 8)

    def test_sign_off_of_a_former_incarnation_is_ignored(self) -> None:
        self.sign_off(born_ms=1)
        self.submit(work_ms=60)
        self.assertTrue(self.count_starts())

    def test_endpoint_that_answers_after_a_late_sign_off_gets_tasks(self) -> None:
        self.sign_off()
        self.simulation.advance(900)
        self.submit(work_ms=60)
        self.assertTrue(self.count_starts())

    def test_endpoint_that_left_is_removed_at_once_without_attempts(self) -> None:
        self.announce(messages.EndpointState.LEAVING)
        self.sign_off()
        self.endpoint.end_process()
        self.assertNotIn(NAME, self.dispatcher.endpoints)

    def test_endpoint_that_left_without_notice_is_removed_soon(self) -> None:
        self.sign_off()
        self.endpoint.end_process()
        self.simulation.advance(700)
        self.assertNotIn(NAME, self.dispatcher.endpoints)

    def test_tasks_of_an_endpoint_that_left_start_after_its_lease(self) -> None:
        """It counts as no crash of the tasks that ran there."""
        self.submit(work_ms=700)
        lost = list(self.endpoint.running_attempts)
        self.sign_off(born_ms=2)
        self.endpoint.end_process()
        self.simulation.advance(2_500)
        ends = [self.simulation.get_outcome(task.partition(".")[0]) for task in lost]
        self.assertEqual(set(ends), {"JobComplete"})
        self.assertEqual(self.simulation.reported_crashes, {})

    def test_late_sign_off_after_a_takeover_starts_no_task_that_still_runs(
        self,
    ) -> None:
        """The successor has not read the lists of the draining endpoint yet."""
        self.submit(work_ms=900)
        running = sorted(self.endpoint.running_attempts)
        for name in self.simulation.endpoints:
            self.simulation.cut_links.add(("a", name))
        self.announce(messages.EndpointState.LEAVING)
        self.simulation.add_endpoint("idle")
        successor = self.simulation.add_dispatcher("b", 11)
        successor.on_speeds("a", self.dispatcher.list_speeds())
        leaving = self.endpoint.build_announcement(messages.EndpointState.LEAVING)
        self.simulation.run(successor, successor.on_announcement(leaving))
        gone = messages.EndpointGone(NAME, 0)
        self.simulation.run(successor, successor.on_endpoint_gone(gone))
        for number in range(8):
            job_id = f"j{number}"
            self.simulation.submit(successor, job_id, 1, 900, attempt_base=100)
        self.simulation.advance(600)
        started = {start.task for _, _, start in self.simulation.starts[8:]}
        self.assertEqual(started & set(running), set())

    def test_standby_that_removes_a_draining_endpoint_still_misses_it(self) -> None:
        """Its dispatcher lists the endpoint, so that a successor waits."""
        standby = self.simulation.add_dispatcher("b", 0)
        standby.on_speeds("a", self.dispatcher.list_speeds())
        leaving = self.endpoint.build_announcement(messages.EndpointState.LEAVING)
        standby.on_announcement(leaving)
        standby.on_endpoint_gone(messages.EndpointGone(NAME, 0))
        known = standby.endpoints.keys()
        self.assertTrue(standby.takeover.predecessors.may_miss_endpoints(("a",), known))

    def test_repeated_sign_off_changes_nothing(self) -> None:
        self.submit(work_ms=700)
        for _ in range(3):
            self.sign_off()
            self.simulation.advance(200)
        self.simulation.advance(1_500)
        self.assertEqual(len(self.simulation.starts), 8)
        self.assertFalse(self.endpoint.is_unresponsive)
        self.assertIn(NAME, self.dispatcher.endpoints)

    def test_sign_off_of_an_unknown_endpoint_is_ignored(self) -> None:
        gone = messages.EndpointGone("unknown", 0)
        self.assertEqual(self.dispatcher.on_endpoint_gone(gone), [])


if __name__ == "__main__":
    unittest.main()
