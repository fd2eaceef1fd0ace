"""HTTP calls to one server, with typed results and timeouts."""

from __future__ import annotations

import dataclasses
import enum
import typing

import msgspec
from gevent import socket
from geventhttpclient import connectionpool, response

CONNECT_TIMEOUT_S = 3.0
READ_BYTES = 65_536


class FailureKind(enum.StrEnum):
    """Why a call got no answer."""

    REFUSED = "refused"
    BROKEN = "broken"
    TIMEOUT = "timeout"


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure:
    """A call without an answer; unless refused, the server may have processed it."""

    kind: FailureKind
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP answer."""

    status: int
    body: bytes

    def get_json(self) -> dict[str, typing.Any]:
        """Return the body as a JSON object, empty if it is not one."""
        try:
            return msgspec.json.decode(self.body, type=dict[str, typing.Any])
        except msgspec.MsgspecError:
            return {}


class Caller:
    """Sends calls with a bearer token over a pool of connections to one server.

    A call is sent once. The client of geventhttpclient resends some calls by
    itself, which would hide that a server closed their connections.
    """

    def __init__(
        self, address: str, token: str, timeout_s: float, connections: int = 64
    ) -> None:
        self.address = address
        self.token = token
        host, _, port = address.rpartition(":")
        self.pool = connectionpool.ConnectionPool(
            host,
            int(port),
            host,
            int(port),
            size=connections,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=timeout_s,
            disable_ipv6=True,
        )

    def call(
        self, method: str, path: str, body: bytes = b"", token: str = ""
    ) -> Reply | CallFailure:
        """Send one call; a `token` replaces the caller's own."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self.address}\r\n"
            f"Authorization: Bearer {token or self.token}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        try:
            connection = self.pool.get_socket()
        except OSError as error:
            return CallFailure(FailureKind.REFUSED, str(error))
        try:
            connection.sendall(head.encode() + body)
        except BaseException as error:
            self.pool.release_socket(connection)
            if isinstance(error, OSError):
                return CallFailure(FailureKind.BROKEN, str(error))
            raise
        return self.receive(connection, method)

    def receive(self, connection: typing.Any, method: str) -> Reply | CallFailure:
        """Read the answer to a call that was sent."""
        try:
            answer = response.HTTPSocketPoolResponse(
                connection, self.pool, block_size=READ_BYTES, method=method
            )
            with answer:
                body = bytes(answer.read())
                if answer.message_complete:
                    return Reply(answer.status_code, body)
            return CallFailure(FailureKind.BROKEN, "incomplete answer")
        except socket.timeout as error:
            return CallFailure(FailureKind.TIMEOUT, str(error))
        except (OSError, response.HTTPParseError) as error:
            return CallFailure(FailureKind.BROKEN, str(error))

    def close(self) -> None:
        """Close all pooled connections."""
        self.pool.close()
