"""Post a request exactly once, and tell whether the endpoint may have received it.

The library's `HTTPClient.request` repeats a request on its own in some cases, and
does not distinguish a failed connect from a failed send. A task must be sent only
once, so this module uses only the library's connection pool and response parser.
"""

from __future__ import annotations

import collections
import dataclasses
import urllib.parse

import gevent.socket
import geventhttpclient.connectionpool
import geventhttpclient.response

CONNECT_TIMEOUT_S = 2.0
MAX_ADDRESSES = 4_096
MAX_CONNECTIONS = 4_096
DEFAULT_PORT = 80
RECEIVE_BYTES = 64 * 1024
STARTED_HEADER = "task-started"
TASK_HEADER = "task"


class NotSentError(Exception):
    """No connection could be opened: the endpoint received nothing."""


class RefusedError(NotSentError):
    """The host answered that nothing accepts connections at the address."""


class IncompleteAnswerError(Exception):
    """The endpoint may have received the request; no complete answer came."""


class ConnectionClosedError(IncompleteAnswerError):
    """The connection was closed before an answer came."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer; `started` and `task` are headers, empty if absent."""

    status: int
    body: bytes
    started: str = ""
    task: str = ""


@dataclasses.dataclass(slots=True)
class Target:
    """The address of an endpoint, with its connection pool and request head."""

    pool: geventhttpclient.connectionpool.ConnectionPool
    prefix: str
    head: str


def parse_address(address: str) -> urllib.parse.SplitResult:
    """Return the parts of a base URL; raise `ValueError` if it is not valid."""
    url = urllib.parse.urlsplit(address)
    if url.scheme != "http" or not url.hostname or url.port == 0:
        raise ValueError(f"not an http address: {address[:100]}")
    return url


def build_target(
    address: str,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    connections: int = MAX_CONNECTIONS,
) -> Target:
    """Return the target of a base URL; raise `ValueError` if it is not valid."""
    url = parse_address(address)
    port = url.port or DEFAULT_PORT
    pool = geventhttpclient.connectionpool.ConnectionPool(
        url.hostname,
        port,
        url.hostname,
        port,
        size=connections,
        connection_timeout=connect_timeout_s,
        network_timeout=None,
    )
    head = f" HTTP/1.1\r\nHost: {url.netloc}\r\nContent-Type: application/json\r\n"
    return Target(pool, url.path.rstrip("/"), head)


class TargetCache:
    """At most `MAX_ADDRESSES` targets; the least recently used one is evicted."""

    def __init__(
        self,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.connections = connections
        self.targets: collections.OrderedDict[str, Target] = collections.OrderedDict()

    def get(self, address: str) -> Target:
        """Return the target of an address; raise `ValueError` if it is not valid."""
        target = self.targets.get(address)
        if target is None:
            target = self.targets[address] = build_target(
                address, self.connect_timeout_s, self.connections
            )
            if len(self.targets) > MAX_ADDRESSES:
                _, oldest = self.targets.popitem(last=False)
                oldest.pool.close()
        else:
            self.targets.move_to_end(address)
        return target


def post(
    target: Target,
    path: str,
    body: bytes,
    max_answer_bytes: int,
    extra_headers: str = "",
) -> Answer:
    """Post once and return the complete answer; the caller sets the timeout.

    `extra_headers` holds further header lines, each with its line end. Raise
    `NotSentError` or `IncompleteAnswerError`, or the subclass that tells more. If the
    exchange is not finished, the connection is closed and never reused.
    """
    head = f"{target.head}{extra_headers}Content-Length: {len(body)}"
    request = f"POST {target.prefix}{path}{head}"
    try:
        sock = target.pool.get_socket()
    except ConnectionRefusedError as error:
        raise RefusedError(str(error)) from error
    except OSError as error:
        raise NotSentError(str(error)) from error
    try:
        send(sock, request.encode("ascii") + b"\r\n\r\n" + body)
    except BaseException as error:
        target.pool.release_socket(sock)
        if isinstance(error, OSError):
            raise ConnectionClosedError(str(error)) from error
        raise
    try:
        response = geventhttpclient.response.HTTPSocketPoolResponse(
            sock, target.pool, block_size=RECEIVE_BYTES, method="POST"
        )
        with response:
            return read_answer(response, max_answer_bytes)
    except (OSError, geventhttpclient.response.HTTPConnectionClosed) as error:
        raise ConnectionClosedError(str(error)) from error
    except geventhttpclient.response.HTTPParseError as error:
        raise IncompleteAnswerError(str(error)) from error


def send(sock: gevent.socket.socket, data: bytes) -> None:
    """Send all of `data`; unlike `sendall`, most often in one system call."""
    sent = sock.send(data)
    while sent < len(data):
        data = data[sent:]
        sent = sock.send(data)


def read_answer(
    response: geventhttpclient.response.HTTPSocketPoolResponse, max_bytes: int
) -> Answer:
    """Return the answer.

    Raise `IncompleteAnswerError` if it is incomplete or longer than `max_bytes`.
    """
    body = response.read(max_bytes + 1)
    if not response.message_complete or len(body) > max_bytes:
        raise IncompleteAnswerError("the answer is incomplete or too long")
    started = str(response.get(STARTED_HEADER, ""))
    task = str(response.get(TASK_HEADER, ""))
    return Answer(response.status_code, body, started, task)
