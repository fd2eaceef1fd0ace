"""The command line of `knapweedbeam`."""

from __future__ import annotations

import pathlib
import typing

import typer

from knapweedbeam_server.commands import serve as serve_command
from knapweedbeam_server.commands import settings as settings_command

app = typer.Typer(
    no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False
)
settings_app = typer.Typer(no_args_is_help=True)
app.add_typer(settings_app, name="settings", help="Check or create a settings file.")

SettingsFile = typing.Annotated[
    pathlib.Path, typer.Argument(help="The INI file.", metavar="FILE.ini")
]
SettingsOption = typing.Annotated[
    pathlib.Path | None,
    typer.Option(
        "--settings",
        metavar="FILE.ini",
        help="The INI file; without it, serve standalone on loopback.",
    ),
]
SecretFile = typing.Annotated[
    pathlib.Path, typer.Argument(help="The file to create.", metavar="FILE")
]
Json = typing.Annotated[bool, typer.Option("--json", help="Print one JSON object.")]


@app.callback()
def root() -> None:
    """Dispatch sub-second tasks: the process of an entry VM."""


@app.command()
def serve(settings: SettingsOption = None) -> None:
    """Run one process until SIGTERM; a second signal ends it at once."""
    raise typer.Exit(serve_command.serve(settings))


@settings_app.command("check")
def check_settings(file: SettingsFile, as_json: Json = False) -> None:
    """Show every problem of a settings file; exit status 5 on an error."""
    raise typer.Exit(settings_command.check(file, as_json))


@settings_app.command("example")
def print_example() -> None:
    """Print a settings file with every key, its default and its meaning."""
    raise typer.Exit(settings_command.print_example())


@settings_app.command("new-key")
def create_secret(file: SecretFile) -> None:
    """Write a random secret for `[keys]` to a new file of mode 0600."""
    raise typer.Exit(settings_command.create_secret(file))


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
