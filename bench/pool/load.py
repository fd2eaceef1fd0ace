"""Plays a stream of jobs against a dispatcher and tells what callers got.

The load is drawn like the users': three classes of jobs, whose tasks take a third to
a half of an endpoint, on endpoints of two sizes whose speeds differ by a factor of two.
"""

from __future__ import annotations

import dataclasses
import math
import random
import statistics

from bench.pool import simulation
from knapweedbeam_core.pool import messages

LATE_FACTOR = 3
LATE_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class JobClass:
    """One class of jobs: sizes are means, `worth` is a job's of mean work."""

    name: str
    per_second: float
    work_ms: float
    width: float
    worth: float
    priority: int
    max_attempts: int


CLASSES = (
    JobClass("check", 17.2, 60, 8, 0.0291, 0, 4),
    JobClass("assign", 3.12, 900, 4, 0.16, 2, 3),
    JobClass("confirm", 50.0, 200, 2, 0.01, 1, 2),
)
SPEEDS = (0.55, 1.2, 1.2, 1.2)
SIZES = (1.0, 1.0, 1.5)
SLACK_FACTOR = 1.6
ALLOWANCE_MS = 60


@dataclasses.dataclass(slots=True)
class SubmittedJob:
    """A job on its way, and what it is worth."""

    job_id: str
    name: str
    at_ms: int
    objective_ms: float
    worth: float


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What callers got: shares of all jobs, and of all worth."""

    in_time: float
    late: float
    refused: float
    worth: float
    by_class: dict[str, float]


class LoadSimulation(simulation.Simulation):
    """A world whose tasks differ in work within a job."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.task_work_ms: dict[str, int] = {}

    def get_work_ms(self, task: str) -> int:
        """Return the work of a task on a sound endpoint."""
        return self.task_work_ms[task]


def draw(rng: random.Random, mean: float, spread: float, most: float) -> float:
    """Return a lognormal number of a given mean, cut off above."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    return min(most, rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma))


class LoadRun:
    """One run: a deployment, its traffic, and the outcome of each job."""

    def __init__(
        self, load: float, seed: int = 1, endpoints: int = 24, cpu_millis: int = 32_000
    ) -> None:
        self.rng = random.Random(seed)
        self.load = load
        self.cpu_millis = cpu_millis
        self.simulation = LoadSimulation(seed)
        self.submitted: list[SubmittedJob] = []
        sizes = [SIZES[number % 3] for number in range(endpoints)]
        speeds = [SPEEDS[number % 4] for number in range(endpoints)]
        self.rng.shuffle(sizes)
        self.rng.shuffle(speeds)
        for number, (size, speed) in enumerate(zip(sizes, speeds, strict=True)):
            self.simulation.add_endpoint(f"e{number}", int(cpu_millis * size), speed)
        self.dispatcher = self.simulation.add_dispatcher("a", 10)
        self.simulation.advance(50)

    def submit(self, kind: JobClass) -> None:
        """Send one job of a class."""
        rng = self.rng
        job_id = f"{kind.name}{len(self.submitted)}"
        work_ms = draw(rng, kind.work_ms, 0.4, 4 * kind.work_ms)
        count = max(1, round(draw(rng, kind.width, 0.4, 4 * kind.width)))
        cpu_millis = int(
            draw(rng, 0.4375 * self.cpu_millis, 0.2, 0.625 * self.cpu_millis)
        )
        estimate_ms = work_ms * 2 ** rng.uniform(-0.58, 0.58)
        longest_ms = 0.0
        for index in range(count):
            task_ms = draw(rng, work_ms, 0.15, 2 * work_ms)
            longest_ms = max(longest_ms, task_ms)
            self.simulation.task_work_ms[f"{job_id}.0.0.{index}"] = int(task_ms)
        objective_ms = SLACK_FACTOR * longest_ms + ALLOWANCE_MS
        mean_work = kind.work_ms * kind.width
        worth = kind.worth * min(4, 0.3 + 0.7 * work_ms * count / mean_work)
        self.submitted.append(
            SubmittedJob(job_id, kind.name, self.simulation.now_ms, objective_ms, worth)
        )
        self.simulation.submit(
            self.dispatcher,
            job_id,
            count,
            int(work_ms),
            cpu_millis,
            int(estimate_ms),
            patience_ms=2_500,
            max_attempts=kind.max_attempts,
            priority=kind.priority,
            queue=kind.name,
        )

    def run_for(self, seconds: float) -> None:
        """Send jobs at the load's rate for some seconds."""
        end_ms = self.simulation.now_ms + int(seconds * 1_000)
        arrivals: list[tuple[int, JobClass]] = []
        for kind in CLASSES:
            at_ms = float(self.simulation.now_ms)
            while True:
                at_ms += self.rng.expovariate(kind.per_second * self.load) * 1_000
                if at_ms >= end_ms:
                    break
                arrivals.append((int(at_ms), kind))
        for at_ms, kind in sorted(arrivals, key=lambda arrival: arrival[0]):
            self.simulation.advance(max(0, at_ms - self.simulation.now_ms))
            self.submit(kind)
        self.simulation.advance(max(0, end_ms - self.simulation.now_ms))

    def finish(self) -> Result:
        """Wait for what is open and tell what callers got."""
        self.simulation.advance(6_000)
        got: dict[str, list[tuple[float, float]]] = {}
        in_time = late = refused = 0
        for job in self.submitted:
            message, at_ms = self.simulation.outcomes.get(job.job_id, (None, 0))
            took_ms = at_ms - job.at_ms
            share = 0.0
            if isinstance(message, messages.JobRefused):
                refused += 1
            elif isinstance(message, messages.JobComplete):
                if took_ms <= job.objective_ms:
                    in_time += 1
                    share = 1.0
                elif took_ms <= LATE_FACTOR * job.objective_ms:
                    late += 1
                    share = LATE_SHARE
            got.setdefault(job.name, []).append((share * job.worth, job.worth))
        count = len(self.submitted)
        everything = [pair for pairs in got.values() for pair in pairs]
        by_class = {name: get_share(pairs) for name, pairs in sorted(got.items())}
        return Result(
            in_time / count,
            late / count,
            refused / count,
            get_share(everything),
            by_class,
        )


def get_share(pairs: list[tuple[float, float]]) -> float:
    """Return the earned share of what could be earned."""
    owed = sum(worth for _, worth in pairs)
    return sum(earned for earned, _ in pairs) / owed if owed else 0.0


def run(load: float, seed: int, seconds: float = 12) -> Result:
    """Play one steady run."""
    played = LoadRun(load, seed)
    played.run_for(seconds)
    return played.finish()


def compare(loads: tuple[float, ...], seeds: int, seconds: float) -> list[str]:
    """Return a line of means for each load."""
    lines = []
    for load in loads:
        results = [run(load, seed, seconds) for seed in range(1, seeds + 1)]

        def mean(name: str, of: list[Result] = results) -> float:
            return statistics.fmean(getattr(result, name) for result in of)

        classes = " ".join(
            f"{name} {statistics.fmean(r.by_class.get(name, 0) for r in results):.3f}"
            for name in sorted(results[0].by_class)
        )
        lines.append(
            f"load {load:.2f}: in time {mean('in_time'):.3f} late {mean('late'):.3f} "
            f"refused {mean('refused'):.3f} worth {mean('worth'):.3f} {classes}"
        )
    return lines
