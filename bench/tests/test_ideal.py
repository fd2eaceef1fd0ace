from __future__ import annotations

import unittest

import hypothesis
import hypothesis.strategies as st

from bench import ideal, trace

STATIONS = (ideal.Station(2, 1.0), ideal.Station(1, 4.0))
SPEC = trace.TraceSpec(3, 20.0, 0.7, members=("a", "b"), shares=(3.0, 1.0))
MAX_SPEED = max(station.speed for station in STATIONS)


def build_job(number: int, at_ms: float, *work_ms: float) -> trace.TraceJob:
    return trace.TraceJob(number, at_ms, "m", "c", work_ms)


@st.composite
def draw_jobs(draw: st.DrawFn) -> tuple[trace.TraceJob, ...]:
    work = st.lists(st.integers(1, 500), min_size=1, max_size=8)
    drawn = draw(st.lists(st.tuples(st.integers(0, 2_000), work), max_size=15))
    return tuple(build_job(n, float(at), *w) for n, (at, w) in enumerate(drawn))


class IdealTest(unittest.TestCase):
    def test_a_single_job_uses_the_slots_that_finish_first(self) -> None:
        responses = ideal.get_ideal([build_job(0, 5.0, 400, 100, 100)], STATIONS)
        self.assertEqual(responses, {0: 100.0})

    def test_short_jobs_do_not_wait_for_long_ones(self) -> None:
        station = (ideal.Station(1, 1.0),)
        jobs = [build_job(0, 0.0, 10), build_job(1, 1.0, 500), build_job(2, 2.0, 10)]
        self.assertEqual(ideal.get_ideal(jobs, station), {0: 10.0, 1: 519.0, 2: 18.0})

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(draw_jobs())
    def test_every_job_ends_and_none_is_faster_than_the_fastest_slot(
        self, jobs: tuple[trace.TraceJob, ...]
    ) -> None:
        for serve in (ideal.serve_in_order, ideal.serve_shortest):
            responses = serve(jobs, STATIONS)
            self.assertEqual(set(responses), {job.number for job in jobs})
            for job in jobs:
                self.assertGreaterEqual(
                    responses[job.number] + 1e-6, max(job.work_ms) / MAX_SPEED
                )


class TraceTest(unittest.TestCase):
    def test_a_seed_gives_one_trace_with_the_requested_load(self) -> None:
        jobs = trace.build_trace(SPEC, capacity=100.0)
        self.assertEqual(jobs, trace.build_trace(SPEC, capacity=100.0))
        work = sum(job.total_ms for job in jobs)
        self.assertAlmostEqual(work / (100.0 * 20_000), 0.7, delta=0.02)
        self.assertEqual(jobs[-1].at_ms, 20_000.0)
        self.assertLessEqual(max(len(job.work_ms) for job in jobs), trace.MAX_TASKS)
        share = sum(job.member == "a" for job in jobs) / len(jobs)
        self.assertAlmostEqual(share, 0.75, delta=0.1)
