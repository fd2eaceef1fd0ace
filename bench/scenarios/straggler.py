"""Two endpoints become ten times slower midway."""

from __future__ import annotations

import statistics

from bench import deployment, host, measure, stage
from bench.scenarios import endpoints, model
from knapweedbeam_core import clock

LOAD = 0.6
SECONDS = 16.0
SLOW = 2
SLOWDOWN = 10.0


def build(
    plan: deployment.Deployment, options: model.Options
) -> tuple[stage.Phase, ...]:
    """Return one phase; the endpoints slow down in its middle."""
    seconds = options.seconds or SECONDS
    jobs = model.build_jobs(plan, options.seed, seconds, LOAD)
    slow = endpoints.pick_fastest(plan, SLOW)
    action = stage.Action(
        seconds / 2, endpoints.change(slow, host.Control(slowdown=SLOWDOWN))
    )
    return (stage.Phase("", seconds, jobs, (action,)),)


def judge(played: model.Played) -> model.Figures:
    """Return the mean response before and after the middle, and the starts."""
    (phase,) = played.phases
    middle_ms = phase.seconds * clock.SECOND_MS / 2
    complete = phase.get_complete()
    before = [each.response_ms for each in complete if each.at_ms < middle_ms]
    after = [each.response_ms for each in complete if each.at_ms >= middle_ms]
    starts = [
        len(endpoints.get_starts(played.merged, name))
        for name in endpoints.pick_fastest(played.plan, SLOW)
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
    judge=judge,
)
