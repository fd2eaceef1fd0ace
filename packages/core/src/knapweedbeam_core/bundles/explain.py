"""Explanation of limits: as written and in exact whole numbers."""

from __future__ import annotations

import dataclasses
import fractions
import math

from knapweedbeam_core.bundles import model

DIMENSION_LABELS = {
    model.Dimension.TASK_STARTS: "task starts",
    model.Dimension.SLOT_MS: "ms of slot time",
    model.Dimension.CONCURRENT_TASKS: "concurrent tasks",
    model.Dimension.BYTES: "bytes",
}


@dataclasses.dataclass(frozen=True, slots=True)
class LimitLine:
    """One limit of a member, as written in the contract and in exact numbers."""

    member: str
    limit: str
    written: str
    exact: str


def get_amount(limit: model.Limit, unit: model.Unit) -> int:
    """Return a limit's amount in units of its dimension, rounded down."""
    return math.floor(
        fractions.Fraction(limit.amount) * fractions.Fraction(unit.factor)
    )


def explain_limits(bundle: model.Bundle) -> tuple[LimitLine, ...]:
    """Return the limits of a bundle in their order."""
    units = {unit.name: unit for unit in bundle.units}
    return tuple(
        explain_limit(contract.member, limit, units[limit.unit])
        for contract in bundle.contracts
        for limit in contract.limits
    )


def explain_limit(member: str, limit: model.Limit, unit: model.Unit) -> LimitLine:
    """Return one limit in both forms."""
    label = DIMENSION_LABELS[unit.dimension]
    window = explain_window(limit)
    written = f"{limit.amount} {limit.unit}{window}"
    exact = f"{get_amount(limit, unit)} {label}{window}"
    return LimitLine(member, limit.name, written, exact)


def explain_window(limit: model.Limit) -> str:
    """Return the window as text, empty for concurrent tasks."""
    if not limit.window_s:
        return ""
    return f" in each {limit.alignment.value} window of {limit.window_s} s"
