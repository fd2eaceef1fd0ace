"""Sparklines of histograms, and values with their units."""

from __future__ import annotations

import math

from knapweedbeam_core import histogram_series, outcomes

BARS = " ▁▂▃▄▅▆▇█"
COLUMNS_PER_DOUBLING = 2
RATIO_SCALE = 1_000
MS_PER_S = 1_000


def get_column(value: int) -> int:
    """Return the column of a value: two columns for each doubling."""
    return int(math.log2(max(value, 1)) * COLUMNS_PER_DOUBLING)


def count_by_column(series: histogram_series.Series) -> dict[int, int]:
    """Return how many values fall into each column."""
    histogram = histogram_series.decode(series.encoded)
    if isinstance(histogram, outcomes.Refusal):
        return {}
    counts: dict[int, int] = {}
    for item in histogram.get_recorded_iterator():
        column = get_column(item.value_iterated_to)
        counts[column] = counts.get(column, 0) + item.count_added_in_this_iter_step
    return counts


def build_sparkline(counts: dict[int, int]) -> str:
    """Return one bar for each column from the first to the last that has values."""
    if not counts:
        return ""
    highest = max(counts.values())
    columns = range(min(counts), max(counts) + 1)
    return "".join(get_bar(counts.get(column, 0), highest) for column in columns)


def get_bar(count: int, highest: int) -> str:
    """Return the bar of `count` relative to `highest`.

    The height is rounded up, so that every count above 0 is visible.
    """
    return BARS[-(-count * (len(BARS) - 1) // highest)]


def format_value(kind: histogram_series.Kind, value: int) -> str:
    """Return a value with its unit."""
    if kind is histogram_series.Kind.IDEAL_RATIO:
        return f"x{value / RATIO_SCALE:.2f}"
    if value >= 10 * MS_PER_S:
        return f"{value / MS_PER_S:.1f} s"
    return f"{value} ms"
