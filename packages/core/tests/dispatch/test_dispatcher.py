"""A single dispatcher: outcomes, limits, retries, cancellation and admission."""

from __future__ import annotations

import random
import typing
import unittest

from knapweedbeam_core import clock, effects, ids, jobs, outcomes, reasons
from knapweedbeam_core.charts import chart
from knapweedbeam_core.dispatch import dispatcher, health, job_run
from knapweedbeam_core.entry import parts

SERVICE = "despacho"
GOOD = effects.TaskAnswered(b"1")
FAILED = effects.TaskFailed(reasons.Reason.TASK_FAILED)
NOT_STARTED = effects.TaskNotStarted(reasons.Reason.ENDPOINT_LOST)


class BoundedLimiter(parts.NullLimiter):
    """A limiter that allows `max_running` tasks at once."""

    def __init__(self, max_running: int) -> None:
        self.max_running = max_running
        self.used = 0
        self.ended_jobs: list[str] = []

    def start_task(self, task: ids.TaskId, size: jobs.TaskSpec) -> bool:
        if self.used >= self.max_running:
            return False
        self.used += 1
        return True

    def end_task(self, task: ids.TaskId, run_ms: int, lease_left_ms: int) -> None:
        self.used -= 1

    def end_job(self, ticket: str) -> None:
        self.ended_jobs.append(ticket)


class Harness:
    """Drives a dispatcher without peers and records its effects."""

    def __init__(
        self, endpoints: int = 3, slots: int = 4, max_running: int = 1 << 30
    ) -> None:
        self.clock = clock.ManualClock(5_000, 1_700_000_000_000)
        self.limiter = BoundedLimiter(max_running)
        self.dispatcher = dispatcher.Dispatcher(
            ids.ProcessId("a1", 1), "a", (), self.limiter, self.clock, random.Random(1)
        )
        self.started: list[effects.StartTask] = []
        self.stopped: list[effects.StopTask] = []
        self.begin_requests: list[str] = []
        self.ended: dict[str, outcomes.Outcome] = {}
        for index in range(endpoints):
            self.announce(f"e{index}", slots)
        self.handle_effects(self.dispatcher.tick())

    def announce(self, name: str, slots: int = 4, **changes: typing.Any) -> typing.Any:
        record = {"incarnation": 1, "sequence": 1, "leaving": False} | changes
        announcement = parts.Announcement(
            name, SERVICE, name, "a", f"w-{name}", slots=slots, connections=64, **record
        )
        answer, followed = self.dispatcher.announce(announcement)
        self.handle_effects(followed)
        return answer

    def handle_effects(self, followed: typing.Iterable[typing.Any]) -> None:
        for effect in followed:
            if isinstance(effect, effects.StartTask):
                self.started.append(effect)
            elif isinstance(effect, effects.StopTask):
                self.stopped.append(effect)
            elif isinstance(effect, effects.JobEnded):
                self.ended[effect.ticket] = effect.outcome
            elif isinstance(effect, effects.RequestBegin):
                self.begin_requests.append(effect.ticket)
                self.handle_effects(self.dispatcher.start_job(effect.ticket))

    def submit(
        self, ticket: str, tasks: int = 1, due_ms: int = 60_000, **changes: typing.Any
    ) -> None:
        spec = jobs.TaskSpec(b"{}", **changes.pop("size", {}))
        due = self.clock.now_ms() + due_ms
        job = jobs.Job(ticket, "m", SERVICE, "c", due, (spec,) * tasks, **changes)
        self.handle_effects(self.dispatcher.enqueue(job))

    def end_task(
        self, start: effects.StartTask, result: typing.Any, run_ms: int = 50
    ) -> None:
        task_end = effects.TaskEnd(start.task, start.endpoint, result, run_ms)
        self.handle_effects(self.dispatcher.handle_task_end(task_end))

    def advance(self, by_ms: int) -> None:
        for _ in range(by_ms // parts.TICK_MS):
            self.clock.advance(parts.TICK_MS)
            self.handle_effects(self.dispatcher.tick())


class TestOutcomes(unittest.TestCase):
    def test_failed_job_stops_all_its_tasks(self) -> None:
        harness = Harness()
        harness.submit("t", 20)
        self.assertEqual(len(harness.started), 12)
        harness.end_task(harness.started[0], FAILED)
        self.assertEqual(
            harness.ended["t"], outcomes.Failed(reasons.Reason.TASK_FAILED, True)
        )
        self.assertEqual(len(harness.stopped), 11)
        for start in harness.started[1:12]:
            harness.end_task(start, FAILED)
        self.assertEqual(len(harness.started), 12)
        self.assertTrue(harness.dispatcher.is_idle())
        self.assertEqual(harness.limiter.used, 0)

    def test_task_past_its_deadline_is_stopped_and_keeps_its_slot(self) -> None:
        harness = Harness(endpoints=1, slots=1)
        harness.submit("t", 1, due_ms=500)
        harness.submit("next", 1)
        harness.advance(600)
        self.assertEqual(
            harness.ended["t"], outcomes.Failed(reasons.Reason.TASK_TIMEOUT, True)
        )
        self.assertEqual([s.task.ticket for s in harness.stopped], ["t"])
        self.assertEqual(len(harness.started), 1)
        for _ in range(30):
            harness.announce("e0", sequence=2 + harness.clock.now_ms())
            harness.advance(400)
        self.assertEqual([s.task.ticket for s in harness.started], ["t", "next"])

    def test_cancelled_job_is_not_run_only_before_its_first_start(self) -> None:
        harness = Harness(endpoints=1, slots=1)
        harness.submit("first")
        harness.submit("second", 5_000)
        harness.handle_effects(harness.dispatcher.cancel("second"))
        harness.handle_effects(harness.dispatcher.cancel("first"))
        self.assertEqual(
            harness.ended["second"], outcomes.NotRun(reasons.Reason.CANCELLED)
        )
        self.assertEqual(
            harness.ended["first"], outcomes.Failed(reasons.Reason.CANCELLED, True)
        )
        self.assertEqual(harness.dispatcher.state.queued_tasks, 0)

    def test_graceful_stop_ends_jobs_that_are_not_begun(self) -> None:
        harness = Harness(endpoints=1, slots=1)
        for number in range(6):
            harness.submit(f"t{number}")
        harness.handle_effects(harness.dispatcher.stop())
        for start in harness.started:
            harness.end_task(start, GOOD)
        kinds = {ticket: type(o).__name__ for ticket, o in harness.ended.items()}
        begun = set(harness.begin_requests)
        for ticket, kind in kinds.items():
            self.assertEqual(kind, "Complete" if ticket in begun else "NotRun")
        self.assertEqual(len(kinds), 6)
        self.assertTrue(harness.dispatcher.is_idle())


class TestRetries(unittest.TestCase):
    def test_not_started_task_goes_to_another_endpoint(self) -> None:
        harness = Harness()
        harness.submit("t", 3)
        first = harness.started[0]
        harness.end_task(first, NOT_STARTED, 1)
        restarts = [s for s in harness.started[3:] if s.task == first.task]
        self.assertEqual(len(restarts), 1)
        self.assertNotEqual(restarts[0].endpoint, first.endpoint)

    def test_only_repeatable_single_tasks_run_again_after_a_failure(self) -> None:
        for tasks, repeatable, restarts in ((1, True, 1), (1, False, 0), (2, True, 0)):
            harness = Harness()
            harness.submit("t", tasks, repeatable=repeatable)
            harness.end_task(harness.started[0], FAILED)
            self.assertEqual(len(harness.started), tasks + restarts)

    def test_task_that_may_crash_endpoints_is_not_sent_to_a_third(self) -> None:
        harness = Harness()
        lost = effects.TaskFailed(reasons.Reason.ENDPOINT_LOST)
        harness.submit("t", repeatable=True)
        for _ in range(20):
            for start in harness.started[:]:
                harness.end_task(start, lost, 1)
            harness.advance(100)
        self.assertEqual(len(harness.started), 2)
        self.assertEqual(
            harness.ended["t"],
            outcomes.Failed(reasons.Reason.TASK_CRASHED_ENDPOINTS),
        )

    def test_retries_are_bounded(self) -> None:
        harness = Harness()
        harness.submit("t")
        for _ in range(200):
            if "t" in harness.ended:
                break
            for start in harness.started[:]:
                harness.end_task(start, NOT_STARTED, 1)
            harness.advance(100)
        outcome = harness.ended["t"]
        self.assertEqual(outcome, outcomes.NotRun(reasons.Reason.ENDPOINT_LOST))


class TestAdmission(unittest.TestCase):
    def test_job_without_endpoints_is_not_run(self) -> None:
        harness = Harness(endpoints=0)
        harness.submit("t")
        outcome = harness.ended["t"]
        assert isinstance(outcome, outcomes.NotRun)
        self.assertEqual(outcome.reason, reasons.Reason.NO_ENDPOINT)

    def test_oversized_task_is_refused_and_fitting_one_waits(self) -> None:
        harness = Harness(endpoints=1)
        wall_ms = harness.clock.wall_ms()
        report = parts.UsageReport("w-e0", wall_ms, 8_000, 0, 16_000, 9_000)
        harness.handle_effects(harness.dispatcher.report_usage(report))
        harness.advance(40)
        harness.submit("big", size={"memory_mib": 20_000})
        self.assertEqual(
            harness.ended["big"], outcomes.NotRun(reasons.Reason.NEVER_FITS)
        )
        harness.submit("t", 2, size={"memory_mib": 5_000})
        self.assertEqual(len(harness.started), 1)
        harness.end_task(harness.started[0], GOOD)
        harness.advance(60)
        self.assertEqual(len(harness.started), 2)

    def test_declared_sizes_are_corrected_both_ways(self) -> None:
        for used_mib, fits in ((400, True), (40_000, False)):
            harness = Harness(endpoints=1)
            harness.clock.advance(100)
            wall_ms = harness.clock.wall_ms()
            report = parts.UsageReport("w-e0", wall_ms, 64_000, 0, 64_000, 0)
            harness.handle_effects(harness.dispatcher.report_usage(report))
            harness.advance(40)
            harness.submit("t", 4, size={"memory_mib": 1_000})
            for _ in range(30):
                harness.advance(100)
                harness.announce("e0", sequence=harness.clock.now_ms())
                wall_ms = harness.clock.wall_ms()
                use = (64_000, 0, 64_000, used_mib)
                report = parts.UsageReport("w-e0", wall_ms, *use)
                harness.handle_effects(harness.dispatcher.report_usage(report))
            for start in harness.started:
                harness.end_task(start, GOOD)
            harness.advance(40)
            harness.submit("u", size={"memory_mib": 6_500})
            never_fits = outcomes.NotRun(reasons.Reason.NEVER_FITS)
            self.assertEqual(harness.ended.get("u"), None if fits else never_fits)

    def test_job_that_would_miss_its_deadline_is_refused_at_once(self) -> None:
        harness = Harness(endpoints=1, slots=2)
        for number in range(12):
            harness.submit(f"warm{number}")
            harness.end_task(harness.started[-1], GOOD, 500)
        for number in range(20):
            harness.submit(f"t{number}")
        harness.submit("late", due_ms=1_000)
        outcome = harness.ended["late"]
        assert isinstance(outcome, outcomes.NotRun)
        self.assertEqual(outcome.reason, reasons.Reason.DEADLINE)
        self.assertGreater(outcome.retry_after_ms, 0)

    def test_concurrency_limit_is_never_exceeded(self) -> None:
        harness = Harness(max_running=2)
        harness.submit("t", 9)
        while "t" not in harness.ended:
            self.assertLessEqual(harness.limiter.used, 2)
            harness.end_task(
                harness.started[len(harness.started) - harness.limiter.used], GOOD
            )
            harness.advance(60)
        self.assertEqual(harness.limiter.ended_jobs, ["t"])


class TestAnnouncements(unittest.TestCase):
    def test_late_announcement_does_not_readmit_a_departed_endpoint(self) -> None:
        harness = Harness(endpoints=1)
        harness.announce("e0", sequence=5, leaving=True)
        refusal = harness.announce("e0", sequence=4)
        self.assertEqual(refusal.reason, reasons.Reason.STALE)
        harness.advance(40)
        harness.submit("t")
        self.assertEqual(harness.started, [])
        self.assertIsInstance(harness.ended["t"], outcomes.NotRun)
        harness.announce("e0", incarnation=2)
        harness.advance(40)
        harness.submit("u")
        self.assertEqual(len(harness.started), 1)

    def test_charts_load(self) -> None:
        for loaded_chart in (job_run.CHART, health.CHART):
            self.assertIsInstance(loaded_chart, chart.Chart)
