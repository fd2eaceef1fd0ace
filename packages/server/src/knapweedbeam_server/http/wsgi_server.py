"""A WSGI server that limits connections, header size and read time."""

from __future__ import annotations

import collections.abc
import dataclasses
import socket
import typing

import gevent
import gevent.pool
import gevent.pywsgi

IDLE_TIMEOUT_S = 75.0
# The key of the WSGI environment that holds the client's connection.
SOCKET_KEY = "knapweedbeam.socket"
Environ = dict[str, typing.Any]
StartResponse = collections.abc.Callable[[str, list[tuple[str, str]]], typing.Any]
Application = collections.abc.Callable[[Environ, StartResponse], list[bytes]]
WsgiServer: typing.TypeAlias = gevent.pywsgi.WSGIServer


@dataclasses.dataclass(frozen=True, slots=True)
class ServerBounds:
    """The limits of one server: connections, header size and read time."""

    connections: int
    header_bytes: int
    read_timeout_ms: int


class BoundedHandler(gevent.pywsgi.WSGIHandler):  # type: ignore[misc]
    """Limits the time and size of each request's line and headers."""

    idle_timeout_s: typing.ClassVar[float] = IDLE_TIMEOUT_S
    read_timeout_s: typing.ClassVar[float] = 10.0
    max_header_bytes: typing.ClassVar[int] = 16_384

    def handle(self) -> None:
        """Serve one connection.

        The head and the body of a reply are two writes: without `TCP_NODELAY` the
        second one waits for the client's delayed acknowledgement, about 40 ms.
        """
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(IDLE_TIMEOUT_S)
        super().handle()

    def read_requestline(self) -> str:
        """Return a request's first line, or an empty one after the idle timeout."""
        line = ""
        with gevent.Timeout(self.idle_timeout_s, False):
            line = str(super().read_requestline())
        return line

    def read_request(self, raw_requestline: str) -> bool | None:
        """Read the headers; return None after a timeout, False if too large."""
        result: bool | None = None
        with gevent.Timeout(self.read_timeout_s, False):
            result = super().read_request(raw_requestline)
            size = sum(len(name) + len(value) for name, value in self.headers.items())
            if size > self.max_header_bytes:
                self.log_error("headers of %d bytes", size)
                return False
        return result

    def get_environ(self) -> Environ:
        """Return the request's environment, with its connection at `SOCKET_KEY`."""
        environ: Environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


class NullLog:
    """Discards the server's own request log; log events replace it."""

    def write(self, text: str) -> None:
        """Discard a line."""


def build_server(
    address: tuple[str, int], app: Application, bounds: ServerBounds
) -> WsgiServer:
    """Return a server; it is not started."""
    handler = type(
        "Handler",
        (BoundedHandler,),
        {
            "read_timeout_s": bounds.read_timeout_ms / 1_000,
            "max_header_bytes": bounds.header_bytes,
        },
    )
    return gevent.pywsgi.WSGIServer(
        address,
        app,
        backlog=1_024,
        spawn=gevent.pool.Pool(bounds.connections),
        log=NullLog(),
        error_log=NullLog(),
        handler_class=handler,
    )
