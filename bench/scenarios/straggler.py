"""Two endpoints become ten times slower in the middle of the run."""

from __future__ import annotations

import statistics

from bench import deployment, environment, host, measure
from bench.scenarios import endpoints, model
from knapweedbeam_core import clock

LOAD = 0.6
SECONDS = 16.0
SLOW_COUNT = 2
SLOWDOWN = 10.0


def build(
    plan: deployment.Deployment, options: model.Options
) -> tuple[environment.Phase, ...]:
    """Return one phase; the endpoints become slow in its middle."""
    seconds = options.seconds or SECONDS
    jobs = model.build_jobs(plan, options.seed, seconds, LOAD)
    slow = endpoints.pick_fastest(plan, SLOW_COUNT)
    action = environment.Action(
        seconds / 2, endpoints.build_change(slow, host.Control(slowdown=SLOWDOWN))
    )
    return (environment.Phase("", seconds, jobs, (action,)),)


def compute_figures(scenario_run: model.ScenarioRun) -> model.Figures:
    """Return the mean response after the middle over that before, and the starts.

    The starts are the mean number of tasks that a slow endpoint started.
    """
    (phase,) = scenario_run.phases
    middle_ms = phase.seconds * clock.SECOND_MS / 2
    complete = phase.get_complete_jobs()
    before = [each.response_ms for each in complete if each.at_ms < middle_ms]
    after = [each.response_ms for each in complete if each.at_ms >= middle_ms]
    starts = [
        len(endpoints.get_starts(scenario_run.merged, name))
        for name in endpoints.pick_fastest(scenario_run.plan, SLOW_COUNT)
    ]
    return {
        "mean_after_over_before": measure.divide(
            measure.mean(after), measure.mean(before)
        ),
        "starts_at_stragglers": statistics.fmean(starts),
    }


SCENARIO = model.LoadScenario(
    name="straggler",
    summary="Two endpoints are 10 times slower from the middle on.",
    build=build,
    compute_figures=compute_figures,
)
