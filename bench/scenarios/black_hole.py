"""Two endpoints fail every task within a millisecond, like black holes."""

from __future__ import annotations

import itertools

from bench import deployment, environment, faults, host
from bench.scenarios import endpoints, model

LOAD = 0.5
SECONDS = 15.0
FAULT_SHARE = 1 / 3
FAILING_COUNT = 2
TRIAL_GAP_MS = 1_000
LATE_LOSS_MS = 5_000


def build(
    plan: deployment.Deployment, options: model.Options
) -> tuple[environment.Phase, ...]:
    """Return one phase; the endpoints start to fail after a third of it."""
    seconds = options.seconds or SECONDS
    jobs = model.build_jobs(plan, options.seed, seconds, LOAD)
    failing = endpoints.pick_fastest(plan, FAILING_COUNT)
    fail = endpoints.build_change(failing, host.Control(fault=faults.Fault.FAIL))
    action = environment.Action(seconds * FAULT_SHARE, fail)
    return (environment.Phase("", seconds, jobs, (action,)),)


def compute_figures(scenario_run: model.ScenarioRun) -> model.Figures:
    """Return how many tasks the worst endpoint lost until trials, in all and late."""
    losses = [
        endpoints.get_statuses(scenario_run.merged, name, 500)
        for name in endpoints.pick_fastest(scenario_run.plan, FAILING_COUNT)
    ]
    return {
        "tasks_lost_until_trials": max(count_until_gap(each) for each in losses),
        "tasks_lost_worst": float(max(len(each) for each in losses)),
        "tasks_lost_late": max(count_late(each) for each in losses),
    }


def count_until_gap(times: list[int]) -> float:
    """Return how many tasks were lost before the first gap of `TRIAL_GAP_MS`."""
    for count, (before, after) in enumerate(itertools.pairwise(times), 1):
        if after - before >= TRIAL_GAP_MS:
            return float(count)
    return float(len(times))


def count_late(times: list[int]) -> float:
    """Return how many tasks were lost `LATE_LOSS_MS` or more after the first."""
    return float(sum(at_ms >= times[0] + LATE_LOSS_MS for at_ms in times))


SCENARIO = model.LoadScenario(
    name="black-hole",
    summary="Two endpoints fail all at once, in 1 ms.",
    build=build,
    compute_figures=compute_figures,
)
