"""All endpoints leave one after the other, and each returns a little later."""

from __future__ import annotations

from bench import deployment, environment, host
from bench.check import reader
from bench.scenarios import endpoints, model
from knapweedbeam_server import history

LOAD = 0.4
SECONDS = 36.0
FIRST_AT_S = 2.0
LEAVE_INTERVAL_S = 1.0
AWAY_S = 6.0


def build(
    plan: deployment.Deployment, options: model.Options
) -> tuple[environment.Phase, ...]:
    """Return one phase in which the endpoints leave in turn and return."""
    seconds = options.seconds or SECONDS
    jobs = model.build_jobs(plan, options.seed, seconds, LOAD)
    actions = []
    for index, endpoint in enumerate(plan.endpoints):
        at_s = FIRST_AT_S + index * LEAVE_INTERVAL_S
        leave = endpoints.build_change([endpoint.name], host.Control(leaving=True))
        back = endpoints.build_change([endpoint.name], host.Control(leaving=False))
        actions += [
            environment.Action(at_s, leave),
            environment.Action(at_s + AWAY_S, back),
        ]
    return (environment.Phase("", seconds, jobs, tuple(actions)),)


def compute_figures(scenario_run: model.ScenarioRun) -> model.Figures:
    """Return the longest delay from an endpoint's leaving to a start on it.

    Also returns how many endpoints left.
    """
    first: dict[tuple[str, int], int] = {}
    for left in scenario_run.merged.get(history.Leaving, history.Role.ENDPOINT):
        first.setdefault((left.process, left.incarnation), left.at_ms)
    delays = [
        get_start_delay(first, started) for started in get_starts(scenario_run.merged)
    ]
    return {"last_start_after_leaving_ms": max(delays), "left": float(len(first))}


def get_starts(merged: reader.History) -> list[reader.Record[history.Started]]:
    """Return the task starts that the endpoints recorded."""
    return merged.get(history.Started, history.Role.ENDPOINT)


def get_start_delay(
    first: dict[tuple[str, int], int], started: reader.Record[history.Started]
) -> float:
    """Return the milliseconds from its endpoint's leaving to a task start, or 0."""
    left_ms = first.get((started.process, started.incarnation))
    return float(max(0, started.at_ms - left_ms)) if left_ms is not None else 0.0


SCENARIO = model.LoadScenario(
    name="leave",
    summary="All endpoints leave one after the other and come back.",
    build=build,
    compute_figures=compute_figures,
    deployments=("hielo",),
    policies=(model.OWN_POLICY,),
)
