"""Each check of the simulated histories detects a dispatcher with that fault."""

from __future__ import annotations

import unittest
from unittest import mock

from bench import dispatch_world
from dispatch import test_histories
from knapweedbeam_core import effects, outcomes, reasons
from knapweedbeam_core.dispatch import dispatcher, intake, task_ends
from knapweedbeam_core.slots import allocation, held, kept, lease_times

SECOND = 1_000


def grant_too_many(self: kept.KeptEndpoint, now_ms: int) -> int:
    return max(0, self.capacity + 2 - self.leased_slots)


def never_expire(sent_ms: int, stalest_ms: int) -> int:
    return held.FOREVER_MS


def retry_failed_task(
    self: task_ends.TaskEndHandler,
    run: object,
    running: object,
    end: effects.TaskEnd,
    reason: reasons.Reason,
) -> None:
    self.retry_task(run, running.endpoint, end.task.index, reason)  # type: ignore


def report_not_run(run: object, reason: reasons.Reason) -> outcomes.Outcome:
    return outcomes.NotRun(reason)


def ignore_shares(self: dispatcher.Dispatcher, service: str) -> None:
    """Leave the members' weights as they are."""


class TestBrokenVariants(unittest.TestCase):
    def run_jobs(self, **changes: object) -> dispatch_world.World:
        world = test_histories.build(7, **changes)
        test_histories.feed(world, 6, per_s=40)
        world.run(world.now + 20 * SECOND)
        return world

    def test_unmodified_dispatcher_passes_all_checks(self) -> None:
        world = self.run_jobs()
        self.assertEqual((world.breaches, world.get_over()), ([], 0))

    def test_granting_too_many_slots_is_detected(self) -> None:
        with mock.patch.object(kept.KeptEndpoint, "get_free", grant_too_many):
            self.assertGreater(self.run_jobs().get_over(), 0)

    def test_second_start_is_detected(self) -> None:
        with mock.patch.object(
            task_ends.TaskEndHandler, "handle_failure", retry_failed_task
        ):
            world = test_histories.build(7)
            world.endpoints["e0"].failing = True
            test_histories.feed(world, 3)
            world.run(world.now + 8 * SECOND)
        self.assertTrue(any("started twice" in breach for breach in world.breaches))

    def test_false_not_run_is_detected(self) -> None:
        with mock.patch.object(intake, "get_early_outcome", report_not_run):
            world = test_histories.build(7)
            record = world.submit("d0v0", "m0", (300.0,) * 9)
            world.run(world.now + 50)
            run = world.processes["d0v0"]
            world.carry(run, run.dispatcher.cancel(record.job.ticket))
        self.assertTrue(any("not run" in breach for breach in world.breaches))

    def test_start_after_leaving_is_detected(self) -> None:
        with (
            mock.patch.object(lease_times, "get_holder_end_ms", never_expire),
            mock.patch.object(lease_times, "UNRESPONSIVE_MS", 60 * SECOND),
            mock.patch.object(lease_times, "ENDPOINT_LEASE_MS", 60 * SECOND),
        ):
            world = test_histories.build(7)
            test_histories.feed(world, 8, per_s=40)
            endpoint = world.endpoints["e0"]
            world.isolate(endpoint)
            world.leave("e0")
            leave_ms = world.now
            world.run(leave_ms + 8 * SECOND)
        limit_ms = leave_ms + test_histories.LAST_START_MS
        self.assertGreater(endpoint.last_start_ms, limit_ms)

    def test_unfair_split_is_detected(self) -> None:
        with (
            mock.patch.object(dispatcher.Dispatcher, "shares_changed", ignore_shares),
            mock.patch.object(allocation, "SCARCE_MS", 60 * SECOND),
            self.assertRaises(AssertionError),
        ):
            test_histories.TestFairness().test_equal_standing_over_entry_vms()
