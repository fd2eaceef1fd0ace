from __future__ import annotations

import unittest
import unittest.mock

import msgspec

from bench.pool import simulation, stored_simulation
from knapweedbeam_core.pool import calls, messages
from knapweedbeam_core.stored import commands, ledger


class StoredSchedulerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = stored_simulation.StoredSimulation()
        for number in range(4):
            self.world.add_endpoint(f"e{number}")
        self.dispatcher = self.world.add_dispatcher("a", 10)
        self.world.advance(100)

    def tearDown(self) -> None:
        self.assertEqual(self.world.breaches, [])

    def get_starts(self, job_id: str) -> list[calls.Start]:
        return [
            start
            for _, _, start in self.world.starts
            if start.task.startswith(job_id + ".")
        ]

    def get_attempt_numbers(self, job_id: str) -> list[int]:
        return [start.number for start in self.get_starts(job_id)]

    def test_a_job_is_complete_once_the_log_has_all_of_its_ends(self) -> None:
        self.world.store_job("j", (stored_simulation.build_step(3),))
        self.world.advance(70)
        self.assertEqual(self.world.get_state("j"), "queued")
        self.world.advance(100)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertEqual(self.get_attempt_numbers("j"), [1, 1, 1])

    def test_a_step_waits_for_its_dependencies(self) -> None:
        steps = (
            stored_simulation.build_step(3),
            stored_simulation.build_step(2),
            stored_simulation.build_step(2, depends_on=(0, 1)),
        )
        self.world.store_job("j", steps)
        self.world.advance(400)
        self.assertEqual(self.world.get_state("j"), "complete")
        tasks = [start.task for start in self.get_starts("j")]
        self.assertEqual(sorted(tasks[-2:]), ["j.0.2.0", "j.0.2.1"])

    def test_an_end_is_acknowledged_only_when_the_log_has_it(self) -> None:
        self.world.store_job("j", (stored_simulation.build_step(1, estimate_ms=200),))
        self.world.advance(60)
        self.world.cut_from_log.add("a")
        self.world.advance(700)
        self.assertEqual(self.world.get_state("j"), "queued")
        ends = [end.task for e in self.world.endpoints.values() for end in e.ended]
        self.assertEqual(ends, ["j.0.0.0"])
        self.world.cut_from_log.clear()
        self.world.advance(900)
        self.assertEqual(self.world.get_state("j"), "complete")
        ends = [end.task for e in self.world.endpoints.values() for end in e.ended]
        self.assertEqual(ends, [])

    def test_an_end_is_recorded_after_its_endpoint_is_gone(self) -> None:
        self.world.store_job("j", (stored_simulation.build_step(1, estimate_ms=200),))
        self.world.advance(60)
        self.world.cut_from_log.add("a")
        self.world.advance(300)
        (used,) = {name for _, name, _ in self.world.starts}
        self.world.endpoints[used].crash()
        restarted = self.world.add_endpoint(used)
        restarted.born_ms = 2
        announcement = restarted.build_announcement()
        self.world.run(self.dispatcher, self.dispatcher.on_announcement(announcement))
        self.world.advance(500)
        self.world.cut_from_log.clear()
        self.world.advance(1_500)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertEqual(self.get_attempt_numbers("j"), [1])

    def test_a_successor_learns_unrecorded_ends_from_the_endpoints(self) -> None:
        self.world.store_job("j", (stored_simulation.build_step(6),), work_ms=300)
        self.world.advance(150)
        self.world.cut_from_log.add("a")
        self.world.advance(400)
        self.world.add_dispatcher("b", 11)
        self.world.advance(1_000)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertEqual(self.get_attempt_numbers("j"), [1] * 6)

    def test_task_that_failed_on_each_endpoint_with_its_label_is_started_again(
        self,
    ) -> None:
        for name in ("e0", "e1"):
            self.world.endpoints[name].rack = "r2"
            self.world.endpoints[name].is_failing = True
            announcement = self.world.endpoints[name].build_announcement()
            self.world.run(
                self.dispatcher, self.dispatcher.on_announcement(announcement)
            )
        step = stored_simulation.build_step(1, required_label="r2")
        self.world.store_job("j", (step,), max_attempts=4)
        self.world.advance(1_000)
        self.assertEqual(self.get_attempt_numbers("j"), [1, 2])
        for endpoint in self.world.endpoints.values():
            endpoint.is_failing = False
        self.world.advance(3_000)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertEqual(self.get_attempt_numbers("j"), [1, 2, 3])

    def test_successor_counts_the_failures_that_it_finds_at_endpoints(self) -> None:
        for endpoint in self.world.endpoints.values():
            endpoint.is_failing = True
        step = stored_simulation.build_step()
        self.world.store_job("j", (step,), max_attempts=2)
        self.world.advance(13)
        self.world.cut_from_log.add("a")
        self.world.advance(400)
        self.assertEqual(self.get_attempt_numbers("j"), [1, 2])
        self.world.run(self.dispatcher, self.dispatcher.set_fence(0))
        second = self.world.add_dispatcher("b", 0)
        second.stored_scheduler.has_stored_jobs = True
        self.world.run(second, second.set_fence(11))
        self.world.advance(7_000)
        self.assertEqual(self.world.get_state("j"), "failed")
        self.assertEqual(self.get_attempt_numbers("j"), [1, 2])

    def test_job_whose_starts_are_refused_counts_as_waiting(self) -> None:
        refusing = unittest.mock.patch.object(
            simulation.FakeEndpoint, "start", return_value=calls.Verdict.UNHEALTHY
        )
        with refusing as start:
            self.world.store_job("j", (stored_simulation.build_step(),), work_ms=500)
            self.world.advance(200)
            start.assert_called()
        scheduler = self.dispatcher.stored_scheduler
        self.assertEqual(scheduler.count_waiting("queue"), 1)
        self.world.advance(5_000)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertEqual(scheduler.count_waiting("queue"), 0)

    def pile_up_ends(self) -> None:
        """Let one endpoint have more ends than it lists, without a log."""
        self.world.cut_from_log.add("a")
        for name in ("e1", "e2", "e3"):
            self.world.cut_links.add(("a", name))
        step = stored_simulation.build_step(600, cpu_millis=50, memory_mib=1)
        self.world.store_job("j", (step,), work_ms=400)
        self.world.cut_from_log.clear()
        self.world.advance(300)
        self.world.cut_from_log.add("a")
        self.world.advance(2_000)

    def test_task_whose_end_is_not_listed_for_now_is_not_started_again(self) -> None:
        self.pile_up_ends()
        self.world.cut_from_log.clear()
        self.world.advance(3_000)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertEqual(self.get_attempt_numbers("j"), [1] * 600)

    def test_successor_waits_for_the_ends_that_are_not_listed_for_now(self) -> None:
        self.pile_up_ends()
        self.world.add_dispatcher("b", 11)
        self.world.advance(3_000)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertEqual(self.get_attempt_numbers("j"), [1] * 600)

    def test_ends_of_a_replaced_dispatcher_are_ignored(self) -> None:
        self.world.store_job("j", (stored_simulation.build_step(2),), work_ms=400)
        self.world.advance(100)
        second = self.world.add_dispatcher("b", 11)
        self.world.advance(100)
        self.assertEqual(self.world.ledger.state.fence, 11)
        self.assertFalse(self.dispatcher.stored_scheduler.term)
        self.world.advance(1_500)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertEqual(second.stored_scheduler.term, 2)

    def test_attempt_numbers_of_a_successor_are_higher(self) -> None:
        self.world.store_job("j", (stored_simulation.build_step(1),), work_ms=400)
        self.world.advance(100)
        for endpoint in list(self.world.endpoints.values()):
            endpoint.crash()
            restarted = self.world.add_endpoint(endpoint.name)
            restarted.born_ms = 2
        self.world.run(self.dispatcher, self.dispatcher.set_fence(0))
        self.world.add_dispatcher("b", 11)
        self.world.advance(7_000)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertEqual(self.get_attempt_numbers("j"), [1, 1_001])

    def test_a_dispatcher_without_contact_to_the_log_stops_its_jobs(self) -> None:
        step = stored_simulation.build_step(2, estimate_ms=9_000)
        self.world.store_job("j", (step,), work_ms=9_000)
        self.world.advance(100)
        self.world.cut_from_log.add("a")
        self.world.advance(3_200)
        self.assertFalse(any(e.running_attempts for e in self.world.endpoints.values()))
        self.world.cut_from_log.clear()
        self.world.work_ms["j"] = 100
        self.world.advance(1_000)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertEqual(self.get_attempt_numbers("j"), [1, 1, 2, 2])

    def test_a_partitioned_dispatcher_restarts_no_task_that_its_successor_saw_end(
        self,
    ) -> None:
        step = stored_simulation.build_step(2, estimate_ms=500)
        self.world.store_job("j", (step,), work_ms=500)
        self.world.advance(100)
        (used,) = {name for _, name, _ in self.world.starts}
        self.world.cut_from_log.add("a")
        self.world.cut_links.add(("a", used))
        second = self.world.add_dispatcher("b", 11)
        self.world.cut_links |= {("b", n) for n in self.world.endpoints if n != used}
        self.world.advance(2_500)
        self.assertEqual(second.stored_scheduler.term, 2)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertEqual(self.get_attempt_numbers("j"), [1, 1])

    def test_lost_tasks_are_restarted_once_the_log_confirms(self) -> None:
        step = stored_simulation.build_step(2, estimate_ms=500)
        self.world.store_job("j", (step,), work_ms=500)
        self.world.advance(100)
        (used,) = {name for _, name, _ in self.world.starts}
        self.world.endpoints[used].crash()
        self.world.advance(2_000)
        self.assertEqual(self.world.get_state("j"), "complete")
        self.assertEqual(self.get_attempt_numbers("j"), [1, 1, 2, 2])

    def test_a_task_that_fails_too_often_fails_its_job(self) -> None:
        for endpoint in self.world.endpoints.values():
            endpoint.is_failing = True
        self.world.store_job("j", (stored_simulation.build_step(1),), max_attempts=2)
        self.world.advance(500)
        self.assertEqual(self.world.get_state("j"), "failed")
        self.assertEqual(self.get_attempt_numbers("j"), [1, 2])

    def test_a_cancelled_job_is_stopped(self) -> None:
        self.world.store_job("j", (stored_simulation.build_step(2),), work_ms=5_000)
        self.world.advance(100)
        self.world.cancel("j")
        self.world.advance(150)
        self.assertEqual(self.world.get_state("j"), "cancelled")
        self.assertFalse(any(e.running_attempts for e in self.world.endpoints.values()))

    def test_a_job_submitted_twice_runs_once(self) -> None:
        for _ in range(2):
            self.world.store_job("j", (stored_simulation.build_step(2),))
            self.world.advance(200)
        self.assertEqual(self.get_attempt_numbers("j"), [1, 1])
        self.assertEqual(self.world.get_state("j"), "complete")

    def test_occurrences_begin_when_they_are_due(self) -> None:
        step = stored_simulation.build_step(1)
        kept_ms = self.world.now_ms
        self.world.store_job(
            "j", (step,), repeat_count=3, interval_ms=400, start_in_ms=500
        )
        self.world.advance(3_000)
        times = [
            when_ms - kept_ms
            for when_ms, _, start in self.world.starts
            if start.task.startswith("j.")
        ]
        self.assertEqual(len(times), 3)
        for time_ms, due_ms in zip(times, (500, 900, 1_300), strict=True):
            self.assertTrue(due_ms <= time_ms <= due_ms + 60, times)
        tasks = [start.task for start in self.get_starts("j")]
        self.assertEqual(tasks, ["j.0.0.0", "j.1.0.0", "j.2.0.0"])
        self.assertEqual(self.world.get_state("j"), "complete")

    def test_waiting_jobs_are_counted(self) -> None:
        wide = stored_simulation.build_step(8, cpu_millis=60_000)
        self.world.store_job("j", (wide,), work_ms=800)
        self.world.store_job("k", (wide,), work_ms=800)
        self.world.advance(200)
        self.assertEqual(self.dispatcher.stored_scheduler.count_waiting("queue"), 1)
        self.assertEqual(self.dispatcher.stored_scheduler.count_waiting("other"), 0)


class KindsOfStepsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = stored_simulation.StoredSimulation()
        for number in range(6):
            endpoint = self.world.add_endpoint(f"e{number}")
            endpoint.rack = f"r{number % 2}"
        self.dispatcher = self.world.add_dispatcher("a", 10)
        self.world.advance(100)

    def tearDown(self) -> None:
        self.assertEqual(self.world.breaches, [])

    def keep(self, job_id: str, count: int, work_ms: int = 60, **more: object) -> None:
        step = stored_simulation.build_step(count, **more)
        self.world.store_job(job_id, (step,), work_ms)

    def get_endpoints(self, job_id: str) -> list[str]:
        prefix = job_id + "."
        return [
            name
            for _, name, start in self.world.starts
            if start.task.startswith(prefix)
        ]

    def test_a_gang_starts_all_tasks_or_none(self) -> None:
        self.keep("b", 10, work_ms=500, estimate_ms=500)
        self.world.advance(100)
        self.keep("g", 4, work_ms=100, is_gang=True)
        self.world.advance(200)
        self.assertEqual(self.get_endpoints("g"), [])
        self.world.advance(1_000)
        starts = [
            start for _, _, start in self.world.starts if start.task.startswith("g.")
        ]
        self.assertEqual({start.number for start in starts}, {1})
        self.assertEqual(len(starts), 4)
        self.assertEqual(self.world.get_state("g"), "complete")

    def test_a_gang_that_loses_a_task_restarts_with_one_attempt_number(self) -> None:
        self.keep("g", 3, work_ms=3_000, is_gang=True, estimate_ms=3_000)
        self.world.advance(100)
        used = self.get_endpoints("g")
        self.world.endpoints[used[0]].crash()
        self.world.work_ms["g"] = 100
        self.world.advance(3_000)
        starts = [
            start for _, _, start in self.world.starts if start.task.startswith("g.")
        ]
        self.assertEqual(sorted(start.number for start in starts), [1, 1, 1, 2, 2, 2])
        self.assertEqual(self.world.get_state("g"), "complete")

    def test_a_gang_with_two_tasks_on_an_endpoint_that_signs_off_restarts(self) -> None:
        self.keep("g", 3, work_ms=3_000, is_gang=True, estimate_ms=3_000)
        self.world.advance(100)
        used = self.get_endpoints("g")
        name = max(used, key=used.count)
        self.assertGreater(used.count(name), 1)
        self.world.endpoints[name].crash()
        by = self.world.dispatchers[0]
        gone = messages.EndpointGone(name, self.world.endpoints[name].born_ms)
        self.world.run(by, by.on_endpoint_gone(gone))
        self.world.work_ms["g"] = 100
        self.world.advance(3_000)
        self.assertEqual(self.world.get_state("g"), "complete")

    def test_rack_local_tasks_share_a_rack(self) -> None:
        self.keep("j", 4, work_ms=300, is_rack_local=True)
        self.world.advance(200)
        racks = {self.world.endpoints[name].rack for name in self.get_endpoints("j")}
        self.assertEqual(len(racks), 1)

    def test_tasks_go_to_the_rack_of_their_data(self) -> None:
        dispatcher = self.dispatcher
        dispatcher.bounds = stored_simulation.simulation.BOUNDS.__class__(
            1_000, 50, 1_500, 3.0
        )
        self.keep("j", 3, work_ms=300, estimate_ms=300, data_rack="r1")
        self.world.advance(200)
        racks = {self.world.endpoints[name].rack for name in self.get_endpoints("j")}
        self.assertEqual(racks, {"r1"})

    def test_lasting_tasks_are_restarted_however_they_end(self) -> None:
        self.keep("l", 2, work_ms=400, is_lasting=True)
        self.world.advance(3_000)
        self.assertGreaterEqual(len(self.get_endpoints("l")), 10)
        self.assertEqual(self.world.get_state("l"), "queued")
        self.world.cancel("l")
        self.world.advance(200)
        self.assertFalse(any(e.running_attempts for e in self.world.endpoints.values()))

    def test_lasting_tasks_move_off_a_leaving_endpoint(self) -> None:
        self.keep("l", 1, work_ms=60_000, is_lasting=True)
        self.world.advance(100)
        (first,) = self.get_endpoints("l")
        announcement = self.world.endpoints[first].build_announcement(
            messages.EndpointState.LEAVING
        )
        self.world.run(self.dispatcher, self.dispatcher.on_announcement(announcement))
        self.world.advance(200)
        used = self.get_endpoints("l")
        self.assertEqual(len(used), 2)
        self.assertNotEqual(used[1], first)

    def test_a_task_resumes_from_its_saved_progress(self) -> None:
        self.keep("j", 1, work_ms=5_000, keeps_progress=True, estimate_ms=5_000)
        self.world.advance(100)
        (used,) = self.get_endpoints("j")
        self.world.endpoints[used].saved_progress["j.0.0.0"] = "half"
        self.world.advance(400)
        self.world.endpoints[used].crash()
        self.world.work_ms["j"] = 100
        self.world.advance(2_500)
        starts = [
            start for _, _, start in self.world.starts if start.task.startswith("j.")
        ]
        self.assertEqual([start.progress for start in starts], ["", "half"])
        self.assertEqual(self.world.get_state("j"), "complete")

    def test_filling_tasks_use_the_half_without_serving_tasks(self) -> None:
        self.keep("s", 3, 60_000, is_lasting=True, target_ms=50, max_per_endpoint=1)
        self.world.advance(100)
        serving = self.get_endpoints("s")
        self.keep("f", 2, is_filling=True)
        self.world.advance(500)
        self.assertEqual(self.world.get_state("f"), "complete")
        self.assertEqual(set(self.get_endpoints("f")) & set(serving), set())

    def test_filling_tasks_use_the_half_with_their_label(self) -> None:
        self.world.endpoints["e5"].rack = "r9"
        announcement = self.world.endpoints["e5"].build_announcement()
        self.world.run(self.dispatcher, self.dispatcher.on_announcement(announcement))
        self.keep("f", 2, is_filling=True, required_label="r9")
        self.world.advance(500)
        self.assertEqual(self.get_endpoints("f"), ["e5", "e5"])

    def test_lasting_rack_local_tasks_leave_a_rack_without_room(self) -> None:
        self.keep("l", 6, work_ms=60_000, is_lasting=True, is_rack_local=True)
        self.world.advance(200)
        used = self.get_endpoints("l")
        racks = {self.world.endpoints[name].rack for name in used}
        self.assertEqual((len(used), len(racks)), (6, 1))
        self.world.endpoints[used[0]].crash()
        self.world.advance(2_500)
        later = self.get_endpoints("l")[6:]
        self.assertEqual(len(later), 2)
        self.assertTrue(racks.isdisjoint({self.world.endpoints[n].rack for n in later}))

    def test_filling_and_serving_tasks_use_separate_endpoints(self) -> None:
        self.keep("f", 6, work_ms=60_000, is_lasting=True, is_filling=True)
        self.world.advance(100)
        self.keep("s", 3, work_ms=60_000, is_lasting=True, target_ms=50)
        self.world.advance(200)
        filling, serving = self.get_endpoints("f"), self.get_endpoints("s")
        self.assertEqual((len(filling), len(serving)), (6, 3))
        self.assertEqual(set(filling) & set(serving), set())


if __name__ == "__main__":
    unittest.main()


class CrashingTaskTest(unittest.TestCase):
    """Stored jobs with a task that crashes each endpoint that starts it."""

    def setUp(self) -> None:
        self.world = stored_simulation.StoredSimulation()
        for number in range(8):
            self.world.add_endpoint(f"e{number}")
        self.dispatcher = self.world.add_dispatcher("a", 10)
        self.world.deadly_tasks.add("j.0.0.0")
        self.world.advance(100)

    def tearDown(self) -> None:
        self.assertEqual(self.world.breaches, [])

    def test_stored_task_that_crashed_two_endpoints_is_given_up(self) -> None:
        self.world.store_job("j", (stored_simulation.build_step(3),))
        self.world.advance(30_000)
        self.assertEqual(len(self.world.crashes), 2)
        self.assertEqual(self.world.get_state("j"), "failed")

    def test_crashes_are_counted_over_a_change_of_dispatcher(self) -> None:
        self.world.store_job("j", (stored_simulation.build_step(3),))
        while not self.world.crashes:
            self.world.advance(20)
        self.world.advance(1_500)
        self.world.run(self.dispatcher, self.dispatcher.set_fence(0))
        self.world.add_dispatcher("b", 11, known_endpoints=self.list_live())
        self.world.advance(30_000)
        self.assertLessEqual(len(self.world.crashes), 3)
        self.assertEqual(self.world.get_state("j"), "failed")

    def list_live(self) -> list[str]:
        return [
            name
            for name, endpoint in self.world.endpoints.items()
            if not endpoint.is_unresponsive
        ]

    def test_crashes_are_counted_over_a_loss_of_all_power(self) -> None:
        self.world.store_job("j", (stored_simulation.build_step(3),))
        while not self.world.crashes:
            self.world.advance(20)
        self.world.advance(1_500)
        self.world.run(self.dispatcher, self.dispatcher.set_fence(0))
        state = commands.ENCODER.encode(self.world.ledger.state)
        self.world.ledger = ledger.Ledger()
        self.world.ledger.restore(msgspec.msgpack.decode(state, type=ledger.State))
        crashed = len(self.world.crashes)
        self.world.add_dispatcher("b", 11, known_endpoints=self.list_live())
        self.world.advance(30_000)
        self.assertLessEqual(len(self.world.crashes), crashed + 1)
        self.assertEqual(self.world.get_state("j"), "failed")

    def test_crash_that_the_log_lacks_holds_the_next_start_back(self) -> None:
        self.world.store_job("j", (stored_simulation.build_step(1),))
        while not self.world.crashes:
            self.world.advance(5)
        self.world.advance(200)
        self.world.cut_from_log.add("a")
        self.world.advance(2_500)
        self.assertEqual(len(self.world.crashes), 1)
        self.world.cut_from_log.clear()
        self.world.advance(10_000)
        self.assertEqual(len(self.world.crashes), 2)
        self.assertEqual(self.world.get_state("j"), "failed")

    def test_crash_is_retracted_when_the_endpoint_answers_again(self) -> None:
        """A partition that resets connections looks like a crash."""
        self.world.deadly_tasks.clear()
        step = stored_simulation.build_step(1, estimate_ms=4_000)
        self.world.store_job("j", (step,), work_ms=4_000)
        self.world.advance(300)
        cut_off = self.world.endpoints[self.world.starts[-1][1]]
        cut_off.end_process()
        self.world.advance(1_500)
        entry = self.world.ledger.entries["j"]
        self.assertEqual(entry.crashes, {"0.0.0": {1: True}})
        cut_off.is_unresponsive = cut_off.has_ended = False
        self.world.advance(500)
        self.assertEqual(entry.crashes, {"0.0.0": {}})
        self.world.advance(5_000)
        self.assertEqual(self.world.get_state("j"), "complete")

    def test_two_cuts_that_refuse_connections_do_not_end_a_job(self) -> None:
        self.world.deadly_tasks.clear()
        step = stored_simulation.build_step(1, estimate_ms=2_000)
        self.world.store_job("j", (step,), work_ms=2_000)
        cut_off = []
        for starts in (1, 2):
            while len(self.world.starts) < starts:
                self.world.advance(20)
            self.world.advance(400)
            cut_off.append(self.world.endpoints[self.world.starts[-1][1]])
            cut_off[-1].end_process()
        self.world.advance(2_000)
        self.assertEqual(len(self.world.starts), 2)
        for endpoint in cut_off:
            endpoint.is_unresponsive = endpoint.has_ended = False
        self.world.advance(6_000)
        self.assertEqual(self.world.get_state("j"), "complete")

    def play_two_cuts(self, is_refusing: bool) -> list[simulation.FakeEndpoint]:
        """Cut off the endpoints of a task's first two runs and return them."""
        self.world.deadly_tasks.clear()
        step = stored_simulation.build_step(1, estimate_ms=2_000)
        self.world.store_job("j", (step,), work_ms=2_000)
        cut_off = []
        for starts in (1, 2):
            while len(self.world.starts) < starts:
                self.world.advance(20)
            self.world.advance(400)
            cut_off.append(self.world.endpoints[self.world.starts[-1][1]])
            cut_off[-1].cut_off(is_refusing)
        self.world.advance(2_000)
        return cut_off

    def test_two_cuts_of_any_length_do_not_end_a_job(self) -> None:
        """Guards against cuts that count as crashes once they last for long."""
        for is_refusing in (True, False):
            with self.subTest(is_refusing=is_refusing):
                self.setUp()
                self.play_two_cuts(is_refusing)
                self.world.advance(15_000)
                self.assertEqual(self.world.get_state("j"), "complete")

    def test_cuts_that_end_after_a_change_of_dispatcher_are_retracted(self) -> None:
        """Guards against a suspicion that the next dispatcher cannot take back."""
        cut_off = self.play_two_cuts(is_refusing=True)
        entry = self.world.ledger.entries["j"]
        self.assertEqual(entry.crashes, {"0.0.0": {1: True, 2: True}})
        self.world.run(self.dispatcher, self.dispatcher.set_fence(0))
        self.world.add_dispatcher("b", 11)
        self.world.advance(1_000)
        for endpoint in cut_off:
            endpoint.is_unresponsive = endpoint.has_ended = False
        self.world.advance(1_000)
        self.assertEqual(entry.crashes, {"0.0.0": {}})
        self.world.advance(10_000)
        self.assertEqual(self.world.get_state("j"), "complete")

    def test_change_of_dispatcher_does_not_begin_the_wait_for_a_cut_anew(self) -> None:
        """Guards against a job that waits longer with each change of dispatcher."""
        self.play_two_cuts(is_refusing=True)
        self.world.advance(6_000)
        self.world.run(self.dispatcher, self.dispatcher.set_fence(0))
        self.world.add_dispatcher("b", 11)
        self.world.advance(8_500)
        self.assertEqual(self.world.get_state("j"), "complete")

    def test_endpoint_that_announces_itself_but_refuses_calls_holds_no_job_back(
        self,
    ) -> None:
        """Guards against a task that waits for as long as a cut one way lasts."""
        cut_off = self.play_two_cuts(is_refusing=True)
        for _ in range(10):
            self.world.advance(1_500)
            for endpoint in cut_off:
                announcement = endpoint.build_announcement()
                self.world.run(
                    self.dispatcher, self.dispatcher.on_announcement(announcement)
                )
        self.assertEqual(self.world.get_state("j"), "complete")

    def test_lasting_task_that_crashes_endpoints_after_some_time_is_given_up(
        self,
    ) -> None:
        step = stored_simulation.build_step(1, is_lasting=True)
        with unittest.mock.patch.object(simulation, "CRASH_DELAY_MS", 1_500):
            self.world.store_job("j", (step,), work_ms=100_000)
            self.world.advance(40_000)
        self.assertEqual(len(self.world.crashes), 3)
        self.assertEqual(self.world.get_state("j"), "failed")

    def replace_after_a_crash_without_the_log(self) -> None:
        """Let the dispatcher see a crash while it is cut from the log, then stop it."""
        self.world.store_job("j", (stored_simulation.build_step(1),))
        while not self.world.crashes:
            self.world.advance(5)
        self.world.cut_from_log.add("a")
        self.world.advance(1_500)
        self.world.run(self.dispatcher, self.dispatcher.set_fence(0))

    def test_replaced_dispatcher_records_a_crash_that_it_saw_without_the_log(
        self,
    ) -> None:
        self.replace_after_a_crash_without_the_log()
        self.world.cut_from_log.clear()
        self.world.add_dispatcher("b", 11, known_endpoints=self.list_live())
        self.world.advance(30_000)
        self.assertEqual(len(self.world.crashes), 2)
        self.assertEqual(self.world.get_state("j"), "failed")

    def test_crash_that_a_predecessor_records_late_counts_for_its_successor(
        self,
    ) -> None:
        self.replace_after_a_crash_without_the_log()
        live = self.list_live()
        successor = self.world.add_dispatcher("b", 11, known_endpoints=live)
        self.world.advance(40)
        self.world.cut_from_log.clear()
        self.world.advance(600)
        (task,) = successor.jobs["j"].tasks[0]
        self.assertEqual(task.history.crashes, {1: True})


class NextIncarnationTest(unittest.TestCase):
    def test_task_that_the_next_incarnation_has_done_is_not_started_again(self) -> None:
        """The start was on its way when the endpoint restarted under the same id."""
        world = stored_simulation.StoredSimulation()
        endpoint = world.add_endpoint("e0")
        world.add_dispatcher("a", 10)
        world.advance(100)
        world.store_job("j", (stored_simulation.build_step(6),))
        world.advance(1_000)
        self.assertEqual(world.get_state("j"), "complete")
        world.store_job("k", (stored_simulation.build_step(1),))
        while not world.dispatchers[0].endpoints["e0"].attempts:
            world.advance(1)
        endpoint.end_process()
        endpoint.revive()
        world.advance(300)
        world.run(
            world.dispatchers[0],
            world.dispatchers[0].on_announcement(endpoint.build_announcement()),
        )
        world.advance(2_000)
        self.assertEqual(world.get_state("k"), "complete")
        starts = [start for _, _, start in world.starts if start.task == "k.0.0.0"]
        self.assertEqual(len(starts), 1)
