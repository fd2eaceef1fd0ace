"""Calls to servers that are tried in turn."""

from __future__ import annotations

import collections.abc
import dataclasses
import pathlib
import typing

import geventhttpclient
import msgspec
from geventhttpclient import response as http_responses

from knapweedbeam_ctl import failures, files

CONNECT_TIMEOUT_S = 3.0
RESPONSE_LIMIT_BYTES = 256 * 2**20
MS_PER_S = 1_000
PORT_MAX = 65_535
OK_STATUSES = range(200, 300)
UNAVAILABLE = 503
CALL_ERRORS = (OSError, http_responses.HTTPParseError, ValueError)

NOT_SENT_ERRORS = (ConnectionRefusedError,)

Model = typing.TypeVar("Model")


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """Where a server listens."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the form that the command line takes."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """What a server answered."""

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """A call without an answer, and whether it may have arrived."""

    detail: str
    may_have_arrived: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Collected(typing.Generic[Model]):
    """What every server that answered holds, or why nothing can be shown."""

    bodies: tuple[Model, ...]
    lost: tuple[str, ...]
    failure: failures.Failure | None


class ErrorBody(msgspec.Struct):
    """The body of a typed error."""

    reason: str
    detail: str = ""


def parse_server(text: str) -> Server | None:
    """Return the server that `HOST:PORT` names, or none."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 1 <= int(port) <= PORT_MAX:
        return None
    return Server(host.removeprefix("[").removesuffix("]"), int(port))


def read_token(path: pathlib.Path | None) -> str | failures.BadFile:
    """Return the token that a closed file holds; none without a file."""
    if path is None:
        return ""
    content = files.read_secret(path)
    if isinstance(content, failures.BadFile):
        return content
    if not content.isascii() or b"\n" in content:
        return failures.BadFile(str(path), "holds more than one line of ASCII")
    return content.decode()


def build_refused(response: Response) -> failures.Refused:
    """Return the typed error that a response holds."""
    try:
        body = msgspec.json.decode(response.body, type=ErrorBody)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return failures.Refused(response.status, "no_reason", "not a typed error")
    return failures.Refused(response.status, body.reason, body.detail)


def decode(response: Response, model: type[Model]) -> Model | failures.Refused:
    """Return the body of a good response, or the typed error of another."""
    if response.status not in OK_STATUSES:
        return build_refused(response)
    try:
        return msgspec.json.decode(response.body, type=model)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return failures.Refused(response.status, "malformed_answer", str(error))


class Client:
    """Calls servers with one token; every call here may be repeated safely."""

    def __init__(
        self, servers: collections.abc.Sequence[Server], token: str, timeout_s: float
    ) -> None:
        self.servers = tuple(servers)
        self.headers = {"Content-Type": "application/json"}
        if token:
            self.headers["Authorization"] = f"Bearer {token}"
        self.timeout_s = timeout_s

    def call_one(
        self, server: Server, method: str, path: str, body: bytes = b""
    ) -> Response | Lost:
        """Call one server once."""
        http = geventhttpclient.HTTPClient(
            server.host,
            server.port,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=self.timeout_s,
        )
        try:
            found = http.request(method, path, body, headers=self.headers)
            content = found.read(RESPONSE_LIMIT_BYTES)
            return Response(found.status_code, bytes(content))
        except CALL_ERRORS as error:
            text = str(error) or type(error).__name__
            return Lost(f"{server}: {text}", not isinstance(error, NOT_SENT_ERRORS))
        finally:
            http.close()

    def call(
        self, method: str, path: str, body: bytes = b""
    ) -> Response | failures.Unreachable:
        """Call each server in turn until one is available and answers."""
        last: Response | None = None
        lost = []
        for server in self.servers:
            found = self.call_one(server, method, path, body)
            if isinstance(found, Lost):
                lost.append(found.detail)
                continue
            if found.status != UNAVAILABLE:
                return found
            last = found
        return last or failures.Unreachable(tuple(lost))

    def get(self, path: str, model: type[Model]) -> Model | failures.Failure:
        """Read a path as a validated model."""
        found = self.call("GET", path)
        if isinstance(found, failures.Unreachable):
            return found
        return decode(found, model)

    def get_each(self, path: str, model: type[Model]) -> Collected[Model]:
        """Read a path from every server; those that do not answer are named."""
        found: list[Model] = []
        lost = []
        for server in self.servers:
            response = self.call_one(server, "GET", path)
            if isinstance(response, Lost):
                lost.append(response.detail)
                continue
            body = decode(response, model)
            if isinstance(body, failures.Refused):
                return Collected((), (), body)
            found.append(body)
        failure = None if found else failures.Unreachable(tuple(lost))
        return Collected(tuple(found), tuple(lost), failure)
