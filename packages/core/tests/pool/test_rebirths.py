from __future__ import annotations

import dataclasses
import unittest

from bench.pool import simulation, stored_simulation
from knapweedbeam_core.pool import dispatcher

QUICK_RESTART_MS = 200


class QuickSimulation(stored_simulation.StoredSimulation):
    """Endpoints that crash start again at once, under their id and address."""

    def restart(self, former: simulation.FakeEndpoint) -> None:
        """Do nothing, as `crash` starts the endpoint again."""

    def crash(self, endpoint: simulation.FakeEndpoint, task: str = "") -> None:
        """Crash an endpoint and start its next incarnation soon."""
        if not endpoint.is_unresponsive:
            super().crash(endpoint, task)
            self.schedule_after(QUICK_RESTART_MS, endpoint.revive)
            self.schedule_after(QUICK_RESTART_MS + 10, lambda: announce(self, endpoint))


def announce(world: simulation.Simulation, endpoint: simulation.FakeEndpoint) -> None:
    """Announce an endpoint to all dispatchers."""
    for each in world.dispatchers:
        world.run(each, each.on_announcement(endpoint.build_announcement()))


class RebirthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = QuickSimulation()
        for number in range(4):
            self.world.add_endpoint(f"e{number}")
        self.dispatcher: dispatcher.Dispatcher = self.world.add_dispatcher("a", 10)
        self.world.advance(100)

    def tearDown(self) -> None:
        self.assertEqual(self.world.breaches, [])

    def restart_under_a_start(self, work_ms: int) -> simulation.FakeEndpoint:
        """Restart an endpoint while the start of job `j` is on its way to it."""
        self.world.submit(self.dispatcher, "j", work_ms=work_ms)
        self.world.advance(0)
        used = self.dispatcher.list_endpoints_of_job("j")
        self.assertEqual(self.world.starts, [])
        endpoint = self.world.endpoints[used[0].announcement.endpoint]
        endpoint.end_process()
        endpoint.revive()
        return endpoint

    def check_one_start(self, work_ms: int, announced_after_ms: int) -> None:
        endpoint = self.restart_under_a_start(work_ms)
        self.world.advance(announced_after_ms)
        announce(self.world, endpoint)
        self.world.advance(1_500)
        self.assertEqual(len(self.world.starts), 1)
        self.assertEqual(self.world.get_outcome("j"), "JobComplete")

    def test_start_that_reached_the_next_incarnation_runs_nowhere_else(self) -> None:
        self.check_one_start(work_ms=700, announced_after_ms=50)

    def test_lists_of_the_next_incarnation_before_its_announcement_start_nothing(
        self,
    ) -> None:
        self.check_one_start(work_ms=400, announced_after_ms=250)

    def test_start_that_was_lost_with_the_former_incarnation_is_sent_again(
        self,
    ) -> None:
        self.world.submit(self.dispatcher, "j", work_ms=60)
        while not self.world.starts:
            self.world.advance(1)
        endpoint = self.world.endpoints[self.world.starts[0][1]]
        endpoint.end_process()
        endpoint.revive()
        self.world.advance(20)
        announce(self.world, endpoint)
        self.world.advance(1_000)
        self.assertEqual(self.world.get_outcome("j"), "JobComplete")

    def test_late_announcement_of_the_former_incarnation_is_ignored(self) -> None:
        self.world.submit(self.dispatcher, "j", work_ms=700)
        self.world.advance(50)
        endpoint = self.world.endpoints[self.world.starts[0][1]]
        late = endpoint.build_announcement()
        endpoint.born_ms += 1
        announce(self.world, endpoint)
        starts = len(self.world.starts)
        self.world.run(self.dispatcher, self.dispatcher.on_announcement(late))
        known = self.dispatcher.endpoints[endpoint.name]
        self.assertEqual(known.announcement.born_ms, endpoint.born_ms)
        self.assertEqual(len(self.world.starts), starts)

    def test_start_of_a_job_that_ends_with_the_restart_is_stopped(self) -> None:
        """The listed task was the second one lost, so that its job is given up."""
        self.world.submit(self.dispatcher, "j", work_ms=900)
        self.world.advance(100)
        (task,) = self.dispatcher.jobs["j"].tasks[0]
        task.history.crashes[99] = True
        name = self.world.starts[0][1]
        for other in self.world.endpoints:
            if other != name:
                self.world.cut_links.add(("a", other))
        self.world.advance(400)
        endpoint = self.world.endpoints[name]
        attempt = self.dispatcher.endpoints[name].attempts[task.name]
        unlisted = dataclasses.replace(attempt, task="j.0.0.9", is_listed=False)
        self.dispatcher.endpoints[name].add(unlisted)
        endpoint.end_process()
        endpoint.revive()
        announce(self.world, endpoint)
        self.assertEqual(self.world.get_outcome("j"), "JobFailed")
        known = self.dispatcher.endpoints[name].attempts["j.0.0.9"]
        self.assertTrue(known.is_unwanted)

    def test_crashes_before_the_first_list_are_counted(self) -> None:
        """Else a deadly task would crash endpoints that return at once without end."""
        self.world.deadly_tasks.add("j.0.0.0")
        self.world.store_job("j", (stored_simulation.build_step(1),))
        self.world.advance(20_000)
        self.assertEqual(len(self.world.crashes), 2)
        self.assertEqual(self.world.get_state("j"), "failed")


if __name__ == "__main__":
    unittest.main()
