"""A small HTTP/1.1 client and server, enough for the calls of the platform's pages."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import typing

Content = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request with its decoded JSON body."""

    method: str
    path: str
    headers: dict[str, str]
    content: Content


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A reply; status 0 means that no complete reply was received."""

    status: int
    content: typing.Any = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


NO_REPLY = Reply(0)
Handler = collections.abc.Callable[[Request], collections.abc.Awaitable[Reply]]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, the headers and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    return first, headers, await reader.readexactly(size) if size else b""


class Server:
    """Serves one address; `reset` and `pause` stand for troubles on the links to it."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self.host = host
        self.port = port
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the address as text."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, backlog=512
        )

    def stop(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                content = json.loads(body) if body else {}
                reply = await self.handler(Request(method, path, headers, content))
                data = json.dumps(reply.content).encode()
                head = (
                    f"HTTP/1.1 {reply.status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def send(
    address: str,
    method: str,
    path: str,
    content: object = None,
    headers: collections.abc.Mapping[str, str] | None = None,
    timeout_s: float = 5.0,
) -> Reply:
    """Send one request on a new connection and return the reply."""
    host, _, port = address.rpartition(":")
    body = b"" if content is None else json.dumps(content).encode()
    lines = {"Host": address, "Content-Type": "application/json"} | dict(headers or {})
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    head += f"Content-Length: {len(body)}\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + body)
            first, received, data = await read_message(reader)
            decoded = json.loads(data) if data else None
            return Reply(int(first.split(" ")[1]), decoded, received)
    except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError):
        return NO_REPLY
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(0.2):
                    await writer.wait_closed()
