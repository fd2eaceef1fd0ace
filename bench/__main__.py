"""Command line of the bench."""

from __future__ import annotations

import pathlib
import signal
import typing

import gevent
import msgspec
import typer

from bench import demo as demos
from bench import host as hosts
from bench import relay
from bench.check import report

app = typer.Typer(help="Load tool, history checker and demo.", no_args_is_help=True)
Folder = typing.Annotated[
    pathlib.Path, typer.Argument(exists=True, file_okay=False, help="Its *.history.")
]
SpecFile = typing.Annotated[pathlib.Path, typer.Argument(exists=True)]


def print_json(value: object) -> None:
    """Print a value as one JSON line."""
    print(msgspec.json.encode(value).decode(), flush=True)


@app.callback()
def bench() -> None:
    """Measure and check knapweedbeam against small fakes."""


@app.command()
def demo() -> None:
    """Run jobs while entry VMs are killed and stopped; JSON on the last line."""
    summary, status = demos.run_demo()
    print_json(summary)
    raise typer.Exit(status)


@app.command()
def check(directory: Folder) -> None:
    """Check the histories of a run; every breach is printed with its proof."""
    seen = report.check_folder(directory)
    for breach in seen.found:
        print(breach.describe())
    print_json(
        {
            "records": seen.records,
            "torn_lines": seen.torn,
            "tasks_started": seen.tasks_started,
            "over_slots": seen.over_slots,
            "breaches": seen.get_counts(),
        }
    )
    raise typer.Exit(1 if seen.found else 0)


@app.command(hidden=True)
def host(spec: SpecFile) -> None:
    """Host fake endpoints and the fake platform."""
    running = hosts.Host(msgspec.json.decode(spec.read_bytes(), type=hosts.HostSpec))
    serving = gevent.spawn(running.run)
    gevent.signal_handler(signal.SIGTERM, serving.kill)
    serving.join()
    running.close()


@app.command(hidden=True)
def relays(spec: SpecFile) -> None:
    """Relay the links between entry VMs, with delays and cuts."""
    running = relay.Relays(
        msgspec.json.decode(spec.read_bytes(), type=relay.RelaysSpec)
    )
    serving = gevent.spawn(running.run)
    gevent.signal_handler(signal.SIGTERM, serving.kill)
    serving.join()


if __name__ == "__main__":
    app()
