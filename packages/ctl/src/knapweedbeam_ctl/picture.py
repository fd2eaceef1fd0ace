"""Histograms as pictures in the terminal."""

from __future__ import annotations

import math

from knapweedbeam_core import histogram_series as forms
from knapweedbeam_core import outcomes

BARS = " ▁▂▃▄▅▆▇█"
STEPS_PER_DOUBLING = 2
RATIO_SCALE = 1_000
MS_PER_S = 1_000


def get_step(value: int) -> int:
    """Return the column of a value: two columns for each doubling."""
    return int(math.log2(max(value, 1)) * STEPS_PER_DOUBLING)


def count_steps(series: forms.Series) -> dict[int, int]:
    """Return how many values fall into each column."""
    histogram = forms.decode(series.encoded)
    if isinstance(histogram, outcomes.Refusal):
        return {}
    counts: dict[int, int] = {}
    for item in histogram.get_recorded_iterator():
        step = get_step(item.value_iterated_to)
        counts[step] = counts.get(step, 0) + item.count_added_in_this_iter_step
    return counts


def draw(counts: dict[int, int]) -> str:
    """Return one bar for each column from the first to the last that has values."""
    if not counts:
        return ""
    highest = max(counts.values())
    columns = range(min(counts), max(counts) + 1)
    return "".join(draw_bar(counts.get(step, 0), highest) for step in columns)


def draw_bar(count: int, highest: int) -> str:
    """Return a bar as high as `count` against `highest`; any count shows."""
    return BARS[-(-count * (len(BARS) - 1) // highest)]


def show_value(kind: forms.Kind, value: int) -> str:
    """Return a value with its unit."""
    if kind is forms.Kind.IDEAL_RATIO:
        return f"x{value / RATIO_SCALE:.2f}"
    if value >= 10 * MS_PER_S:
        return f"{value / MS_PER_S:.1f} s"
    return f"{value} ms"
