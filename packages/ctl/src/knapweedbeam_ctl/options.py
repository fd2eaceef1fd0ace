"""Options that several commands of `knapweedctl` share."""

from __future__ import annotations

import pathlib
import typing

import typer

from knapweedbeam_ctl import client
from knapweedbeam_ctl.commands import connection

CALLER_SERVER = "127.0.0.1:8080"
OPERATOR_SERVER = "127.0.0.1:8081"
# Without this a ticket that starts with a dash would be parsed as an option.
TICKET_SETTINGS = {"ignore_unknown_options": True}
TOKEN_VARIABLE = "KNAPWEEDCTL_TOKEN_FILE"

CallerServers = typing.Annotated[
    list[str] | None,
    typer.Option(
        "--server",
        metavar="HOST:PORT",
        envvar="KNAPWEEDCTL_SERVERS",
        help="The callers' address of a process; repeat it to try several in turn. "
        f"Default: {CALLER_SERVER}.",
    ),
]
OperatorServers = typing.Annotated[
    list[str] | None,
    typer.Option(
        "--server",
        metavar="HOST:PORT",
        envvar="KNAPWEEDCTL_OPERATOR_SERVERS",
        help="The operators' address of a process; repeat it to try several in turn. "
        f"Default: {OPERATOR_SERVER}.",
    ),
]
TokenFile = typing.Annotated[
    pathlib.Path | None,
    typer.Option(
        "--token-file",
        metavar="FILE",
        envvar=TOKEN_VARIABLE,
        help="The file with the bearer token, with mode 0600.",
    ),
]
Json = typing.Annotated[
    bool, typer.Option("--json", help="Print one JSON object, for scripts.")
]
Ticket = typing.Annotated[str, typer.Argument(help="The job's ticket.")]
WaitMs = typing.Annotated[
    int,
    typer.Option(min=0, max=60_000, help="The maximum time to wait for the outcome."),
]


def build_settings(
    servers: list[str] | None,
    token_file: pathlib.Path | None,
    as_json: bool,
    default: str,
) -> connection.ConnectionSettings:
    """Return the connection settings; a malformed server ends the command."""
    parsed = []
    for text in servers or [default]:
        server = client.parse_server(text)
        if server is None:
            detail = f"{text!r} is not HOST:PORT, such as {default}"
            raise typer.BadParameter(detail, param_hint="--server")
        parsed.append(server)
    return connection.ConnectionSettings(tuple(parsed), token_file, as_json)


def split_pair(text: str, hint: str) -> tuple[str, str]:
    """Return name and value of `NAME=VALUE`; malformed text ends the command."""
    name, _, value = text.partition("=")
    if not name or not value:
        raise typer.BadParameter(f"{text!r} is not NAME=VALUE", param_hint=hint)
    return name, value


def split_pairs(texts: list[str] | None, hint: str) -> dict[str, str]:
    """Return the values of all `NAME=VALUE` texts by name."""
    return dict(split_pair(text, hint) for text in texts or [])
