"""Relays between entry VMs: TCP with a set delay that can be cut and healed.

A cut relay keeps its connections and lets nothing through, as a partitioned
network does; what was sent meanwhile arrives late, after healing.
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
WATCH_S = 0.5
MAX_HELD_BYTES = 4 * 1024 * 1024
CUT_PATH = "/control/cut"
HEAL_PATH = "/control/heal"


class RelaySpec(msgspec.Struct):
    """One direction between two entry VMs."""

    listen: str
    target: str
    source_domain: str
    target_domain: str
    delay_ms: float = 0.0


class RelaysSpec(msgspec.Struct):
    """All relays of a run; the process ends with its parent or after `life_s`."""

    control: str
    relays: tuple[RelaySpec, ...]
    life_s: float


class DomainChange(msgspec.Struct):
    """The failure domain that is cut off or healed."""

    domain: str


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of an address."""
    host, _, port = text.rpartition(":")
    return host, int(port)


@dataclasses.dataclass(slots=True)
class Chunk:
    """Bytes that may go on at `due_s`."""

    due_s: float
    data: bytes


class Pipe:
    """One direction of one connection: reads, waits for the delay, writes."""

    def __init__(self, relay: Relay, reader: typing.Any, writer: typing.Any) -> None:
        self.relay = relay
        self.reader = reader
        self.writer = writer
        self.chunks: collections.deque[Chunk] = collections.deque()
        self.held = 0
        self.changed = gevent.event.Event()

    def read(self) -> None:
        """Take bytes until the sender ends."""
        try:
            while data := self.reader.recv(READ_BYTES):
                self.put(data)
                while self.held > MAX_HELD_BYTES:
                    gevent.sleep(WATCH_S)
        except OSError:
            pass
        self.put(b"")

    def put(self, data: bytes) -> None:
        """Hold bytes until their delay is over; empty ones end the pipe."""
        due_s = time.monotonic() + self.relay.delay_s
        self.held += len(data)
        self.chunks.append(Chunk(due_s, data))
        self.changed.set()

    def write(self) -> None:
        """Hand on bytes as they fall due, none while the relay is cut."""
        try:
            while data := self.take():
                self.writer.sendall(data)
            self.writer.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.reader.close()

    def take(self) -> bytes:
        """Wait for the next chunk and return its bytes."""
        while not self.chunks:
            self.changed.clear()
            self.changed.wait()
        chunk = self.chunks.popleft()
        wait_s = chunk.due_s - time.monotonic()
        if wait_s > 0:
            gevent.sleep(wait_s)
        self.relay.open.wait()
        self.held -= len(chunk.data)
        return chunk.data


class Relay:
    """Relays connections from one entry VM to another."""

    def __init__(self, spec: RelaySpec) -> None:
        self.spec = spec
        self.delay_s = spec.delay_ms / 1_000
        self.open = gevent.event.Event()
        self.open.set()
        self.server = gevent.server.StreamServer(parse_address(spec.listen), self.join)

    def join(self, client: typing.Any, _address: typing.Any) -> None:
        """Join a new connection to one to the target."""
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
    """All relays of a run and the calls that cut and heal them."""

    def __init__(self, spec: RelaysSpec) -> None:
        self.spec = spec
        self.relays = [Relay(each) for each in spec.relays]
        self.server = gevent.pywsgi.WSGIServer(
            parse_address(spec.control), self.serve, log=None, error_log=None
        )

    def serve(
        self, environ: dict[str, typing.Any], start_response: endpoint.StartResponse
    ) -> list[bytes]:
        """Take `POST /control/cut` or `/control/heal` with a failure domain."""
        change = msgspec.json.decode(environ["wsgi.input"].read(), type=DomainChange)
        path = environ["PATH_INFO"]
        if path not in (CUT_PATH, HEAL_PATH):
            return endpoint.reply(start_response, 404, b"{}")
        for relay in self.get_crossing(change.domain):
            if path == CUT_PATH:
                relay.open.clear()
            else:
                relay.open.set()
        return endpoint.reply(start_response, 200, b"{}")

    def get_crossing(self, domain: str) -> list[Relay]:
        """Return the relays that cross the border of a failure domain."""
        return [
            relay
            for relay in self.relays
            if (relay.spec.source_domain == domain)
            != (relay.spec.target_domain == domain)
        ]

    def start(self) -> None:
        """Accept connections from now on."""
        for relay in self.relays:
            relay.server.start()
        self.server.start()

    def run(self) -> None:
        """Relay until the parent ends or the time is over."""
        self.start()
        parent = os.getppid()
        end_s = time.monotonic() + self.spec.life_s
        while os.getppid() == parent and time.monotonic() < end_s:
            gevent.sleep(WATCH_S)
