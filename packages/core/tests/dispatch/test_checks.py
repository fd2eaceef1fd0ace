"""Each check of the simulated histories detects a dispatcher with that fault."""

from __future__ import annotations

import unittest
from unittest import mock

from bench import dispatch_simulation
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
    def run_jobs(self, **changes: object) -> dispatch_simulation.Simulation:
        simulation = test_histories.build(7, **changes)
        test_histories.feed(simulation, 6, per_s=40)
        simulation.run(simulation.now + 20 * SECOND)
        return simulation

    def test_unmodified_dispatcher_passes_all_checks(self) -> None:
        simulation = self.run_jobs()
        self.assertEqual((simulation.breaches, simulation.count_over_slots()), ([], 0))

    def test_granting_too_many_slots_is_detected(self) -> None:
        with mock.patch.object(kept.KeptEndpoint, "get_free", grant_too_many):
            self.assertGreater(self.run_jobs().count_over_slots(), 0)

    def test_second_start_is_detected(self) -> None:
        with mock.patch.object(
            task_ends.TaskEndHandler, "handle_failure", retry_failed_task
        ):
            simulation = test_histories.build(7)
            simulation.endpoints["e0"].failing = True
            test_histories.feed(simulation, 3)
            simulation.run(simulation.now + 8 * SECOND)
        self.assertTrue(
            any("started twice" in breach for breach in simulation.breaches)
        )

    def test_false_not_run_is_detected(self) -> None:
        with mock.patch.object(intake, "get_early_outcome", report_not_run):
            simulation = test_histories.build(7)
            record = simulation.submit("d0v0", "m0", (300.0,) * 9)
            simulation.run(simulation.now + 50)
            run = simulation.processes["d0v0"]
            simulation.apply_effects(run, run.dispatcher.cancel(record.job.ticket))
        self.assertTrue(any("not run" in breach for breach in simulation.breaches))

    def test_start_after_leaving_is_detected(self) -> None:
        with (
            mock.patch.object(lease_times, "get_holder_end_ms", never_expire),
            mock.patch.object(lease_times, "UNRESPONSIVE_MS", 60 * SECOND),
            mock.patch.object(lease_times, "ENDPOINT_LEASE_MS", 60 * SECOND),
        ):
            simulation = test_histories.build(7)
            test_histories.feed(simulation, 8, per_s=40)
            endpoint = simulation.endpoints["e0"]
            simulation.isolate(endpoint)
            simulation.leave("e0")
            leave_ms = simulation.now
            simulation.run(leave_ms + 8 * SECOND)
        limit_ms = leave_ms + test_histories.LAST_START_MS
        self.assertGreater(endpoint.last_start_ms, limit_ms)

    def test_unfair_split_is_detected(self) -> None:
        with (
            mock.patch.object(dispatcher.Dispatcher, "shares_changed", ignore_shares),
            mock.patch.object(allocation, "SCARCE_MS", 60 * SECOND),
            self.assertRaises(AssertionError),
        ):
            test_histories.TestFairness().test_equal_standing_over_entry_vms()
