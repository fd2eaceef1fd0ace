"""One member sends ten times its share of the load."""

from __future__ import annotations

from bench import deployment, environment, measure, trace
from bench.scenarios import model

LOAD = 0.4
SECONDS = 12.0
FLOOD_FACTOR = 10.0
CALM = "calm"
FLOOD = "flood"


def build(
    plan: deployment.Deployment, options: model.Options
) -> tuple[environment.Phase, ...]:
    """Return two phases with the same jobs, the second with a flood added."""
    seconds = options.seconds or SECONDS
    calm = model.build_jobs(plan, options.seed, seconds, LOAD)
    extra = (FLOOD_FACTOR - 1.0) * LOAD / len(plan.members)
    spec = trace.TraceSpec(
        options.seed + 1, seconds, extra, members=(plan.members[0].name,)
    )
    flood = trace.merge(calm, trace.build_trace(spec, plan.capacity))
    return (
        environment.Phase(CALM, seconds, calm),
        environment.Phase(FLOOD, seconds, flood),
    )


def compute_figures(scenario_run: model.ScenarioRun) -> model.Figures:
    """Return the other members' mean response with the flood over that without it.

    Also returns how many of their jobs were not run.
    """
    others = frozenset(member.name for member in scenario_run.plan.members[1:])
    calm, flood = (phase.get_mean(others) for phase in scenario_run.phases)
    refused = sum(
        result.outcome == "not_run" and result.member in others
        for result in scenario_run.phases[1].results
    )
    return {
        "others_flood_over_calm": measure.divide(flood, calm),
        "others_refused": float(refused),
    }


SCENARIO = model.LoadScenario(
    name="flood",
    summary="One member sends 10 times its share.",
    build=build,
    compute_figures=compute_figures,
    deployments=("hielo",),
)
