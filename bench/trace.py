"""Traces of job arrivals, built from a seed and thus the same for every policy."""

from __future__ import annotations

import dataclasses
import random

from knapweedbeam_core import clock

MAX_TASKS = 450
WORK_MIN_MS = 20.0
WORK_MAX_MS = 6_000.0
WORK_SIGMA = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class JobClass:
    """A class of jobs: its share of all jobs, and the distributions of their sizes."""

    name: str
    share: float
    work_ms: float
    tasks_median: float = 1.0
    tasks_sigma: float = 0.0


SINGLE = "single"
MIXED_CLASSES = (
    JobClass(SINGLE, 0.3, 200.0),
    JobClass("stock-check", 0.4, 150.0, 12.0, 1.0),
    JobClass("quote", 0.25, 300.0, 20.0, 1.0),
    JobClass("batch", 0.05, 400.0, 90.0, 0.8),
)


@dataclasses.dataclass(frozen=True, slots=True)
class TraceSpec:
    """The parameters of a trace; `load` is a share of the capacity.

    `shares` are the members' weights, equal if empty.
    """

    seed: int
    seconds: float
    load: float
    classes: tuple[JobClass, ...] = MIXED_CLASSES
    members: tuple[str, ...] = ("member",)
    shares: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TraceJob:
    """A job with its arrival time and the work of each task in milliseconds."""

    number: int
    at_ms: float
    member: str
    job_class: str
    work_ms: tuple[float, ...]

    @property
    def total_ms(self) -> float:
        """Return the total work of all tasks."""
        return sum(self.work_ms)

    @property
    def first_echo(self) -> int:
        """Return the number that the first task's answer has to echo."""
        return self.number * MAX_TASKS


def build_trace(spec: TraceSpec, capacity: float) -> tuple[TraceJob, ...]:
    """Return jobs whose total work is `spec.load` of the capacity of the time span.

    `capacity` is the work in milliseconds that the endpoints do per millisecond.
    """
    rng = random.Random(spec.seed)
    budget = spec.load * capacity * spec.seconds * clock.SECOND_MS
    drafts: list[TraceJob] = []
    total = at = 0.0
    while total < budget:
        at += rng.expovariate(1.0)
        job = build_job(rng, spec, len(drafts), at)
        drafts.append(job)
        total += job.total_ms
    # The last job arrives at the end of the time span, which gives the exact load.
    scale = spec.seconds * clock.SECOND_MS / at if at else 0.0
    return tuple(dataclasses.replace(job, at_ms=job.at_ms * scale) for job in drafts)


def build_job(rng: random.Random, spec: TraceSpec, number: int, at: float) -> TraceJob:
    """Return a random job."""
    weights = [each.share for each in spec.classes]
    kind = rng.choices(spec.classes, weights)[0]
    member = rng.choices(spec.members, spec.shares or None)[0]
    width = kind.tasks_median * rng.lognormvariate(0.0, kind.tasks_sigma)
    count = min(max(round(width), 1), MAX_TASKS)
    work = tuple(draw_work(rng, kind.work_ms) for _ in range(count))
    return TraceJob(number, at, member, kind.name, work)


def draw_work(rng: random.Random, median_ms: float) -> float:
    """Return the random work of a task, lognormal around a median within bounds."""
    work_ms = median_ms * rng.lognormvariate(0.0, WORK_SIGMA)
    return round(min(max(work_ms, WORK_MIN_MS), WORK_MAX_MS), 1)


def shift(jobs: tuple[TraceJob, ...], by_ms: float, first: int) -> tuple[TraceJob, ...]:
    """Return jobs that arrive later, numbered from `first`."""
    return tuple(
        dataclasses.replace(job, at_ms=job.at_ms + by_ms, number=first + index)
        for index, job in enumerate(jobs)
    )


def merge(*traces: tuple[TraceJob, ...]) -> tuple[TraceJob, ...]:
    """Return the jobs of several traces in order of arrival, renumbered."""
    jobs = sorted((job for each in traces for job in each), key=lambda job: job.at_ms)
    return tuple(dataclasses.replace(job, number=n) for n, job in enumerate(jobs))
