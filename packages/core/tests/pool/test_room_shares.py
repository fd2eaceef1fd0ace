"""Plays more load than fits, with and without shares of the room."""

from __future__ import annotations

import dataclasses
import statistics
import typing
import unittest

from bench.pool import load
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import jobs, messages, room_policy, room_shares

SECONDS = 6
SEEDS = (1, 2)
LOADS = (1.0, 1.4, 1.8, 2.2)
# Domain a has twice the load of the others.
DOMAINS = ("a", "a", "b", "c")
WITHOUT = room_policy.RoomPolicy(9)


def build_run(share: float, seed: int, policy: room_policy.RoomPolicy) -> load.LoadRun:
    return load.LoadRun(
        share,
        seed,
        endpoints=18,
        setting=load.WIDE,
        domains=DOMAINS,
        policy=policy,
    )


def play(share: float, policy: room_policy.RoomPolicy) -> list[load.Result]:
    results = []
    for seed in SEEDS:
        run = build_run(share, seed, policy)
        run.run_for(SECONDS)
        results.append(run.finish())
    return results


def get_mean(
    results: list[load.Result], get: typing.Callable[[load.Result], float]
) -> float:
    return statistics.fmean(get(result) for result in results)


FIGURES: dict[str, typing.Callable[[load.Result], float]] = {
    "whole": lambda result: result.worth,
    "queue": lambda result: min(result.by_class.values()),
    "domain": lambda result: min(result.by_domain.values()),
    "seconds": lambda result: result.get_worst_seconds(),
}


class ShortageTest(unittest.TestCase):
    def test_worst_served_gain_where_too_much_is_asked_and_none_lose_before(
        self,
    ) -> None:
        for share in LOADS:
            plain, shared = play(share, WITHOUT), play(share, room_policy.DEFAULT)
            for name, get in FIGURES.items():
                before, after = get_mean(plain, get), get_mean(shared, get)
                with self.subTest(load=share, figure=name, before=before):
                    if share >= 2:
                        self.assertGreater(after, before + 0.03)
                    elif name != "seconds":
                        self.assertGreater(after, before - 0.03)

    def test_more_are_refused_within_a_quarter_of_their_objective(self) -> None:
        plain, shared = play(2.2, WITHOUT), play(2.2, room_policy.DEFAULT)
        early = get_mean(shared, lambda result: result.refused_early)
        self.assertGreater(early, get_mean(plain, lambda r: r.refused_early) + 0.2)

    def test_refused_callers_are_told_to_return_at_different_times(self) -> None:
        run = build_run(2.2, 1, room_policy.DEFAULT)
        run.run_for(SECONDS)
        return_times = []
        for job in run.submitted:
            message, at_ms = run.simulation.outcomes.get(job.job_id, (None, 0))
            if isinstance(message, messages.JobRefused):
                return_times.append((at_ms + message.retry_after_ms) // 250)
        self.assertGreater(len(return_times), 50)
        largest = max(return_times.count(each) for each in set(return_times))
        self.assertLess(largest, 0.15 * len(return_times))


def flood_queue(run: load.LoadRun) -> None:
    run.classes = tuple(
        dataclasses.replace(kind, per_second=6 * kind.per_second)
        if kind.name == "transfer"
        else kind
        for kind in run.classes
    )


def flood_domain(run: load.LoadRun) -> None:
    run.load, run.domains = 3.0, (*DOMAINS, *"cccccccc")


class FloodTest(unittest.TestCase):
    """What others ask for is less than their part, so that they are entitled to it."""

    def play(
        self,
        flood: typing.Callable[[load.LoadRun], None],
        policy: room_policy.RoomPolicy,
    ) -> float:
        """Return the share of value that the worst of the others earns."""
        run = build_run(1.0, 1, policy)
        run.run_for(10)
        run.submitted.clear()
        flood(run)
        run.run_for(6)
        result = run.finish()
        if flood is flood_queue:
            return min(result.by_class["lock"], result.by_class["refresh"])
        return min(result.by_domain["a"], result.by_domain["b"])

    def test_queue_that_floods_takes_less_from_the_others(self) -> None:
        before = self.play(flood_queue, WITHOUT)
        self.assertGreater(self.play(flood_queue, room_policy.DEFAULT), before + 0.1)

    def test_domain_that_floods_takes_less_from_the_others(self) -> None:
        before = self.play(flood_domain, WITHOUT)
        self.assertGreater(self.play(flood_domain, room_policy.DEFAULT), before + 0.1)

    def test_queue_that_floods_leaves_the_others_their_room(self) -> None:
        self.assertGreater(self.play(flood_queue, room_policy.DEFAULT), 0.9)

    def test_domain_that_floods_leaves_the_others_their_room(self) -> None:
        self.assertGreater(self.play(flood_domain, room_policy.DEFAULT), 0.9)


class RoomSharesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.shares = room_shares.RoomShares()

    def add(self, queue: str, domain: str, count: int, now_ms: int) -> None:
        job = self.build_job(queue, domain)
        job.arrived_ms = now_ms
        for _ in range(count):
            self.shares.record_arrival(job, now_ms)

    def build_job(self, queue: str, domain: str) -> jobs.Job:
        step = messages.SubmittedStep(1, 8_000, 64, 0, 100, (), "", "", 0)
        terms = manifest.Terms(queue, "service", 0, 3, 1.6, 60)
        job = jobs.Job("j", "", terms, "", (step,), 0, 1_000, 0)
        job.domain = domain
        return job

    def test_part_follows_what_is_usual_and_not_a_burst(self) -> None:
        for second in range(60):
            self.add("q", "a", 2, 1_000 * second)
            self.add("q", "b", 1, 1_000 * second)
        self.add("q", "b", 10, 60_000)
        parts = self.shares.get_parts(60_000)
        self.assertAlmostEqual(parts["q", "a"], 2 / 3, delta=0.07)
        ranks = self.shares.get_ranks(60_000)
        self.assertGreater(ranks["q", "b"], ranks["q", "a"])

    def test_small_class_has_a_least_part_and_classes_are_bounded(self) -> None:
        self.add("q", "a", 1_000, 0)
        self.add("q", "b", 1, 0)
        self.assertGreater(self.shares.get_parts(0)["q", "b"], 0.1)
        for number in range(2 * room_shares.MAX_CLASSES):
            self.add(f"q{number}", "a", 1, 0)
        self.assertEqual(len(self.shares.classes), room_shares.MAX_CLASSES + 1)

    def test_refused_work_does_not_count_against_a_class(self) -> None:
        job = self.build_job("q", "a")
        self.shares.record_arrival(job, job.arrived_ms)
        self.shares.record_refusal(job, job.arrived_ms + 300)
        self.assertAlmostEqual(self.shares.get_excess(400)["q", "a"], 0.0, delta=1.0)

    def test_report_names_each_class_once_a_second_while_room_is_short(self) -> None:
        self.add("q", "a", 2, 0)
        self.assertEqual(self.shares.build_report("s", 1, is_short=False), [])
        self.add("q", "a", 2, 10)
        (report,) = self.shares.build_report("s", 1_001, is_short=True)
        self.assertEqual((report.queue, report.domain), ("q", "a"))
        self.assertEqual((report.part_percent, report.arrived), (100, 2))
        self.assertEqual(self.shares.build_report("s", 1_002, is_short=True), [])


if __name__ == "__main__":
    unittest.main()
