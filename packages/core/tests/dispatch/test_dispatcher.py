"""One dispatcher alone: outcomes, limits, retries, cancels and admission."""

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
    """A limiter that allows `bound` tasks at once."""

    def __init__(self, bound: int) -> None:
        self.bound = bound
        self.used = 0
        self.ended_jobs: list[str] = []

    def start_task(self, task: ids.TaskId, size: jobs.TaskSpec) -> bool:
        if self.used >= self.bound:
            return False
        self.used += 1
        return True

    def end_task(self, task: ids.TaskId, run_ms: int, lease_left_ms: int) -> None:
        self.used -= 1

    def end_job(self, ticket: str) -> None:
        self.ended_jobs.append(ticket)


class Alone:
    """A dispatcher without peers, whose effects are kept."""

    def __init__(
        self, endpoints: int = 3, slots: int = 4, bound: int = 1 << 30
    ) -> None:
        self.clock = clock.ManualClock(5_000, 1_700_000_000_000)
        self.limiter = BoundedLimiter(bound)
        self.dispatcher = dispatcher.Dispatcher(
            ids.ProcessId("a1", 1), "a", (), self.limiter, self.clock, random.Random(1)
        )
        self.started: list[effects.StartTask] = []
        self.stopped: list[effects.StopTask] = []
        self.begins: list[str] = []
        self.ended: dict[str, outcomes.Outcome] = {}
        for index in range(endpoints):
            self.announce(f"e{index}", slots)
        self.carry(self.dispatcher.tick())

    def announce(self, name: str, slots: int = 4, **changes: typing.Any) -> typing.Any:
        record = {"incarnation": 1, "sequence": 1, "leaving": False} | changes
        announcement = parts.Announcement(
            name, SERVICE, name, "a", f"w-{name}", slots=slots, connections=64, **record
        )
        answer, found = self.dispatcher.announce(announcement)
        self.carry(found)
        return answer

    def carry(self, found: typing.Iterable[typing.Any]) -> None:
        for effect in found:
            if isinstance(effect, effects.StartTask):
                self.started.append(effect)
            elif isinstance(effect, effects.StopTask):
                self.stopped.append(effect)
            elif isinstance(effect, effects.JobEnded):
                self.ended[effect.ticket] = effect.outcome
            elif isinstance(effect, effects.RequestBegin):
                self.begins.append(effect.ticket)
                self.carry(self.dispatcher.start_job(effect.ticket))

    def submit(
        self, ticket: str, tasks: int = 1, due_ms: int = 60_000, **changes: typing.Any
    ) -> None:
        spec = jobs.TaskSpec(b"{}", **changes.pop("size", {}))
        due = self.clock.now_ms() + due_ms
        job = jobs.Job(ticket, "m", SERVICE, "c", due, (spec,) * tasks, **changes)
        self.carry(self.dispatcher.enqueue(job))

    def end(
        self, start: effects.StartTask, result: typing.Any, run_ms: int = 50
    ) -> None:
        end = effects.TaskEnd(start.task, start.endpoint, result, run_ms)
        self.carry(self.dispatcher.handle_task_end(end))

    def advance(self, by_ms: int) -> None:
        for _ in range(by_ms // parts.TICK_MS):
            self.clock.advance(parts.TICK_MS)
            self.carry(self.dispatcher.tick())


class TestOutcomes(unittest.TestCase):
    def test_failed_job_stops_all_its_tasks(self) -> None:
        alone = Alone()
        alone.submit("t", 20)
        self.assertEqual(len(alone.started), 12)
        alone.end(alone.started[0], FAILED)
        self.assertEqual(
            alone.ended["t"], outcomes.Failed(reasons.Reason.TASK_FAILED, True)
        )
        self.assertEqual(len(alone.stopped), 11)
        for start in alone.started[1:12]:
            alone.end(start, FAILED)
        self.assertEqual(len(alone.started), 12)
        self.assertTrue(alone.dispatcher.is_idle())
        self.assertEqual(alone.limiter.used, 0)

    def test_task_past_its_deadline_is_stopped_and_charged_on(self) -> None:
        alone = Alone(endpoints=1, slots=1)
        alone.submit("t", 1, due_ms=500)
        alone.submit("next", 1)
        alone.advance(600)
        self.assertEqual(
            alone.ended["t"], outcomes.Failed(reasons.Reason.TASK_TIMEOUT, True)
        )
        self.assertEqual([s.task.ticket for s in alone.stopped], ["t"])
        self.assertEqual(len(alone.started), 1)
        for _ in range(30):
            alone.announce("e0", sequence=2 + alone.clock.now_ms())
            alone.advance(400)
        self.assertEqual([s.task.ticket for s in alone.started], ["t", "next"])

    def test_cancel_before_any_start_is_not_run(self) -> None:
        alone = Alone(endpoints=1, slots=1)
        alone.submit("first")
        alone.submit("second", 5_000)
        alone.carry(alone.dispatcher.cancel("second"))
        alone.carry(alone.dispatcher.cancel("first"))
        self.assertEqual(
            alone.ended["second"], outcomes.NotRun(reasons.Reason.CANCELLED)
        )
        self.assertEqual(
            alone.ended["first"], outcomes.Failed(reasons.Reason.CANCELLED, True)
        )
        self.assertEqual(alone.dispatcher.state.queued_tasks, 0)

    def test_graceful_stop_ends_what_is_not_begun(self) -> None:
        alone = Alone(endpoints=1, slots=1)
        for number in range(6):
            alone.submit(f"t{number}")
        alone.carry(alone.dispatcher.stop())
        for start in alone.started:
            alone.end(start, GOOD)
        kinds = {ticket: type(o).__name__ for ticket, o in alone.ended.items()}
        begun = set(alone.begins)
        for ticket, kind in kinds.items():
            self.assertEqual(kind, "Complete" if ticket in begun else "NotRun")
        self.assertEqual(len(kinds), 6)
        self.assertTrue(alone.dispatcher.is_idle())


class TestRetries(unittest.TestCase):
    def test_not_started_task_goes_to_another_endpoint(self) -> None:
        alone = Alone()
        alone.submit("t", 3)
        first = alone.started[0]
        alone.end(first, NOT_STARTED, 1)
        again = [s for s in alone.started[3:] if s.task == first.task]
        self.assertEqual(len(again), 1)
        self.assertNotEqual(again[0].endpoint, first.endpoint)

    def test_only_repeatable_single_tasks_run_again_after_a_failure(self) -> None:
        for tasks, repeatable, again in ((1, True, 1), (1, False, 0), (2, True, 0)):
            alone = Alone()
            alone.submit("t", tasks, repeatable=repeatable)
            alone.end(alone.started[0], FAILED)
            self.assertEqual(len(alone.started), tasks + again)

    def test_retries_are_bounded(self) -> None:
        alone = Alone()
        alone.submit("t")
        for _ in range(200):
            if "t" in alone.ended:
                break
            for start in alone.started[:]:
                alone.end(start, NOT_STARTED, 1)
            alone.advance(100)
        outcome = alone.ended["t"]
        self.assertEqual(outcome, outcomes.NotRun(reasons.Reason.ENDPOINT_LOST))


class TestAdmission(unittest.TestCase):
    def test_no_endpoint(self) -> None:
        alone = Alone(endpoints=0)
        alone.submit("t")
        outcome = alone.ended["t"]
        assert isinstance(outcome, outcomes.NotRun)
        self.assertEqual(outcome.reason, reasons.Reason.NO_ENDPOINT)

    def test_never_fits_and_held_back(self) -> None:
        alone = Alone(endpoints=1)
        wall_ms = alone.clock.wall_ms()
        report = parts.UsageReport("w-e0", wall_ms, 8_000, 0, 16_000, 9_000)
        alone.carry(alone.dispatcher.report_usage(report))
        alone.advance(40)
        alone.submit("big", size={"memory_mib": 20_000})
        self.assertEqual(alone.ended["big"], outcomes.NotRun(reasons.Reason.NEVER_FITS))
        alone.submit("t", 2, size={"memory_mib": 5_000})
        self.assertEqual(len(alone.started), 1)
        alone.end(alone.started[0], GOOD)
        alone.advance(60)
        self.assertEqual(len(alone.started), 2)

    def test_declared_sizes_are_corrected_both_ways(self) -> None:
        for seen_mib, fits in ((400, True), (40_000, False)):
            alone = Alone(endpoints=1)
            alone.clock.advance(100)
            wall_ms = alone.clock.wall_ms()
            report = parts.UsageReport("w-e0", wall_ms, 64_000, 0, 64_000, 0)
            alone.carry(alone.dispatcher.report_usage(report))
            alone.advance(40)
            alone.submit("t", 4, size={"memory_mib": 1_000})
            for _ in range(30):
                alone.advance(100)
                alone.announce("e0", sequence=alone.clock.now_ms())
                wall_ms = alone.clock.wall_ms()
                use = (64_000, 0, 64_000, seen_mib)
                report = parts.UsageReport("w-e0", wall_ms, *use)
                alone.carry(alone.dispatcher.report_usage(report))
            for start in alone.started:
                alone.end(start, GOOD)
            alone.advance(40)
            alone.submit("u", size={"memory_mib": 6_500})
            never = outcomes.NotRun(reasons.Reason.NEVER_FITS)
            self.assertEqual(alone.ended.get("u"), None if fits else never)

    def test_late_job_is_refused_at_once(self) -> None:
        alone = Alone(endpoints=1, slots=2)
        for number in range(12):
            alone.submit(f"warm{number}")
            alone.end(alone.started[-1], GOOD, 500)
        for number in range(20):
            alone.submit(f"t{number}")
        alone.submit("late", due_ms=1_000)
        outcome = alone.ended["late"]
        assert isinstance(outcome, outcomes.NotRun)
        self.assertEqual(outcome.reason, reasons.Reason.DEADLINE)
        self.assertGreater(outcome.retry_after_ms, 0)

    def test_concurrency_limit_is_never_exceeded(self) -> None:
        alone = Alone(bound=2)
        alone.submit("t", 9)
        while "t" not in alone.ended:
            self.assertLessEqual(alone.limiter.used, 2)
            alone.end(alone.started[len(alone.started) - alone.limiter.used], GOOD)
            alone.advance(60)
        self.assertEqual(alone.limiter.ended_jobs, ["t"])


class TestAnnouncements(unittest.TestCase):
    def test_late_announcement_does_not_revive_a_leaver(self) -> None:
        alone = Alone(endpoints=1)
        alone.announce("e0", sequence=5, leaving=True)
        refusal = alone.announce("e0", sequence=4)
        self.assertEqual(refusal.reason, reasons.Reason.STALE)
        alone.advance(40)
        alone.submit("t")
        self.assertEqual(alone.started, [])
        self.assertIsInstance(alone.ended["t"], outcomes.NotRun)
        alone.announce("e0", incarnation=2)
        alone.advance(40)
        alone.submit("u")
        self.assertEqual(len(alone.started), 1)

    def test_charts_decide_every_event(self) -> None:
        for loaded in (job_run.CHART, health.CHART):
            self.assertIsInstance(loaded, chart.Chart)
