"""Steady load at 30, 70 and 90% of the capacity."""

from __future__ import annotations

from bench import deployment, environment
from bench.scenarios import model

LOADS = (0.3, 0.7, 0.9)
SECONDS = 12.0


def build(
    plan: deployment.Deployment, options: model.Options
) -> tuple[environment.Phase, ...]:
    """Return one phase per load."""
    seconds = options.seconds or SECONDS
    return tuple(
        environment.Phase(
            f"{load * 100:.0f}",
            seconds,
            model.build_jobs(plan, options.seed + index, seconds, load),
        )
        for index, load in enumerate(options.loads or LOADS)
    )


SCENARIO = model.LoadScenario(
    name="steady",
    summary="Steady load at 30, 70 and 90% of the capacity.",
    build=build,
    deployments=("cotopaxi", "hielo"),
)
