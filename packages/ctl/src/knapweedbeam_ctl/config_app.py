"""Commands and options of `knapweedctl config`."""

from __future__ import annotations

import pathlib
import typing

import typer

from knapweedbeam_ctl import options
from knapweedbeam_ctl.commands import config_check

app = typer.Typer(no_args_is_help=True)


@app.callback()
def root() -> None:
    """Check configurations before they are sent."""


@app.command("check")
def check_config(
    file: typing.Annotated[
        pathlib.Path,
        typer.Argument(metavar="FILE", help="A bundle or a manifest; - for stdin."),
    ],
    against: typing.Annotated[
        pathlib.Path | None,
        typer.Option(metavar="FILE", help="The version in force, to compare with."),
    ] = None,
    as_json: options.Json = False,
) -> None:
    """Show errors, entries without effect, contradictions and differences."""
    raise typer.Exit(config_check.check(file, against, as_json))
