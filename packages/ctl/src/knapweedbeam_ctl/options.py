"""Options that several commands of `knapweedctl` share."""

from __future__ import annotations

import pathlib
import typing

import typer

from knapweedbeam_ctl import client
from knapweedbeam_ctl.commands import connection

CALLER_SERVER = "127.0.0.1:8080"
OPERATOR_SERVER = "127.0.0.1:8081"
# Without it a ticket that starts with a dash would be read as an option.
TICKET_SETTINGS = {"ignore_unknown_options": True}
TOKEN_VARIABLE = "KNAPWEEDCTL_TOKEN_FILE"

CallerServers = typing.Annotated[
    list[str] | None,
    typer.Option(
        "--server",
        metavar="HOST:PORT",
        envvar="KNAPWEEDCTL_SERVERS",
        help="Where a process listens for callers; several are tried in turn. "
        f"Default: {CALLER_SERVER}.",
    ),
]
OperatorServers = typing.Annotated[
    list[str] | None,
    typer.Option(
        "--server",
        metavar="HOST:PORT",
        envvar="KNAPWEEDCTL_OPERATOR_SERVERS",
        help="Where a process listens for operators; several are tried in turn. "
        f"Default: {OPERATOR_SERVER}.",
    ),
]
TokenFile = typing.Annotated[
    pathlib.Path | None,
    typer.Option(
        "--token-file",
        metavar="FILE",
        envvar=TOKEN_VARIABLE,
        help="The file that holds the bearer token, of mode 0600.",
    ),
]
Json = typing.Annotated[
    bool, typer.Option("--json", help="Print one JSON object for scripts.")
]
Ticket = typing.Annotated[str, typer.Argument(help="The job's ticket.")]
WaitMs = typing.Annotated[
    int, typer.Option(min=0, max=60_000, help="How long to wait for the outcome.")
]


def connect(
    servers: list[str] | None,
    token_file: pathlib.Path | None,
    as_json: bool,
    default: str,
) -> connection.Connection:
    """Return what the options name; a malformed server ends the command."""
    parsed = []
    for text in servers or [default]:
        server = client.parse_server(text)
        if server is None:
            detail = f"{text!r} is no HOST:PORT such as {default}"
            raise typer.BadParameter(detail, param_hint="--server")
        parsed.append(server)
    return connection.Connection(tuple(parsed), token_file, as_json)


def split_pair(text: str, hint: str) -> tuple[str, str]:
    """Return the two sides of `NAME=VALUE`; other text ends the command."""
    name, _, value = text.partition("=")
    if not name or not value:
        raise typer.BadParameter(f"{text!r} is no NAME=VALUE", param_hint=hint)
    return name, value


def split_pairs(texts: list[str] | None, hint: str) -> dict[str, str]:
    """Return all pairs by name."""
    return dict(split_pair(text, hint) for text in texts or [])
