from __future__ import annotations

import typing
import unittest

from bench.pool import simulation
from knapweedbeam_core.pool import crashes, dispatcher, log_events, messages, shards

Event = typing.TypeVar("Event")


class RecordingSimulation(simulation.Simulation):
    """Keeps what the dispatchers write to the log."""

    def __init__(self) -> None:
        super().__init__()
        self.produced: dispatcher.Effects = []

    def run(self, by: simulation.Dispatching, produced: dispatcher.Effects) -> None:
        """Record the effects, then carry them out."""
        self.produced += produced
        super().run(by, produced)

    def find(self, kind: type[Event]) -> list[Event]:
        """Return the recorded events of a kind."""
        return [each for each in self.produced if isinstance(each, kind)]

    def list_stops(self) -> list[str]:
        """Return the reasons of the recorded stops."""
        return [each.reason for each in self.find(log_events.AttemptStopped)]


class RunReportsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = RecordingSimulation()
        for number in range(4):
            self.world.add_endpoint(f"e{number}")
        self.former = self.world.add_dispatcher("a", 10)
        self.world.advance(50)

    def start_job(self, work_ms: int, count: int = 1) -> None:
        """Let the first dispatcher start a job."""
        self.world.submit(self.former, "j", count, work_ms, patience_ms=20_000)
        self.world.advance(100)

    def cut_off_former(self) -> None:
        """Cut the first dispatcher off from all endpoints."""
        self.world.cut_links |= {("a", name) for name in self.world.endpoints}

    def test_usual_job_writes_no_new_event(self) -> None:
        self.start_job(100, count=6)
        self.world.advance(1_000)
        self.assertEqual(self.world.get_outcome("j"), "JobComplete")
        self.assertEqual(self.world.list_stops(), [])
        self.assertEqual(self.world.find(log_events.AttemptClaimed), [])
        self.assertEqual(self.world.find(log_events.JobTakenOver), [])

    def test_stops_at_the_end_of_a_job_are_not_written(self) -> None:
        self.start_job(900, count=3)
        withdraw = messages.Withdraw("j")
        self.world.run(self.former, self.former.on_withdraw(withdraw))
        self.world.advance(300)
        self.assertEqual(self.world.list_stops(), [])

    def test_placed_tasks_name_shard_token_and_attempts(self) -> None:
        self.former.shard = 3
        self.start_job(100, count=2)
        (placed,) = self.world.find(log_events.TasksPlaced)
        self.assertEqual((placed.shard, placed.fence), (3, 10))
        self.assertEqual(placed.starts, "0.0.0#1 0.0.1#1")
        self.assertEqual(len(placed.endpoints.split()), 2)

    def test_each_shard_knows_its_number(self) -> None:
        owner = shards.ShardedDispatcher("b", simulation.BOUNDS, self.world.clock)
        changes = owner.set_tokens(3, {1: 21, 2: 22})
        self.assertEqual([each.shard for each in owner.dispatchers], [0, 1, 2])
        self.assertEqual(
            [
                (each.shard, each.fence)
                for each in changes
                if isinstance(each, log_events.DispatcherRoleChanged)
            ],
            [(1, 21), (2, 22)],
        )

    def test_lost_endpoint_names_token_clock_lease_and_other_users(self) -> None:
        self.start_job(5_000)
        (start,) = self.world.starts
        self.former.on_speeds(
            "b",
            messages.SpeedsLearned((messages.LearnedSpeed(start[1], 1, 1.0, 1),)),
        )
        self.world.endpoints[start[1]].is_unresponsive = True
        self.world.advance(1_800)
        (lost,) = self.world.find(log_events.EndpointLost)
        self.assertEqual((lost.fence, lost.users, lost.attempts), (10, "b", 1))
        self.assertGreater(lost.reading_age_ms, simulation.LEASE_MS)
        self.assertLess(lost.lease_left_ms, 0)
        self.assertGreater(lost.lease_left_ms, -200)

    def test_endpoint_without_a_reading_has_no_lease(self) -> None:
        self.world.endpoints["e0"].is_unresponsive = True
        made = self.world.add_dispatcher("b", 11)
        silent = made.endpoints["e0"]
        (lost,) = made.remove_endpoint(silent, "silent", crashes.LossCause.UNEXPLAINED)
        assert isinstance(lost, log_events.EndpointLost)
        self.assertEqual((lost.reading_age_ms, lost.lease_left_ms), (-1, 0))
        self.assertEqual(lost.users, "none")

    def test_removed_endpoint_still_names_its_other_users(self) -> None:
        self.former.on_speeds(
            "b", messages.SpeedsLearned((messages.LearnedSpeed("e0", 1, 1.0, 1),))
        )
        known = self.former.endpoints["e0"]
        (lost,) = self.former.remove_endpoint(
            known, "signed off", crashes.LossCause.UNEXPLAINED
        )
        assert isinstance(lost, log_events.EndpointLost)
        self.assertEqual(lost.users, "b")
        lists = self.former.takeover.predecessors
        self.assertEqual(lists.list_users("e0"), [])

    def test_claimed_attempt_names_job_base_former_and_token(self) -> None:
        self.start_job(1_500)
        self.cut_off_former()
        successor = self.world.add_dispatcher("b", 11)
        self.world.advance(60)
        self.world.submit(
            successor, "j", 1, 1_500, attempt_base=100, patience_ms=20_000
        )
        self.world.advance(20)
        (taken,) = self.world.find(log_events.JobTakenOver)
        self.assertEqual((taken.attempt_base, taken.former), (100, "a"))
        self.assertEqual((taken.runs, taken.fence), (1, 11))
        self.assertGreater(taken.wait_ms, 0)
        (claimed,) = self.world.find(log_events.AttemptClaimed)
        self.assertEqual((claimed.task, claimed.number), ("j.0.0.0", 1))
        self.assertEqual((claimed.attempt_base, claimed.former), (100, "a"))
        self.assertEqual((claimed.fence, self.world.list_stops()), (11, []))

    def test_job_that_comes_as_new_while_it_runs_is_written(self) -> None:
        self.start_job(1_500)
        self.cut_off_former()
        successor = self.world.add_dispatcher("b", 11)
        self.world.advance(60)
        self.world.submit(successor, "j", 1, 1_500, patience_ms=20_000)
        (taken,) = self.world.find(log_events.JobTakenOver)
        self.assertEqual((taken.attempt_base, taken.runs), (0, 1))
        self.assertEqual((taken.former, taken.wait_ms), ("none", 0))

    def test_unclaimed_attempt_is_stopped_with_its_reason(self) -> None:
        self.start_job(1_500)
        self.cut_off_former()
        self.world.add_dispatcher("b", 11)
        self.world.advance(600)
        (stopped, *_) = self.world.find(log_events.AttemptStopped)
        self.assertEqual((stopped.task, stopped.number), ("j.0.0.0", 1))
        self.assertEqual((stopped.reason, stopped.fence), ("unclaimed", 11))

    def test_run_of_a_forgotten_term_is_stopped_as_placed_elsewhere(self) -> None:
        self.start_job(5_000)
        (first,) = self.world.starts
        self.former.endpoints[first[1]].attempts.clear()
        self.former.jobs.clear()
        hidden = self.world.endpoints[first[1]].running_attempts.copy()
        self.world.endpoints[first[1]].running_attempts.clear()
        self.world.advance(50)
        self.world.submit(self.former, "j", 1, 5_000, patience_ms=20_000)
        self.world.advance(50)
        self.former.endpoints[first[1]].attempts.clear()
        self.world.endpoints["e3"].running_attempts |= hidden
        self.world.advance(2_000)
        self.assertIn("task is placed elsewhere", self.world.list_stops())

    def test_overdue_task_is_stopped_as_overdue(self) -> None:
        for endpoint in self.world.endpoints.values():
            endpoint.is_hanging = True
        self.world.submit(self.former, "j", 1, 200, patience_ms=60_000)
        self.world.advance(4_000)
        self.assertIn("overdue", self.world.list_stops())

    def test_unanswered_start_is_stopped_as_uncertain(self) -> None:
        for endpoint in self.world.endpoints.values():
            endpoint.start_delay_ms = 5_000
        self.start_job(200)
        self.world.advance(900)
        stops = self.world.list_stops()
        self.assertGreater(len(stops), 1)
        self.assertEqual(set(stops), {"uncertain start"})

    def test_stop_without_effect_is_repeated_with_that_reason(self) -> None:
        self.start_job(5_000)
        (start,) = self.world.starts
        known = self.former.endpoints[start[1]]
        (attempt,) = known.attempts.values()
        tracker = self.former.tracker
        reason = log_events.StopReason.OVERDUE
        first = tracker.stop_attempt(known, attempt, reason)[1]
        second = tracker.stop_attempt(known, attempt, reason)[1]
        assert isinstance(first, log_events.AttemptStopped)
        assert isinstance(second, log_events.AttemptStopped)
        self.assertEqual(first.reason, "overdue")
        self.assertEqual(second.reason, "still runs after a stop")

    def test_repeated_stop_of_an_uncertain_start_does_not_say_that_it_runs(
        self,
    ) -> None:
        self.start_job(5_000)
        (start,) = self.world.starts
        known = self.former.endpoints[start[1]]
        (attempt,) = known.attempts.values()
        for _ in range(2):
            produced = self.former.tracker.stop_attempt(
                known, attempt, log_events.StopReason.UNCERTAIN
            )
            stopped = produced[1]
            assert isinstance(stopped, log_events.AttemptStopped)
            self.assertEqual(stopped.reason, "uncertain start")


if __name__ == "__main__":
    unittest.main()
