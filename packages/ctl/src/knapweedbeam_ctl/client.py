"""HTTP client that tries a list of servers in turn."""

from __future__ import annotations

import collections.abc
import dataclasses
import pathlib
import typing

import geventhttpclient
import msgspec
from geventhttpclient import response as http_responses

from knapweedbeam_core import decoding
from knapweedbeam_ctl import failures, files

CONNECT_TIMEOUT_S = 3.0
MAX_RESPONSE_BYTES = 256 * 2**20
MS_PER_S = 1_000
MAX_PORT = 65_535
SUCCESS_STATUSES = range(200, 300)
UNAVAILABLE_STATUS = 503
CALL_ERRORS = (OSError, http_responses.HTTPParseError, ValueError)

NOT_SENT_ERRORS = (ConnectionRefusedError,)

Model = typing.TypeVar("Model")


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """The address of a server."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as `HOST:PORT`."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The status and body of a server's response."""

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FailedCall:
    """A call without a response.

    `may_have_arrived` is false if the request cannot have reached the server.
    """

    detail: str
    may_have_arrived: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class CollectedBodies(typing.Generic[Model]):
    """The bodies of all servers that answered, or the failure of the call.

    `unanswered` has one line for each server without a response.
    """

    bodies: tuple[Model, ...]
    unanswered: tuple[str, ...]
    failure: failures.Failure | None


class ErrorBody(msgspec.Struct):
    """The body of a typed error response."""

    reason: str
    detail: str = ""


def parse_server(text: str) -> Server | None:
    """Return the server at `HOST:PORT`, or None if the text is malformed."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        return None
    return Server(host.removeprefix("[").removesuffix("]"), int(port))


def read_token(path: pathlib.Path | None) -> str | failures.BadFile:
    """Return the token from a file with mode 0600 or 0400; "" without a file."""
    if path is None:
        return ""
    content = files.read_secret(path)
    if isinstance(content, failures.BadFile):
        return content
    if not content.isascii() or b"\n" in content:
        return failures.BadFile(str(path), "is not a single line of ASCII text")
    return content.decode()


def build_refusal(response: Response) -> failures.Refused:
    """Return the typed error in a response; reason `no_reason` if there is none."""
    try:
        body = msgspec.json.decode(response.body, type=ErrorBody)
    except decoding.ERRORS:
        return failures.Refused(response.status, "no_reason", "not a typed error")
    return failures.Refused(response.status, body.reason, body.detail)


def decode(response: Response, model: type[Model]) -> Model | failures.Refused:
    """Return the body of a successful response, or the typed error."""
    if response.status not in SUCCESS_STATUSES:
        return build_refusal(response)
    try:
        return msgspec.json.decode(response.body, type=model)
    except decoding.ERRORS as error:
        return failures.Refused(response.status, "malformed_answer", str(error))


class Client:
    """Calls servers with one token; every call can be repeated safely."""

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
    ) -> Response | FailedCall:
        """Send a request to one server, once."""
        http = geventhttpclient.HTTPClient(
            server.host,
            server.port,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=self.timeout_s,
        )
        try:
            response = http.request(method, path, body, headers=self.headers)
            content = response.read(MAX_RESPONSE_BYTES)
            return Response(response.status_code, bytes(content))
        except CALL_ERRORS as error:
            text = str(error) or type(error).__name__
            return FailedCall(
                f"{server}: {text}", not isinstance(error, NOT_SENT_ERRORS)
            )
        finally:
            http.close()

    def call(
        self, method: str, path: str, body: bytes = b""
    ) -> Response | failures.Unreachable:
        """Call each server in turn until one answers with a status other than 503."""
        last: Response | None = None
        unanswered = []
        for server in self.servers:
            response = self.call_one(server, method, path, body)
            if isinstance(response, FailedCall):
                unanswered.append(response.detail)
                continue
            if response.status != UNAVAILABLE_STATUS:
                return response
            last = response
        return last or failures.Unreachable(tuple(unanswered))

    def get(self, path: str, model: type[Model]) -> Model | failures.Failure:
        """Get a path and decode the response as `model`."""
        response = self.call("GET", path)
        if isinstance(response, failures.Unreachable):
            return response
        return decode(response, model)

    def get_each(self, path: str, model: type[Model]) -> CollectedBodies[Model]:
        """Get a path from every server; list the servers that do not answer."""
        bodies: list[Model] = []
        unanswered = []
        for server in self.servers:
            response = self.call_one(server, "GET", path)
            if isinstance(response, FailedCall):
                unanswered.append(response.detail)
                continue
            body = decode(response, model)
            if isinstance(body, failures.Refused):
                return CollectedBodies((), (), body)
            bodies.append(body)
        failure = None if bodies else failures.Unreachable(tuple(unanswered))
        return CollectedBodies(tuple(bodies), tuple(unanswered), failure)
