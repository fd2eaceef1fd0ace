"""Show each limit as written and in exact whole numbers."""

from __future__ import annotations

import dataclasses
import fractions
import math

from knapweedbeam_core.bundles import model

DIMENSION_WORDS = {
    model.Dimension.TASK_STARTS: "task starts",
    model.Dimension.SLOT_MS: "ms of slot time",
    model.Dimension.CONCURRENT_TASKS: "concurrent tasks",
    model.Dimension.BYTES: "bytes",
}


@dataclasses.dataclass(frozen=True, slots=True)
class LimitLine:
    """One limit of one member, in the contract's words and in exact numbers."""

    member: str
    limit: str
    written: str
    exact: str


def get_amount(limit: model.Limit, unit: model.Unit) -> int:
    """Return a limit in its dimension's own number, rounded down."""
    return math.floor(
        fractions.Fraction(limit.amount) * fractions.Fraction(unit.factor)
    )


def explain_limits(bundle: model.Bundle) -> tuple[LimitLine, ...]:
    """Return every limit of a bundle, in its order."""
    units = {unit.name: unit for unit in bundle.units}
    return tuple(
        explain_limit(contract.member, limit, units[limit.unit])
        for contract in bundle.contracts
        for limit in contract.limits
    )


def explain_limit(member: str, limit: model.Limit, unit: model.Unit) -> LimitLine:
    """Return one limit in both forms."""
    words = DIMENSION_WORDS[unit.dimension]
    window = explain_window(limit)
    written = f"{limit.amount} {limit.unit}{window}"
    exact = f"{get_amount(limit, unit)} {words}{window}"
    return LimitLine(member, limit.name, written, exact)


def explain_window(limit: model.Limit) -> str:
    """Return the window in words, empty for concurrent tasks."""
    if not limit.window_s:
        return ""
    return f" in each {limit.alignment.value} window of {limit.window_s} s"
