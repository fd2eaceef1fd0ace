"""Command line interface of the bench."""

from __future__ import annotations

import pathlib
import signal
import sys
import typing

import gevent
import msgspec
import typer

from bench import cluster, relay, results
from bench import demo as demos
from bench import host as hosts
from bench import probe as probes
from bench import run as runs
from bench import soak as soaks
from bench.check import report
from bench.fleet import cost as fleet_cost
from bench.scenarios import model, registry

app = typer.Typer(help="Load tool, history checker and demo.", no_args_is_help=True)
Folder = typing.Annotated[
    pathlib.Path,
    typer.Argument(exists=True, file_okay=False, help="Folder of *.history files."),
]
SpecFile = typing.Annotated[pathlib.Path, typer.Argument(exists=True)]


def print_json(value: object) -> None:
    """Print a value as one JSON line."""
    print(msgspec.json.encode(value).decode(), flush=True)


@app.callback()
def bench() -> None:
    """Measure and check knapweedbeam with fake endpoints and a fake platform."""


@app.command()
def demo() -> None:
    """Run jobs while entry VMs are killed and stopped; print JSON on the last line."""
    try:
        summary, status = demos.run_demo()
    except cluster.ClusterError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(1) from error
    print_json(summary)
    raise typer.Exit(status)


@app.command()
def check(directory: Folder) -> None:
    """Check the histories of a run and print every breach with its proof."""
    checked = report.check_folder(directory)
    for breach in checked.found:
        print(breach.describe())
    print_json(
        {
            "records": checked.records,
            "torn_lines": checked.torn,
            "tasks_started": checked.tasks_started,
            "over_slots": checked.over_slots,
            "breaches": checked.get_counts(),
        }
    )
    raise typer.Exit(1 if checked.found else 0)


@app.command()
def run(
    scenario: typing.Annotated[
        str, typer.Argument(help="Name as listed by `scenarios`.")
    ],
    seed: int = 1,
    seconds: typing.Annotated[
        float, typer.Option(help="Length of a phase; 0 keeps the scenario's.")
    ] = 0.0,
    deployment: typing.Annotated[list[str] | None, typer.Option()] = None,
    policy: typing.Annotated[list[str] | None, typer.Option()] = None,
    load: typing.Annotated[list[float] | None, typer.Option()] = None,
) -> None:
    """Run a scenario; print a table, and JSON on the last line."""
    if scenario not in registry.SCENARIOS:
        raise typer.BadParameter(f"one of {', '.join(registry.SCENARIOS)}")
    options = model.Options(
        seed, seconds, tuple(deployment or ()), tuple(policy or ()), tuple(load or ())
    )
    result = runs.run_scenario(scenario, options)
    print(runs.format_table(result.figures))
    print_json(result.figures)
    counted = result.figures["breaches"]
    raise typer.Exit(1 if isinstance(counted, dict) and any(counted.values()) else 0)


@app.command()
def scenarios() -> None:
    """List the scenarios."""
    for each in registry.ALL:
        print(f"{each.name:<12} {each.summary}")


@app.command()
def compare(old: pathlib.Path, new: pathlib.Path) -> None:
    """Show two results side by side."""
    for name, before, after, ratio in results.compare(
        results.load(old), results.load(new)
    ):
        factor = f"{ratio:.3f}" if ratio is not None else ""
        print(f"{name:<48} {before!s:>14} {after!s:>14} {factor:>8}")


@app.command()
def soak(seconds: float = 60.0, seed: int = 1) -> None:
    """Run the core's hypothesis tests with other seeds; print the case that fails."""
    raise typer.Exit(soaks.soak(seconds, seed))


@app.command()
def fleet(
    size: typing.Annotated[
        list[int] | None, typer.Option(help="Number of processes.")
    ] = None,
) -> None:
    """Count the heartbeats of an idle deployment in simulated time."""
    rows = [fleet_cost.measure(each) for each in size or fleet_cost.SIZES]
    print(fleet_cost.format_rows(rows))
    print_json(rows)


@app.command(hidden=True)
def probe(spec: SpecFile) -> None:
    """Probe the health of entry VMs and save the slowest answer times."""
    running = probes.Probe(
        msgspec.json.decode(spec.read_bytes(), type=probes.ProbeSpec)
    )
    running.run()
    running.save()


@app.command(hidden=True)
def host(spec: SpecFile) -> None:
    """Host fake endpoints and the fake platform until SIGTERM."""
    running = hosts.Host(msgspec.json.decode(spec.read_bytes(), type=hosts.HostSpec))
    serving = gevent.spawn(running.run)
    gevent.signal_handler(signal.SIGTERM, serving.kill)
    serving.join()
    running.close()


@app.command(hidden=True)
def relays(spec: SpecFile) -> None:
    """Relay the links between entry VMs, with delays and partitions."""
    running = relay.Relays(
        msgspec.json.decode(spec.read_bytes(), type=relay.RelaysSpec)
    )
    serving = gevent.spawn(running.run)
    gevent.signal_handler(signal.SIGTERM, serving.kill)
    serving.join()


if __name__ == "__main__":
    app()
