"""Definition of scenarios, and how their phases are run."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import pathlib
import typing

from bench import (
    client,
    cluster,
    deployment,
    environment,
    files,
    measure,
    plots,
    progress,
    results,
    trace,
)
from bench.check import reader, report

OWN_POLICY = "least_finish"
BASELINES = ("random", "round_robin", "two_choices", "least_outstanding")
POLICIES = (OWN_POLICY, *BASELINES)
Figures = dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of the command line; empty and zero values keep the scenario's own."""

    seed: int = 1
    seconds: float = 0.0
    deployments: tuple[str, ...] = ()
    policies: tuple[str, ...] = ()
    loads: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ScenarioRun:
    """The phases of one deployment under one policy, and their histories."""

    plan: deployment.Deployment
    root: pathlib.Path
    phases: tuple[measure.PhaseResult, ...]
    merged: reader.History
    checked: report.Report


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The figures of a scenario and the breaches by promise."""

    figures: Figures
    breaches: dict[str, int]


class Scenario(typing.Protocol):
    """Interface of a scenario of the load tool."""

    @property
    def name(self) -> str:
        """Return the name on the command line."""

    @property
    def summary(self) -> str:
        """Return a description in one sentence."""

    def run(self, options: Options, root: pathlib.Path) -> Outcome:
        """Run the scenario with its files under `root`."""


def get_no_figures(_played: ScenarioRun) -> Figures:
    """Return no figures in addition to the usual ones."""
    return {}


def keep_deployment(plan: deployment.Deployment) -> deployment.Deployment:
    """Return the deployment unchanged."""
    return plan


@dataclasses.dataclass(frozen=True, slots=True)
class LoadScenario:
    """A scenario that runs phases of load on deployments under policies.

    `build` returns the phases, `compute_figures` the figures in addition to the
    usual ones, and `adapt` the changed deployment.
    """

    name: str
    summary: str
    build: collections.abc.Callable[
        [deployment.Deployment, Options], tuple[environment.Phase, ...]
    ]
    compute_figures: collections.abc.Callable[[ScenarioRun], Figures] = get_no_figures
    adapt: collections.abc.Callable[[deployment.Deployment], deployment.Deployment] = (
        keep_deployment
    )
    deployments: tuple[str, ...] = ("cotopaxi",)
    policies: tuple[str, ...] = POLICIES
    client: client.ClientOptions = dataclasses.field(
        default_factory=client.ClientOptions
    )

    def run(self, options: Options, root: pathlib.Path) -> Outcome:
        """Run every deployment under every policy."""
        figures: Figures = {}
        breaches: collections.Counter[str] = collections.Counter()
        for name in options.deployments or self.deployments:
            for policy in options.policies or self.policies:
                scenario_run = self.run_policy(
                    name, policy, options, root / f"{name}-{policy}"
                )
                figures |= self.get_figures(name, policy, scenario_run)
                breaches.update(scenario_run.checked.get_counts())
        return Outcome(figures, dict(breaches))

    def run_policy(
        self, name: str, policy: str, options: Options, root: pathlib.Path
    ) -> ScenarioRun:
        """Run one deployment under one policy."""
        root.mkdir(parents=True)
        block = cluster.reserve_block()
        try:
            shape = deployment.SHAPES[name]
            plan = self.adapt(deployment.build_deployment(shape, block.number))
            phases = self.build(plan, options)
            client_options = dataclasses.replace(self.client, service=shape.service)
            server = files.ServerOptions(policy=policy)
            with environment.Environment(plan, root, server, client_options) as running:
                phase_results = []
                for phase in phases:
                    progress.log(f"{self.name} {name} {policy} {phase.name}".rstrip())
                    phase_results.append(running.run_phase(phase))
        finally:
            block.release()
        merged = reader.read_history(root / "histories")
        checked = report.check_history(merged)
        for breach in checked.found[:5]:
            progress.log(breach.describe())
        for phase_result in phase_results:
            plots.plot_responses(
                phase_result, results.PLOTS / f"{root.name}-{phase_result.name}.png"
            )
        return ScenarioRun(plan, root, tuple(phase_results), merged, checked)

    def get_figures(self, name: str, policy: str, scenario_run: ScenarioRun) -> Figures:
        """Return all figures, named by deployment, policy and phase."""
        prefix = f"{name}_" if policy == OWN_POLICY else f"{name}_{policy}_"
        figures: Figures = {}
        for phase in scenario_run.phases:
            suffix = f"_{phase.name}" if phase.name else ""
            for key, value in phase.get_figures().items():
                figures[f"{prefix}{key}{suffix}"] = value
        for key, value in self.compute_figures(scenario_run).items():
            figures[f"{prefix}{key}"] = round(value, 4)
        figures[f"{prefix}over_slots"] = float(scenario_run.checked.over_slots)
        return figures


def build_jobs(
    plan: deployment.Deployment, seed: int, seconds: float, load: float
) -> tuple[trace.TraceJob, ...]:
    """Return a trace of the default mix of jobs for all members."""
    members = tuple(member.name for member in plan.members)
    spec = trace.TraceSpec(seed, seconds, load, members=members)
    return trace.build_trace(spec, plan.capacity)
