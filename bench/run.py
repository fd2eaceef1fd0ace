"""Runs one scenario and saves its result and plots."""

from __future__ import annotations

import time

from bench import plots, results
from bench.check import breaches
from bench.scenarios import model, registry

PLOTTED_FIGURES = ("slowdown_mean", "messages_per_task")
SHORT_NAMES = {
    breaches.Promise.SINGLE_START: "double_starts",
    breaches.Promise.WHOLE_OUTCOME: "partial_answers",
    breaches.Promise.TRUE_NOT_RUN: "false_not_run",
    breaches.Promise.LIMITS: "limits_exceeded",
}


def run_scenario(name: str, options: model.Options) -> results.Result:
    """Run a scenario, save its result and plots and return the result."""
    scenario = registry.SCENARIOS[name]
    outcome = scenario.run(options, results.create_run_folder(name))
    figures: dict[str, results.Value] = dict(outcome.figures)
    figures["breaches"] = shorten_promise_names(outcome.breaches)
    result = results.Result(name, time.strftime("%Y%m%d-%H%M%S"), figures)
    results.save(result)
    plot_compared_figures(result.started, name, outcome.figures)
    return result


def shorten_promise_names(counts: dict[str, int]) -> dict[str, int]:
    """Return the breaches under the names used in results."""
    short = {promise.name.lower(): text for promise, text in SHORT_NAMES.items()}
    return {short.get(name, name): count for name, count in counts.items()}


def plot_compared_figures(started: str, name: str, figures: model.Figures) -> None:
    """Plot the figures by which policies are compared."""
    for text in PLOTTED_FIGURES:
        keys = [key for key in figures if text in key]
        if keys:
            path = results.PLOTS / f"{name}-{started}-{text}.png"
            plots.plot_figures(figures, keys, path)


def format_table(figures: dict[str, results.Value]) -> str:
    """Return the figures as aligned lines of name and value."""
    width = max(len(key) for key in figures)
    return "\n".join(f"{key:<{width}}  {value}" for key, value in figures.items())
