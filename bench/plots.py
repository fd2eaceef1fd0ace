"""Plots of results, written to image files."""

from __future__ import annotations

import collections.abc
import pathlib

import matplotlib
import matplotlib.figure

from bench import measure
from knapweedbeam_core import clock

SIZE_INCHES = (9.0, 5.0)
OUTCOME_COLOURS = {
    "complete": "tab:blue",
    "not_run": "tab:orange",
    "failed": "tab:red",
    "": "black",
}


def plot_responses(phase_result: measure.PhaseResult, path: pathlib.Path) -> None:
    """Plot each job's response over its arrival time, coloured by outcome."""
    path.parent.mkdir(parents=True, exist_ok=True)
    figure = matplotlib.figure.Figure(figsize=SIZE_INCHES)
    axes = figure.subplots()
    for outcome, colour in OUTCOME_COLOURS.items():
        own = [each for each in phase_result.results if each.outcome == outcome]
        if own:
            axes.scatter(
                [each.at_ms / clock.SECOND_MS for each in own],
                [max(each.response_ms, 0.1) for each in own],
                s=6,
                color=colour,
                label=f"{outcome or 'gave up'} ({len(own)})",
            )
    axes.set_yscale("log")
    axes.set_xlabel("arrival, s")
    axes.set_ylabel("response, ms")
    axes.set_title(f"{path.stem}: {phase_result.get_slowdown():.2f} of the ideal")
    axes.legend()
    figure.savefig(path)


def plot_figures(
    figures: collections.abc.Mapping[str, float], keys: list[str], path: pathlib.Path
) -> None:
    """Plot some figures as horizontal bars."""
    path.parent.mkdir(parents=True, exist_ok=True)
    figure = matplotlib.figure.Figure(figsize=SIZE_INCHES)
    axes = figure.subplots()
    axes.barh(keys, [figures[key] for key in keys])
    axes.invert_yaxis()
    figure.tight_layout()
    figure.savefig(path)
