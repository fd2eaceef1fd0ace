"""A small HTTP/1.1 client and server for JSON bodies."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import typing

Body = dict[str, typing.Any]
Handler = typing.Callable[
    [str, str, dict[str, str], Body], typing.Awaitable[tuple[int, Body]]
]


@dataclasses.dataclass(frozen=True)
class Reply:
    """The reply to a request; status 0 means that no complete reply was received."""

    status: int
    body: typing.Any = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], typing.Any]:
    """Return the first line, the headers and the JSON body of one message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first_line, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0") or "0")
    data = await reader.readexactly(length)
    try:
        return first_line, headers, json.loads(data or b"null")
    except ValueError:
        return first_line, headers, None


async def call(
    address: str,
    method: str,
    path: str,
    content: object = None,
    *,
    host: str = "h.example",
    timeout_s: float = 1.0,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send one request on a new connection and return the reply."""
    body = b"" if content is None else json.dumps(content).encode()
    extra = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n"
        f"Content-Type: application/json\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    name, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(name, int(port))
            writer.write(head.encode() + body)
            await writer.drain()
            status_line, reply_headers, reply_body = await read_message(reader)
            return Reply(int(status_line.split()[1]), reply_body, reply_headers)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Reply(0)
    finally:
        if writer is not None:
            writer.close()


class Server:
    """Serves JSON calls on one address, on connections that stay open."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on a port of `host`, by default a free one."""
        self.server = await asyncio.start_server(
            self.serve_connection, host, port, backlog=512
        )
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening and reset all connections, as at the end of a process."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection one after the other."""
        self.writers.add(writer)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError
        ):
            while True:
                first_line, headers, body = await read_message(reader)
                method, path, _ = first_line.split()
                status, content = await self.handler(method, path, headers, body or {})
                data = json.dumps(content).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()
