"""Two entry VMs of different failure domains are killed, one after the other."""

from __future__ import annotations

import collections.abc

from bench import deployment, environment, events, measure
from bench.check import reader
from bench.scenarios import model
from knapweedbeam_core import clock
from knapweedbeam_server import history

LOAD = 0.7
SECONDS = 20.0
FIRST_AT_S = 6.0
SECOND_AT_S = 13.0
DETECTION_MS = 3_000
WINDOW_MS = 3_000


def build(
    plan: deployment.Deployment, options: model.Options
) -> tuple[environment.Phase, ...]:
    """Return one phase in which two entry VMs are killed."""
    jobs = model.build_jobs(plan, options.seed, SECONDS, LOAD)
    actions = tuple(
        environment.Action(at_s, kill(name))
        for at_s, name in zip(
            (FIRST_AT_S, SECOND_AT_S), pick_victims(plan), strict=True
        )
    )
    return (environment.Phase("", SECONDS, jobs, actions),)


def pick_victims(plan: deployment.Deployment) -> tuple[str, str]:
    """Return two entry VMs without a disk, of different failure domains.

    Together they are keepers of endpoints of both domains.
    """
    diskless = [vm for vm in reversed(plan.vms) if not vm.has_disk]
    first = diskless[0]
    second = next(vm for vm in diskless if vm.domain != first.domain)
    return first.name, second.name


def kill(name: str) -> collections.abc.Callable[[environment.Environment], None]:
    """Return an action that kills an entry VM; the load balancer notices at once."""

    def run(running: environment.Environment) -> None:
        running.cluster.kill(name)
        running.client.drop_entry(name)

    return run


def compute_figures(scenario_run: model.ScenarioRun) -> model.Figures:
    """Return figures of the other owners' jobs and the ratio of starts after a kill.

    The starts in `WINDOW_MS`, from `DETECTION_MS` after a kill, are divided by
    those in `WINDOW_MS` before it; the ratio is the lower one of the two kills.
    """
    (phase,) = scenario_run.phases
    victims = frozenset(pick_victims(scenario_run.plan))
    others = [each for each in phase.results if each.owner not in victims]
    starts = [
        record.at_ms
        for record in scenario_run.merged.get(history.Started, history.Role.ENDPOINT)
    ]
    killed = get_kill_times(scenario_run.merged)
    ratios = [
        measure.divide(
            count_between(
                starts, at_ms + DETECTION_MS, at_ms + DETECTION_MS + WINDOW_MS
            ),
            count_between(starts, at_ms - WINDOW_MS, at_ms),
        )
        for at_ms in killed
    ]
    soon_after_kill = [
        each.response_ms for each in others if is_soon_after_kill(each.at_ms)
    ]
    return {
        "others_failed": float(sum(each.outcome == "failed" for each in others)),
        "starts_after_3s_over_before": min(ratios),
        "others_mean_soon_over_mean": measure.divide(
            measure.mean(soon_after_kill),
            measure.mean(each.response_ms for each in others),
        ),
    }


def get_kill_times(merged: reader.History) -> list[int]:
    """Return the times at which entry VMs were killed."""
    return [record.at_ms for record in merged.get(events.Killed)]


def count_between(times: list[int], start_ms: int, end_ms: int) -> float:
    """Return how many times lie in the interval from `start_ms` to `end_ms`."""
    return float(sum(start_ms <= at_ms < end_ms for at_ms in times))


def is_soon_after_kill(at_ms: float) -> bool:
    """Return whether a job arrived within `DETECTION_MS` after a kill."""
    return any(
        0 <= at_ms - kill_s * clock.SECOND_MS < DETECTION_MS
        for kill_s in (FIRST_AT_S, SECOND_AT_S)
    )


SCENARIO = model.LoadScenario(
    name="kill",
    summary="Two entry VMs of different failure domains are killed at 70%.",
    build=build,
    compute_figures=compute_figures,
    deployments=("hielo",),
)
