"""A small HTTP/1.1 client and server on asyncio streams."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import socket
import struct
import typing

STATUS_TEXTS = {200: "OK", 409: "Conflict", 421: "Misdirected Request"}


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A reply; status 0 means that no complete one came."""

    status: int
    body: typing.Any = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, the headers in lower case and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    return first, headers, await reader.readexactly(size) if size else b""


async def call(
    address: str,
    method: str,
    path: str,
    content: object = None,
    host: str = "h.example",
    timeout_s: float = 5.0,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send one request on a channel of its own and return the reply."""
    try:
        async with asyncio.timeout(timeout_s):
            return await exchange(address, method, path, content, host, headers or {})
    except (OSError, ValueError, IndexError, EOFError, TimeoutError):
        return Reply(0)


async def exchange(
    address: str,
    method: str,
    path: str,
    content: object,
    host: str,
    headers: dict[str, str],
) -> Reply:
    """Connect, send one request and read its reply."""
    body = b"" if content is None else json.dumps(content).encode()
    name, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(name, int(port))
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        first, reply_headers, reply_body = await read_message(reader)
        try:
            decoded = json.loads(reply_body or b"null")
        except ValueError:
            decoded = None
        return Reply(int(first.split()[1]), decoded, reply_headers)
    finally:
        writer.close()


Handler = typing.Callable[
    [str, str, dict[str, str], typing.Any], typing.Awaitable[tuple[int, object] | None]
]


class Server:
    """Serves requests with a handler; a handler's None resets the channel."""

    def __init__(self, host: str, handler: Handler) -> None:
        self.host = host
        self.handler = handler
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen, at the same port as before if there was one."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and reset all channels."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            self.reset(writer)

    def reset(self, writer: asyncio.StreamWriter) -> None:
        """Reset one channel."""
        sock = writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one channel."""
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split()
                content = json.loads(body or b"null")
                result = await self.handler(method, path, headers, content)
                if result is None:
                    self.reset(writer)
                    return
                data = json.dumps(result[1]).encode()
                text = STATUS_TEXTS.get(result[0], "Status")
                writer.write(
                    f"HTTP/1.1 {result[0]} {text}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
