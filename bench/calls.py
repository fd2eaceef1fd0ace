"""Calls to one HTTP server, with typed results and bounded waits."""

from __future__ import annotations

import dataclasses
import enum
import errno
import typing

import geventhttpclient
import msgspec
from gevent import socket
from geventhttpclient import response

CONNECT_TIMEOUT_S = 3.0
REFUSED_ERRNOS = frozenset({errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH})


class LostKind(enum.StrEnum):
    """How a call got no answer."""

    REFUSED = "refused"
    BROKEN = "broken"
    TIMEOUT = "timeout"


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """A call got no answer; unless refused, the server may have taken it."""

    kind: LostKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A whole answer."""

    status: int
    body: bytes

    def get_json(self) -> dict[str, typing.Any]:
        """Return the body as a JSON object, empty where it is none."""
        try:
            return msgspec.json.decode(self.body, type=dict[str, typing.Any])
        except msgspec.MsgspecError:
            return {}


class Caller:
    """Keeps connections to one server and sends it calls with a bearer token."""

    def __init__(
        self, address: str, token: str, timeout_s: float, connections: int = 64
    ) -> None:
        self.address = address
        self.token = token
        host, _, port = address.rpartition(":")
        self.http = geventhttpclient.HTTPClient(
            host,
            int(port),
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=timeout_s,
            concurrency=connections,
            disable_ipv6=True,
        )

    def call(
        self, method: str, path: str, body: bytes = b"", token: str = ""
    ) -> Reply | Lost:
        """Send one call; `token` replaces the caller's own."""
        headers = {
            "Authorization": f"Bearer {token or self.token}",
            "Content-Type": "application/json",
        }
        try:
            answer = self.http.request(method, path, body=body, headers=headers)
            return Reply(answer.status_code, bytes(answer.read()))
        except socket.timeout as error:
            return Lost(LostKind.TIMEOUT, str(error))
        except OSError as error:
            refused = error.errno in REFUSED_ERRNOS
            kind = LostKind.REFUSED if refused else LostKind.BROKEN
            return Lost(kind, str(error))
        except response.HTTPParseError as error:
            return Lost(LostKind.BROKEN, str(error))

    def close(self) -> None:
        """Close the connections that are kept."""
        self.http.close()
