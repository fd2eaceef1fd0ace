"""Measures policies in virtual time: real dispatchers, a delay per link, no sockets.

Run `python -m bench.policy_runs steady|flood|black-hole|straggler` with
`--policy`, `--load`, `--deployment`, `--seed`. Each line of output is one run.
"""

from __future__ import annotations

import dataclasses
import functools
import itertools
import random
import statistics
import sys
import time
import typing

import typer

from bench import dispatch_simulation, ideal, trace
from knapweedbeam_core import outcomes
from knapweedbeam_core.dispatch.policies import catalogue

app = typer.Typer(help=__doc__, no_args_is_help=True)

WARM_UP_MS = 6_000
DRAIN_MS = 30_000
PAUSE_MS = 500
FLOOD_FACTOR = 10
PACES = tuple(1.0 + 3.0 * index / 23 for index in range(24))
MEMBERS = ("m0", "m1", "m2", "m3")
DEPLOYMENTS = {
    "cotopaxi": dispatch_simulation.Settings(
        domains=4, per_domain=2, cross_domain_ms=1.0
    ),
    "hielo": dispatch_simulation.Settings(domains=3, per_domain=3, cross_domain_ms=0.5),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The parameters of one run."""

    deployment: str
    policy: str
    load: float
    seed: int
    seconds: float = 12.0
    message_weight: int = 1


@dataclasses.dataclass(slots=True)
class Figures:
    """The results of one run."""

    plan: Plan
    jobs: int
    complete: int
    slowdown: float
    p99_single: float
    messages_per_task: float
    over: int
    breaches: int
    processor_s: float
    kinds: dict[str, float]
    extra: dict[str, float] = dataclasses.field(default_factory=dict)

    def show(self) -> None:
        """Print the run and its results in one line."""
        kinds = " ".join(f"{name}={rate:.3f}" for name, rate in self.kinds.items())
        extra = " ".join(f"{name}={value:.3f}" for name, value in self.extra.items())
        plan = self.plan
        print(
            f"{plan.deployment:9}{plan.policy:18}{plan.load:5.2f} seed {plan.seed}"
            f" jobs {self.complete}/{self.jobs} slowdown {self.slowdown:.3f}"
            f" p99single {self.p99_single:.3f} msgs/task {self.messages_per_task:.3f}"
            f" over {self.over} breaches {self.breaches} cpu {self.processor_s:.1f}"
            f" [{kinds}] {extra}"
        )
        sys.stdout.flush()


def build_simulation(plan: Plan) -> dispatch_simulation.Simulation:
    """Build a simulation and run it until its warm-up is over."""
    settings = dataclasses.replace(
        DEPLOYMENTS[plan.deployment],
        policy=plan.policy,
        paces=get_shuffled_paces(),
        message_weight=plan.message_weight,
    )
    simulation = dispatch_simulation.Simulation(settings, plan.seed)
    simulation.run(WARM_UP_MS)
    return simulation


def get_shuffled_paces() -> tuple[float, ...]:
    """Return the endpoints' paces, shuffled over the failure domains."""
    paces = list(PACES)
    random.Random(1).shuffle(paces)
    return tuple(paces)


def get_capacity(simulation: dispatch_simulation.Simulation) -> float:
    """Return the work in milliseconds that all endpoints do per millisecond."""
    return sum(each.slots * each.pace for each in simulation.endpoints.values())


def submit_trace(
    simulation: dispatch_simulation.Simulation,
    jobs: typing.Sequence[trace.TraceJob],
    seed: int,
) -> dict[int, dispatch_simulation.JobRecord]:
    """Schedule a trace's jobs at random entry VMs.

    Returns the records by job number; they appear as the jobs are submitted.
    """
    rng = random.Random(seed)
    names = [name for name, _ in simulation.names]
    records: dict[int, dispatch_simulation.JobRecord] = {}

    def submit(job: trace.TraceJob, owner: str) -> None:
        records[job.number] = simulation.submit(
            owner, job.member, job.work_ms, job.job_class
        )

    for job in jobs:
        action = functools.partial(submit, job, rng.choice(names))
        simulation.schedule(WARM_UP_MS + job.at_ms, action)
    return records


def run_trace(
    plan: Plan,
    simulation: dispatch_simulation.Simulation,
    jobs: typing.Sequence[trace.TraceJob],
) -> Figures:
    """Run a trace and compare its response times with the ideal ones."""
    records = submit_trace(simulation, jobs, plan.seed)
    simulation.messages.clear()
    starts = simulation.task_starts
    over = simulation.count_over_slots()
    started_s = time.process_time()
    simulation.run(WARM_UP_MS + plan.seconds * 1_000)
    messages = dict(simulation.messages)
    tasks = max(1, simulation.task_starts - starts)
    simulation.run(WARM_UP_MS + plan.seconds * 1_000 + DRAIN_MS)
    processor_s = time.process_time() - started_s
    stations = [
        ideal.Station(each.slots, each.pace) for each in simulation.endpoints.values()
    ]
    ideal_ms = ideal.get_ideal(jobs, stations)
    done = [j for j in jobs if isinstance(records[j.number].outcome, outcomes.Complete)]
    responses = {j.number: get_response(records[j.number]) for j in done}
    singles = [job.number for job in done if job.job_class == trace.SINGLE]
    mean = statistics.fmean(responses.values())
    return Figures(
        plan,
        len(jobs),
        len(done),
        mean / statistics.fmean(ideal_ms[job.number] for job in done),
        get_p99([responses[n] for n in singles])
        / get_p99([ideal_ms[n] for n in singles]),
        sum(messages.values()) / tasks,
        simulation.count_over_slots() - over,
        len(simulation.breaches),
        processor_s,
        {kind: count / tasks for kind, count in sorted(messages.items())},
        {"mean_ms": mean},
    )


def get_response(record: dispatch_simulation.JobRecord) -> float:
    """Return a job's response time in milliseconds."""
    return record.ended_ms - record.submitted_ms


def get_p99(values: list[float]) -> float:
    """Return the 99th percentile."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * 0.99), len(ordered) - 1)]


def build_jobs(
    plan: Plan, simulation: dispatch_simulation.Simulation
) -> tuple[trace.TraceJob, ...]:
    """Build the trace of a steady load at the plan's share of the capacity."""
    spec = trace.TraceSpec(plan.seed, plan.seconds, plan.load, members=MEMBERS)
    return trace.build_trace(spec, get_capacity(simulation))


@app.callback()
def runs() -> None:
    """Measure placement and slot policies in virtual time."""


@app.command()
def steady(
    deployment: str = "hielo",
    load: list[float] = [0.3, 0.7, 0.9],  # noqa: B006
    policy: list[str] = [catalogue.Policy.LEAST_FINISH],  # noqa: B006
    seed: int = 1,
    seconds: float = 12.0,
    message_weight: int = 1,
) -> None:
    """Steady load, compared with one central queue that has full knowledge."""
    for each in load:
        for name in policy:
            plan = Plan(deployment, name, each, seed, seconds, message_weight)
            simulation = build_simulation(plan)
            run_trace(plan, simulation, build_jobs(plan, simulation)).show()


@app.command()
def black_hole(
    deployment: str = "hielo",
    load: float = 0.7,
    policy: list[str] = [catalogue.Policy.LEAST_FINISH],  # noqa: B006
    seed: list[int] = [1, 2, 3],  # noqa: B006
    seconds: float = 12.0,
) -> None:
    """One endpoint fails every task within 1 ms from the first second on."""
    for name in policy:
        for each in seed:
            plan = Plan(deployment, name, load, each, seconds)
            simulation = build_simulation(plan)
            endpoint = simulation.endpoints[f"e{each}"]
            fail = functools.partial(setattr, endpoint, "failing", True)
            simulation.schedule(WARM_UP_MS + 1_000, fail)
            figures = run_trace(plan, simulation, build_jobs(plan, simulation))
            figures.extra["lost_tasks"] = endpoint.failures
            figures.extra["lost_before_pause"] = count_before_pause(endpoint)
            figures.show()


def count_before_pause(endpoint: dispatch_simulation.FakeEndpoint) -> int:
    """Return the number of failures before the first pause of half a second."""
    times = endpoint.failed_ms
    for index, (one, other) in enumerate(itertools.pairwise(times)):
        if other - one > PAUSE_MS:
            return index + 1
    return len(times)


@app.command()
def straggler(
    deployment: str = "hielo",
    load: float = 0.7,
    policy: list[str] = [catalogue.Policy.LEAST_FINISH],  # noqa: B006
    seed: int = 1,
    seconds: float = 12.0,
) -> None:
    """One endpoint becomes ten times slower halfway through the run."""
    for name in policy:
        plan = Plan(deployment, name, load, seed, seconds)
        simulation = build_simulation(plan)
        endpoint = simulation.endpoints["e0"]
        slow = functools.partial(setattr, endpoint, "pace", endpoint.pace / 10)
        simulation.schedule(WARM_UP_MS + seconds * 500, slow)
        run_trace(plan, simulation, build_jobs(plan, simulation)).show()


@app.command()
def flood(
    deployment: str = "hielo",
    load: float = 0.7,
    policy: list[str] = [catalogue.Policy.LEAST_FINISH],  # noqa: B006
    seed: int = 1,
    seconds: float = 12.0,
) -> None:
    """One member sends ten times its share; measures the others' response times."""
    for name in policy:
        means = []
        for factor in (1, FLOOD_FACTOR):
            plan = Plan(deployment, name, load, seed, seconds)
            simulation = build_simulation(plan)
            jobs = build_jobs(plan, simulation)
            flooding_jobs = [job for job in jobs if job.member == MEMBERS[0]]
            copies = [
                trace.shift(tuple(flooding_jobs), 0.1 * n, len(jobs) * (n + 1))
                for n in range(factor - 1)
            ]
            records = submit_trace(simulation, [*jobs, *itertools.chain(*copies)], seed)
            simulation.run(WARM_UP_MS + seconds * 1_000 + DRAIN_MS)
            others = [job.number for job in jobs if job.member != MEMBERS[0]]
            done = [records[n] for n in others if is_complete(records[n])]
            means.append(statistics.fmean(get_response(record) for record in done))
            print(f"{name} x{factor}: {len(done)}/{len(others)} others complete")
        print(f"{name}: others {means[0]:.1f} ms, flooded {means[1]:.1f} ms,", end=" ")
        print(f"ratio {means[1] / means[0]:.3f}")


def is_complete(record: dispatch_simulation.JobRecord) -> bool:
    """Say whether a job ended with all its answers."""
    return isinstance(record.outcome, outcomes.Complete)


if __name__ == "__main__":
    app()
