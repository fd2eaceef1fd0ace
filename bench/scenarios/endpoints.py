"""Helpers of the scenarios in which endpoints change or fail."""

from __future__ import annotations

import collections.abc

from bench import deployment, environment, host
from bench.check import reader
from knapweedbeam_server import history


def pick_fastest(plan: deployment.Deployment, count: int) -> tuple[str, ...]:
    """Return the fastest endpoints, whose loss or fault costs most capacity."""
    ordered = sorted(plan.endpoints, key=lambda each: each.speed, reverse=True)
    return tuple(each.name for each in ordered[:count])


def build_change(
    names: collections.abc.Iterable[str], control: host.Control
) -> collections.abc.Callable[[environment.Environment], None]:
    """Return an action that changes some endpoints of a running environment."""
    chosen = tuple(names)

    def run(running: environment.Environment) -> None:
        for name in chosen:
            running.cluster.change_endpoint(name, control)

    return run


def get_starts(merged: reader.History, name: str) -> list[int]:
    """Return the times at which an endpoint recorded the start of a task."""
    return [
        record.at_ms
        for record in merged.get(history.Started, history.Role.ENDPOINT)
        if record.process == name
    ]


def get_statuses(merged: reader.History, name: str, status: int) -> list[int]:
    """Return the times at which an endpoint answered tasks with an HTTP status."""
    return [
        record.at_ms
        for record in merged.get(history.TaskAnswered, history.Role.ENDPOINT)
        if record.process == name and record.event.status == status
    ]
