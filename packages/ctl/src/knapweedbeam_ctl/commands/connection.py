"""The servers and the token that a command was given."""

from __future__ import annotations

import dataclasses
import pathlib

from knapweedbeam_ctl import client, failures

TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Connection:
    """Servers to try in turn, the file of the token, and how to print."""

    servers: tuple[client.Server, ...]
    token_file: pathlib.Path | None
    as_json: bool

    def open(self) -> client.Client | failures.BadFile:
        """Return a client for all servers."""
        token = client.read_token(self.token_file)
        if isinstance(token, failures.BadFile):
            return token
        return client.Client(self.servers, token, TIMEOUT_S)
