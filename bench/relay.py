"""Relays between entry VMs: TCP with a given delay, which can be cut and healed.

A cut relay keeps its connections open but passes no bytes, like a partitioned
network. Bytes sent meanwhile arrive after healing.
"""

from __future__ import annotations

import collections
import dataclasses
import os
import time
import typing

import gevent
import gevent.event
import gevent.pywsgi
import gevent.server
import msgspec
from gevent import socket

from bench import endpoint

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 2.0
POLL_S = 0.5
MAX_BUFFERED_BYTES = 4 * 1024 * 1024
CUT_PATH = "/control/cut"
HEAL_PATH = "/control/heal"


class RelaySpec(msgspec.Struct):
    """A relay for connections from one entry VM to another."""

    listen: str
    target: str
    source_domain: str
    target_domain: str
    delay_ms: float = 0.0


class RelaysSpec(msgspec.Struct):
    """All relays of a run; the process exits with its parent or after `life_s`."""

    control: str
    relays: tuple[RelaySpec, ...]
    life_s: float


class DomainChange(msgspec.Struct):
    """The failure domain to cut off or to heal."""

    domain: str


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of an address."""
    host, _, port = text.rpartition(":")
    return host, int(port)


@dataclasses.dataclass(slots=True)
class Chunk:
    """Bytes that may be forwarded from the time `due_s` on."""

    due_s: float
    data: bytes


class Pipe:
    """One direction of a connection: reads bytes, delays them and writes them."""

    def __init__(self, relay: Relay, reader: typing.Any, writer: typing.Any) -> None:
        self.relay = relay
        self.reader = reader
        self.writer = writer
        self.chunks: collections.deque[Chunk] = collections.deque()
        self.buffered_bytes = 0
        self.chunk_added = gevent.event.Event()

    def read(self) -> None:
        """Read bytes until the sender closes, pausing while the buffer is full."""
        try:
            while data := self.reader.recv(READ_BYTES):
                self.enqueue(data)
                while self.buffered_bytes > MAX_BUFFERED_BYTES:
                    gevent.sleep(POLL_S)
        except OSError:
            pass
        self.enqueue(b"")

    def enqueue(self, data: bytes) -> None:
        """Buffer bytes with the time at which they are due; empty ones end the pipe."""
        due_s = time.monotonic() + self.relay.delay_s
        self.buffered_bytes += len(data)
        self.chunks.append(Chunk(due_s, data))
        self.chunk_added.set()

    def write(self) -> None:
        """Write bytes as they fall due, but none while the relay is cut."""
        try:
            while data := self.wait_for_chunk():
                self.writer.sendall(data)
            self.writer.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.reader.close()

    def wait_for_chunk(self) -> bytes:
        """Wait until the next chunk may be forwarded and return its bytes."""
        while not self.chunks:
            self.chunk_added.clear()
            self.chunk_added.wait()
        chunk = self.chunks.popleft()
        wait_s = chunk.due_s - time.monotonic()
        if wait_s > 0:
            gevent.sleep(wait_s)
        self.relay.open.wait()
        self.buffered_bytes -= len(chunk.data)
        return chunk.data


class Relay:
    """Relays connections from one entry VM to another while `open` is set."""

    def __init__(self, spec: RelaySpec) -> None:
        self.spec = spec
        self.delay_s = spec.delay_ms / 1_000
        self.open = gevent.event.Event()
        self.open.set()
        self.server = gevent.server.StreamServer(
            parse_address(spec.listen), self.handle_connection
        )

    def handle_connection(self, client: typing.Any, _address: typing.Any) -> None:
        """Connect to the target and forward bytes in both directions."""
        self.open.wait()
        try:
            target = socket.create_connection(
                parse_address(self.spec.target), CONNECT_TIMEOUT_S
            )
        except OSError:
            client.close()
            return
        target.settimeout(None)
        for each in (client, target):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pipes = (Pipe(self, client, target), Pipe(self, target, client))
        workers = [gevent.spawn(pipe.read) for pipe in pipes]
        workers += [gevent.spawn(pipe.write) for pipe in pipes]
        gevent.joinall(workers)


class Relays:
    """All relays of a run and the HTTP server that cuts and heals them."""

    def __init__(self, spec: RelaysSpec) -> None:
        self.spec = spec
        self.relays = [Relay(each) for each in spec.relays]
        self.server = gevent.pywsgi.WSGIServer(
            parse_address(spec.control), self.serve, log=None, error_log=None
        )

    def serve(
        self, environ: dict[str, typing.Any], start_response: endpoint.StartResponse
    ) -> list[bytes]:
        """Handle `POST /control/cut` or `/control/heal` with a failure domain."""
        change = msgspec.json.decode(environ["wsgi.input"].read(), type=DomainChange)
        path = environ["PATH_INFO"]
        if path not in (CUT_PATH, HEAL_PATH):
            return endpoint.reply(start_response, 404, b"{}")
        for relay in self.get_crossing_relays(change.domain):
            if path == CUT_PATH:
                relay.open.clear()
            else:
                relay.open.set()
        return endpoint.reply(start_response, 200, b"{}")

    def get_crossing_relays(self, domain: str) -> list[Relay]:
        """Return the relays between a failure domain and all others."""
        return [
            relay
            for relay in self.relays
            if (relay.spec.source_domain == domain)
            != (relay.spec.target_domain == domain)
        ]

    def start(self) -> None:
        """Start to accept connections."""
        for relay in self.relays:
            relay.server.start()
        self.server.start()

    def run(self) -> None:
        """Relay until the parent exits or `life_s` is over."""
        self.start()
        parent = os.getppid()
        end_s = time.monotonic() + self.spec.life_s
        while os.getppid() == parent and time.monotonic() < end_s:
            gevent.sleep(POLL_S)
