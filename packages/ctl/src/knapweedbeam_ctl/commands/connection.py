"""The connection settings that a command gets from its options."""

from __future__ import annotations

import dataclasses
import pathlib

from knapweedbeam_ctl import client, failures

TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionSettings:
    """The servers to try in turn, the token file and the output format."""

    servers: tuple[client.Server, ...]
    token_file: pathlib.Path | None
    as_json: bool

    def create_client(self) -> client.Client | failures.BadFile:
        """Return a client for all servers, or a failure to read the token."""
        token = client.read_token(self.token_file)
        if isinstance(token, failures.BadFile):
            return token
        return client.Client(self.servers, token, TIMEOUT_S)
