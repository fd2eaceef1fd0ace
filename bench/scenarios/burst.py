"""A burst of five times the load for two seconds, then constant overload."""

from __future__ import annotations

from bench import deployment, environment, measure, trace
from bench.scenarios import model

BASE_LOAD = 0.4
BURST_FACTOR = 5.0
BURST_SECONDS = 2.0
SECONDS = 10.0
FULL_LOAD = 1.0
OVERLOAD_LOAD = 1.5
BURST = "burst"


def build(
    plan: deployment.Deployment, options: model.Options
) -> tuple[environment.Phase, ...]:
    """Return three phases: a burst on a base load, full load and overload."""
    seconds = options.seconds or SECONDS
    base = model.build_jobs(plan, options.seed, seconds, BASE_LOAD)
    extra = (BURST_FACTOR - 1.0) * BASE_LOAD
    burst = model.build_jobs(plan, options.seed + 1, BURST_SECONDS, extra)
    jobs = trace.merge(base, trace.shift(burst, seconds * 300.0, len(base)))
    phases = [environment.Phase(BURST, seconds, jobs)]
    for index, load in enumerate((FULL_LOAD, OVERLOAD_LOAD)):
        own = model.build_jobs(plan, options.seed + 2 + index, seconds, load)
        phases.append(environment.Phase(f"{load * 100:.0f}", seconds, own))
    return tuple(phases)


def compute_figures(scenario_run: model.ScenarioRun) -> model.Figures:
    """Return the goodput under overload divided by that at full load."""
    _, full, over = scenario_run.phases
    return {
        "goodput_150_over_100": measure.divide(over.get_goodput(), full.get_goodput())
    }


SCENARIO = model.LoadScenario(
    name="burst",
    summary="Five times the load for 2 s, then 100% and 150% of the capacity.",
    build=build,
    compute_figures=compute_figures,
)
