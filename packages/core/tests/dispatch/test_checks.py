"""Each check of the histories catches a dispatcher that breaks its promise."""

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


def use_forever(sent_ms: int, stalest_ms: int) -> int:
    return held.FOREVER_MS


def run_again(
    self: task_ends.TaskEndHandler,
    run: object,
    running: object,
    end: effects.TaskEnd,
    reason: reasons.Reason,
) -> None:
    self.retry_task(run, running.endpoint, end.task.index, reason)  # type: ignore


def deny(run: object, reason: reasons.Reason) -> outcomes.Outcome:
    return outcomes.NotRun(reason)


def weigh_alike(self: dispatcher.Dispatcher, service: str) -> None:
    """Ignore the members' parts."""


class TestBrokenVariants(unittest.TestCase):
    def run_load(self, **changes: object) -> dispatch_world.World:
        world = test_histories.build(7, **changes)
        test_histories.feed(world, 6, per_s=40)
        world.run(world.now + 20 * SECOND)
        return world

    def test_sound_dispatcher_breaks_nothing(self) -> None:
        world = self.run_load()
        self.assertEqual((world.breaches, world.get_over()), ([], 0))

    def test_granting_too_many_slots_is_seen(self) -> None:
        with mock.patch.object(kept.KeptEndpoint, "get_free", grant_too_many):
            self.assertGreater(self.run_load().get_over(), 0)

    def test_second_start_is_seen(self) -> None:
        with mock.patch.object(task_ends.TaskEndHandler, "handle_failure", run_again):
            world = test_histories.build(7)
            world.endpoints["e0"].failing = True
            test_histories.feed(world, 3)
            world.run(world.now + 8 * SECOND)
        self.assertTrue(any("started twice" in each for each in world.breaches))

    def test_false_not_run_is_seen(self) -> None:
        with mock.patch.object(intake, "get_early_outcome", deny):
            world = test_histories.build(7)
            record = world.submit("d0v0", "m0", (300.0,) * 9)
            world.run(world.now + 50)
            run = world.processes["d0v0"]
            world.carry(run, run.dispatcher.cancel(record.job.ticket))
        self.assertTrue(any("not run" in each for each in world.breaches))

    def test_start_after_leaving_is_seen(self) -> None:
        with (
            mock.patch.object(lease_times, "get_holder_end_ms", use_forever),
            mock.patch.object(lease_times, "UNRESPONSIVE_MS", 60 * SECOND),
            mock.patch.object(lease_times, "ENDPOINT_LEASE_MS", 60 * SECOND),
        ):
            world = test_histories.build(7)
            test_histories.feed(world, 8, per_s=40)
            endpoint = world.endpoints["e0"]
            world.isolate(endpoint)
            world.leave("e0")
            left_ms = world.now
            world.run(left_ms + 8 * SECOND)
        limit_ms = left_ms + test_histories.LAST_START_MS
        self.assertGreater(endpoint.last_start_ms, limit_ms)

    def test_unfair_split_is_seen(self) -> None:
        with (
            mock.patch.object(dispatcher.Dispatcher, "shares_changed", weigh_alike),
            mock.patch.object(allocation, "SCARCE_MS", 60 * SECOND),
            self.assertRaises(AssertionError),
        ):
            test_histories.TestFairness().test_equal_standing_over_entry_vms()
