"""Submits a random stream of jobs to a simulated dispatcher and rates the outcomes.

The load resembles that of the users: three classes of jobs, whose tasks take a third
to a half of an endpoint, on endpoints of two sizes whose speeds differ by a factor of
two. On `TIGHT` endpoints a task takes a half and up to three quarters.
"""

from __future__ import annotations

import dataclasses
import itertools
import math
import random
import statistics

from bench.pool import simulation
from knapweedbeam_core.pool import messages, room_policy

LATE_FACTOR = 3
LATE_SHARE = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class JobClass:
    """A class of jobs: its rate, mean sizes and the value of a job of mean work."""

    name: str
    per_second: float
    work_ms: float
    width: float
    value: float
    priority: int
    max_attempts: int


CLASSES = (
    JobClass("check", 17.2, 60, 8, 0.0291, 0, 4),
    JobClass("assign", 3.12, 900, 4, 0.16, 2, 3),
    JobClass("confirm", 50.0, 200, 2, 0.01, 1, 2),
)
SLACK_FACTOR = 1.6
ALLOWANCE_MS = 60


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """The job classes, and endpoints' sizes and speeds, which repeat.

    A task takes `task_share` of an endpoint of size 1, at most `max_task_share`.
    """

    classes: tuple[JobClass, ...] = CLASSES
    sizes: tuple[float, ...] = (1.0, 1.0, 1.5)
    speeds: tuple[float, ...] = (0.55, 1.2, 1.2, 1.2)
    cpu_millis: int = 32_000
    task_share: float = 0.4375
    max_task_share: float = 0.625


DEFAULT = Setting()
# For 24 endpoints, as in the deployments that load theirs hardest.
TIGHT = Setting(
    (
        JobClass("lock", 12.4, 60, 8, 0.00485, 0, 4),
        JobClass("refresh", 2.25, 900, 4, 0.0267, 2, 3),
        JobClass("confirm", 36.0, 200, 2, 0.00167, 1, 2),
    ),
    speeds=(0.8, 1.0, 1.25),
    cpu_millis=16_000,
    task_share=0.5,
    max_task_share=0.75,
)
# The same with three queues of about equal value a second.
WIDE = dataclasses.replace(
    TIGHT,
    classes=(
        JobClass("lock", 12.4, 51, 8, 0.00485, 0, 2),
        JobClass("refresh", 2.25, 760, 4, 0.0267, 2, 2),
        JobClass("transfer", 36.0, 170, 2, 0.00167, 1, 4),
    ),
    max_task_share=0.5 / 0.7,
)
# Interval at which the room at work is sampled.
SAMPLE_MS = 20


@dataclasses.dataclass(slots=True)
class SubmittedJob:
    """A submitted job with its time objective and its value."""

    job_id: str
    name: str
    at_ms: int
    objective_ms: float
    value: float
    domain: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Shares of all jobs by outcome, and the earned share of their value.

    `worth`, `by_class`, `by_domain` and `by_second` are shares of the value of all
    jobs, of each class, of each failure domain and of the jobs of each second.
    `refused_early` is the share of refusals within a quarter of the objective, `room`
    the mean share of the processor capacity at work while tasks wait.
    """

    in_time: float
    late: float
    refused: float
    worth: float
    by_class: dict[str, float]
    by_domain: dict[str, float]
    by_second: list[float]
    refused_early: float
    room: float

    def get_worst_seconds(self) -> float:
        """Return the mean worth of the worst tenth of the seconds."""
        worst = sorted(self.by_second)
        return statistics.fmean(worst[: max(1, len(worst) // 10)])


class LoadSimulation(simulation.Simulation):
    """A simulation in which the tasks of one job differ in work."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.task_work_ms: dict[str, int] = {}

    def get_work_ms(self, task: str) -> int:
        """Return how long a task runs on an endpoint of speed 1."""
        return self.task_work_ms[task]


def draw_lognormal(
    rng: random.Random, mean: float, spread: float, maximum: float
) -> float:
    """Return a lognormal number of a given mean, at most `maximum`.

    `spread` is the standard deviation as a share of the mean.
    """
    sigma = math.sqrt(math.log(1 + spread * spread))
    return min(maximum, rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma))


class LoadRun:
    """A run: a deployment, the jobs submitted to it and their outcomes.

    `load` is a factor on the rates of the job classes. Submissions come from `domains`
    in turn, so that one which is named twice has twice the load.
    """

    def __init__(
        self,
        load: float,
        seed: int = 1,
        endpoints: int = 24,
        cpu_millis: int = 0,
        setting: Setting = DEFAULT,
        domains: tuple[str, ...] = ("",),
        policy: room_policy.RoomPolicy = room_policy.DEFAULT,
    ) -> None:
        self.rng = random.Random(seed)
        self.load = load
        self.setting = setting
        self.classes = setting.classes
        self.domains = domains
        self.cpu_millis = cpu_millis or setting.cpu_millis
        self.room_samples: list[float] = []
        self.simulation = LoadSimulation(seed)
        self.submitted: list[SubmittedJob] = []
        sizes = list(itertools.islice(itertools.cycle(setting.sizes), endpoints))
        speeds = list(itertools.islice(itertools.cycle(setting.speeds), endpoints))
        self.rng.shuffle(sizes)
        self.rng.shuffle(speeds)
        for number, (size, speed) in enumerate(zip(sizes, speeds, strict=True)):
            capacity_millis = int(self.cpu_millis * size)
            self.simulation.add_endpoint(f"e{number}", capacity_millis, speed)
        self.dispatcher = self.simulation.add_dispatcher("a", 10, policy=policy)
        self.simulation.advance(50)

    def submit(self, kind: JobClass) -> None:
        """Submit a random job of a class."""
        rng = self.rng
        job_id = f"{kind.name}{len(self.submitted)}"
        work_ms = draw_lognormal(rng, kind.work_ms, 0.4, 4 * kind.work_ms)
        count = max(1, round(draw_lognormal(rng, kind.width, 0.4, 4 * kind.width)))
        cpu_millis = int(
            draw_lognormal(
                rng,
                self.setting.task_share * self.cpu_millis,
                0.2,
                self.setting.max_task_share * self.cpu_millis,
            )
        )
        estimate_ms = work_ms * 2 ** rng.uniform(-0.58, 0.58)
        longest_ms = 0.0
        for index in range(count):
            task_ms = draw_lognormal(rng, work_ms, 0.15, 2 * work_ms)
            longest_ms = max(longest_ms, task_ms)
            self.simulation.task_work_ms[f"{job_id}.0.0.{index}"] = int(task_ms)
        objective_ms = SLACK_FACTOR * longest_ms + ALLOWANCE_MS
        mean_work = kind.work_ms * kind.width
        value = kind.value * min(4, 0.3 + 0.7 * work_ms * count / mean_work)
        domain = self.domains[len(self.submitted) % len(self.domains)]
        now_ms = self.simulation.now_ms
        self.submitted.append(
            SubmittedJob(job_id, kind.name, now_ms, objective_ms, value, domain)
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
            domain=domain,
        )

    def run_for(self, seconds: float) -> None:
        """Submit jobs at the rate of the load for some seconds."""
        end_ms = self.simulation.now_ms + int(seconds * 1_000)
        arrivals: list[tuple[int, JobClass]] = []
        for kind in self.classes:
            at_ms = float(self.simulation.now_ms)
            while True:
                at_ms += self.rng.expovariate(kind.per_second * self.load) * 1_000
                if at_ms >= end_ms:
                    break
                arrivals.append((int(at_ms), kind))
        self.simulation.schedule_after(SAMPLE_MS, lambda: self.sample_room(end_ms))
        for at_ms, kind in sorted(arrivals, key=lambda arrival: arrival[0]):
            self.simulation.advance(max(0, at_ms - self.simulation.now_ms))
            self.submit(kind)
        self.simulation.advance(max(0, end_ms - self.simulation.now_ms))

    def sample_room(self, until_ms: int) -> None:
        """Record the share of capacity at work if tasks wait, and again later."""
        if any(job.waiting for job in self.dispatcher.queue.values()):
            running = list(self.simulation.endpoints.values())
            used = sum(
                attempt.cpu_millis
                for endpoint in running
                for attempt in endpoint.running_attempts.values()
            )
            self.room_samples.append(used / sum(each.cpu_millis for each in running))
        if self.simulation.now_ms < until_ms:
            self.simulation.schedule_after(
                SAMPLE_MS, lambda: self.sample_room(until_ms)
            )

    def finish(self) -> Result:
        """Wait for open jobs to end and return the result.

        A job in time earns its value, one that takes at most three times its
        objective earns a fifth of it, and any other earns nothing.
        """
        self.simulation.advance(6_000)
        earnings: dict[str, list[tuple[float, float]]] = {}
        by_domain: dict[str, list[tuple[float, float]]] = {}
        by_second: dict[int, list[tuple[float, float]]] = {}
        in_time = late = refused = refused_early = 0
        for job in self.submitted:
            message, at_ms = self.simulation.outcomes.get(job.job_id, (None, 0))
            duration_ms = at_ms - job.at_ms
            share = 0.0
            if isinstance(message, messages.JobRefused):
                refused += 1
                refused_early += duration_ms <= job.objective_ms / 4
            elif isinstance(message, messages.JobComplete):
                if duration_ms <= job.objective_ms:
                    in_time += 1
                    share = 1.0
                elif duration_ms <= LATE_FACTOR * job.objective_ms:
                    late += 1
                    share = LATE_SHARE
            pair = (share * job.value, job.value)
            earnings.setdefault(job.name, []).append(pair)
            by_domain.setdefault(job.domain, []).append(pair)
            by_second.setdefault(job.at_ms // 1_000, []).append(pair)
        count = len(self.submitted)
        all_pairs = [pair for pairs in earnings.values() for pair in pairs]
        by_class = {name: get_share(pairs) for name, pairs in sorted(earnings.items())}
        return Result(
            in_time / count,
            late / count,
            refused / count,
            get_share(all_pairs),
            by_class,
            {name: get_share(pairs) for name, pairs in sorted(by_domain.items())},
            [get_share(pairs) for _, pairs in sorted(by_second.items())],
            refused_early / refused if refused else 1.0,
            statistics.fmean(self.room_samples or [0.0]),
        )


def get_share(pairs: list[tuple[float, float]]) -> float:
    """Return the share of value earned, from pairs of earned and full value."""
    total = sum(value for _, value in pairs)
    return sum(earned for earned, _ in pairs) / total if total else 0.0


def run(
    load: float, seed: int, seconds: float = 12, setting: Setting = DEFAULT
) -> Result:
    """Return the result of a run at a steady load."""
    load_run = LoadRun(load, seed, setting=setting)
    load_run.run_for(seconds)
    return load_run.finish()


def compare(
    loads: tuple[float, ...], seeds: int, seconds: float, setting: Setting = DEFAULT
) -> list[str]:
    """Return one line of mean results over the seeds for each load."""
    lines = []
    for load in loads:
        results = [run(load, seed, seconds, setting) for seed in range(1, seeds + 1)]

        def mean(name: str, of: list[Result] = results) -> float:
            return statistics.fmean(getattr(result, name) for result in of)

        classes = " ".join(
            f"{name} {statistics.fmean(r.by_class.get(name, 0) for r in results):.3f}"
            for name in sorted(results[0].by_class)
        )
        lines.append(
            f"load {load:.2f}: in time {mean('in_time'):.3f} late {mean('late'):.3f} "
            f"refused {mean('refused'):.3f} worth {mean('worth'):.3f} {classes} "
            f"room {mean('room'):.3f}"
        )
    return lines
