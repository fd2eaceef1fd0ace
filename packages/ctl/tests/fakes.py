from __future__ import annotations

import collections.abc
import contextlib
import json
import typing

import gevent.pywsgi
import gevent.server

Environ = dict[str, typing.Any]
Answer = tuple[int, typing.Any]
Handler = collections.abc.Callable[[str, str, bytes], Answer]


class FakeServer:
    """A fake HTTP API of a process; records calls and tokens."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.calls: list[tuple[str, str, bytes]] = []
        self.tokens: list[str] = []

    def answer(self, environ: Environ, start: typing.Any) -> list[bytes]:
        body = environ["wsgi.input"].read()
        path = environ["PATH_INFO"]
        call = (environ["REQUEST_METHOD"], path, body)
        self.calls.append(call)
        self.tokens.append(environ.get("HTTP_AUTHORIZATION", ""))
        status, content = self.handler(*call)
        start(f"{status} Fake", [("Content-Type", "application/json")])
        return [json.dumps(content).encode()]


@contextlib.contextmanager
def serve(handler: Handler) -> collections.abc.Iterator[tuple[str, FakeServer]]:
    fake = FakeServer(handler)
    server = gevent.pywsgi.WSGIServer(("127.0.0.1", 0), fake.answer, log=None)
    server.start()
    try:
        yield f"127.0.0.1:{server.server_port}", fake
    finally:
        server.stop(timeout=1)


@contextlib.contextmanager
def serve_without_answers() -> collections.abc.Iterator[str]:
    """Accept connections, read the request and close without an answer."""

    def close_without_answer(connection: typing.Any, address: object) -> None:
        connection.recv(65_536)
        connection.close()

    server = gevent.server.StreamServer(("127.0.0.1", 0), close_without_answer)
    server.start()
    try:
        yield f"127.0.0.1:{server.server_port}"
    finally:
        server.stop(timeout=1)
