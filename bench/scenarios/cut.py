"""A failure domain is partitioned for thirty seconds; a member's limit must hold."""

from __future__ import annotations

import dataclasses

from bench import deployment, environment, measure
from bench.scenarios import model
from knapweedbeam_core import clock

LOAD = 0.3
SECONDS = 42.0
PARTITION_AT_S = 5.0
PARTITION_SECONDS = 30.0
LIMIT_STARTS = 400
LIMIT_WINDOW_S = 5


def adapt(plan: deployment.Deployment) -> deployment.Deployment:
    """Give the last member a limit that its jobs reach."""
    limited_member = dataclasses.replace(
        plan.members[-1], task_starts=LIMIT_STARTS, window_s=LIMIT_WINDOW_S
    )
    return dataclasses.replace(plan, members=(*plan.members[:-1], limited_member))


def build(
    plan: deployment.Deployment, options: model.Options
) -> tuple[environment.Phase, ...]:
    """Return one phase with a partition."""
    seconds = options.seconds or SECONDS
    jobs = model.build_jobs(plan, options.seed, seconds, LOAD)
    actions = (
        environment.Action(PARTITION_AT_S, cut),
        environment.Action(PARTITION_AT_S + PARTITION_SECONDS, heal),
    )
    return (environment.Phase("", seconds, jobs, actions),)


def cut(running: environment.Environment) -> None:
    """Partition the last failure domain from the others."""
    running.cluster.partition_domain(running.plan.domains[-1])


def heal(running: environment.Environment) -> None:
    """End the partition of the last failure domain."""
    running.cluster.heal_domain(running.plan.domains[-1])


def compute_figures(scenario_run: model.ScenarioRun) -> model.Figures:
    """Return complete shares and mean responses on both sides of the partition.

    Jobs of the member with a limit are left out.
    """
    (phase,) = scenario_run.phases
    domain = scenario_run.plan.domains[-1]
    inside = {vm.name for vm in scenario_run.plan.get_vms(domain)}
    limited_member = scenario_run.plan.members[-1].name
    during = [
        each
        for each in phase.results
        if PARTITION_AT_S
        <= each.at_ms / clock.SECOND_MS
        < PARTITION_AT_S + PARTITION_SECONDS
        and each.member != limited_member
    ]
    figures = {}
    for side, own in (
        ("inside", [each for each in during if each.owner in inside]),
        ("outside", [each for each in during if each.owner not in inside]),
    ):
        complete = [each for each in own if each.outcome == "complete"]
        figures[f"{side}_complete_share"] = measure.divide(len(complete), len(own))
        figures[f"{side}_mean_ms"] = measure.mean(each.response_ms for each in complete)
    return figures


SCENARIO = model.LoadScenario(
    name="cut",
    summary="A failure domain is cut off for 30 s; one member has a limit.",
    build=build,
    compute_figures=compute_figures,
    adapt=adapt,
    deployments=("hielo",),
    policies=(model.OWN_POLICY,),
)
