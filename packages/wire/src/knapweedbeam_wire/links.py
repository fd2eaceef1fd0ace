"""TCP links to the other processes, one for each direction."""

from __future__ import annotations

import collections
import collections.abc
import contextlib
import dataclasses
import random
import socket as std_socket
import typing

import gevent
import gevent.event
import gevent.pool
import gevent.server
import gevent.socket

from knapweedbeam_core import effects, ids
from knapweedbeam_wire import codec, frames, handshake, traffic

FIRST_RETRY_S = 0.05
MAX_QUEUED_MESSAGES = 20_000
MAX_BATCH = 512
# A core VM has a link from every process, and some that are not yet closed.
MAX_INCOMING_LINKS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class LinkTimes:
    """The timeouts and the longest retry interval of links.

    The defaults suit a fixed set of peers. Deployments that must detect a lost peer
    within a second use shorter ones.
    """

    connect_s: float = 2.0
    handshake_s: float = 2.0
    receive_timeout_s: float = 15.0
    unacked_ms: int = 3_000
    max_retry_s: float = 1.0


DEFAULT_TIMES = LinkTimes()


class LinkObserver(typing.Protocol):
    """Receives the messages and the state changes of links."""

    def on_message(self, sender: ids.ProcessId, message: effects.Message) -> None:
        """Handle a message from an authenticated sender."""

    def link_up(self, peer: ids.ProcessId) -> None:
        """Handle that the outgoing link to `peer` is up."""

    def link_down(self, name: str, detail: str) -> None:
        """Handle that the outgoing link to `name` went down."""

    def link_refused(self, address: str, detail: str) -> None:
        """Handle that an incoming link was closed because of an error."""

    def message_failed(self, peer: str, kind: str, error: Exception) -> None:
        """Handle that a message was dropped because of an unexpected error.

        `kind` is the class of the message, which came from `peer` or should go there.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAddress:
    """Where a peer listens for links."""

    name: str
    host: str
    port: int


def set_options(sock: gevent.socket.socket, unacked_ms: int) -> None:
    """Send without delay; fail when data stays unacknowledged for `unacked_ms`."""
    sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
    sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_USER_TIMEOUT, unacked_ms)


class OutgoingLink:
    """The link to one peer: queues messages and sends them in batches."""

    def __init__(
        self,
        peer: PeerAddress,
        source_host: str,
        handshaker: handshake.Handshake,
        codec_: codec.Codec,
        observer: LinkObserver,
        times: LinkTimes,
    ) -> None:
        self.times = times
        self.peer = peer
        self.source_host = source_host
        self.handshaker = handshaker
        self.codec = codec_
        self.observer = observer
        self.sent = traffic.Traffic()
        self.queue: collections.deque[effects.Message] = collections.deque()
        self.pending = gevent.event.Event()
        self.connected = False
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Connect, and reconnect whenever the link is lost."""
        self.greenlet = gevent.spawn(self.run)

    def stop(self) -> None:
        """Close the link."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def send(self, message: effects.Message) -> None:
        """Queue a message; drop it if the link is down or the queue full."""
        if not self.connected or len(self.queue) >= MAX_QUEUED_MESSAGES:
            self.sent.dropped += 1
            return
        self.queue.append(message)
        self.pending.set()

    def run(self) -> None:
        """Keep one connection open, with an exponential backoff between attempts."""
        retry_s = FIRST_RETRY_S
        while True:
            try:
                self.run_connection()
            except (OSError, frames.LinkError, gevent.Timeout) as error:
                if self.connected:
                    retry_s = FIRST_RETRY_S
                    self.observer.link_down(self.peer.name, str(error))
            self.connected = False
            self.queue.clear()
            gevent.sleep(retry_s * random.uniform(0.5, 1.5))
            retry_s = min(2 * retry_s, self.times.max_retry_s)

    def run_connection(self) -> None:
        """Connect and send until the link fails."""
        sock = gevent.socket.create_connection(
            (self.peer.host, self.peer.port),
            self.times.connect_s,
            (self.source_host, 0),
        )
        with sock:
            set_options(sock, self.times.unacked_ms)
            sock.settimeout(self.times.handshake_s)
            session = self.handshaker.dial(sock, self.peer.name)
            sock.settimeout(None)
            watcher = gevent.spawn(self.wake_on_close, sock)
            try:
                self.connected = True
                self.observer.link_up(session.peer)
                self.send_batches(frames.FrameWriter(sock, session.key))
            finally:
                watcher.kill(block=False)

    def wake_on_close(self, sock: gevent.socket.socket) -> None:
        """Wake the sender when the peer closes the link, on which it never sends."""
        with contextlib.suppress(OSError):
            sock.recv(1)
        self.connected = False
        self.pending.set()

    def send_batches(self, writer: frames.FrameWriter) -> None:
        """Send queued messages; those queued in one turn of the loop share frames."""
        while True:
            self.pending.wait()
            self.pending.clear()
            if not self.connected:
                raise frames.LinkClosedError("closed by the peer")
            while self.queue:
                self.send_batch(writer)

    def send_batch(self, writer: frames.FrameWriter) -> None:
        """Send up to `MAX_BATCH` queued messages as one frame."""
        count = min(len(self.queue), MAX_BATCH)
        batch = [self.queue.popleft() for _ in range(count)]
        try:
            body = self.codec.encode(batch)
        except Exception:
            batch = self.list_encodable(batch)
            body = self.codec.encode(batch)
        size = writer.write(body)
        self.sent.frames += 1
        self.sent.frame_bytes += size
        self.sent.messages.update(type(message).__name__ for message in batch)

    def list_encodable(self, batch: list[effects.Message]) -> list[effects.Message]:
        """Return the messages that can be encoded, and report the others."""
        encodable = []
        for message in batch:
            try:
                self.codec.encode_frame([message])
            except Exception as error:
                self.sent.dropped += 1
                kind = type(message).__name__
                self.observer.message_failed(self.peer.name, kind, error)
            else:
                encodable.append(message)
        return encodable


class Links:
    """All links of a process.

    In a closed group only the configured peers may connect. Otherwise any process
    with the shared key may, as in deployments that discover members at run time.
    """

    def __init__(
        self,
        me: ids.ProcessId,
        listen: tuple[str, int],
        peers: tuple[PeerAddress, ...],
        link_key: bytes,
        codec_: codec.Codec,
        observer: LinkObserver,
        times: LinkTimes = DEFAULT_TIMES,
        is_closed_group: bool = True,
    ) -> None:
        self.host = listen[0]
        self.times = times
        self.is_closed_group = is_closed_group
        self.handshaker = handshake.Handshake(me, link_key)
        self.codec = codec_
        self.observer = observer
        self.received = traffic.Traffic()
        self.outgoing = {peer.name: self.build_outgoing(peer) for peer in peers}
        pool = gevent.pool.Pool(MAX_INCOMING_LINKS)
        self.server = gevent.server.StreamServer(listen, self.serve, spawn=pool)

    def build_outgoing(self, peer: PeerAddress) -> OutgoingLink:
        """Return the link to a peer, not yet started."""
        return OutgoingLink(
            peer, self.host, self.handshaker, self.codec, self.observer, self.times
        )

    def set_peers(self, peers: collections.abc.Iterable[PeerAddress]) -> None:
        """Open links to new peers and close the links to removed ones."""
        current = {peer.name: peer for peer in peers}
        for name in set(self.outgoing) - set(current):
            self.outgoing.pop(name).stop()
        for name in sorted(set(current) - set(self.outgoing)):
            link = self.outgoing[name] = self.build_outgoing(current[name])
            link.start()

    def start(self) -> None:
        """Listen, and connect to all peers."""
        self.server.start()
        for link in self.outgoing.values():
            link.start()

    def stop(self) -> None:
        """Close every link."""
        self.server.stop(timeout=0)
        for link in self.outgoing.values():
            link.stop()

    def send(self, to: str, message: effects.Message) -> None:
        """Send a message, or drop it when the peer is unknown or not connected."""
        link = self.outgoing.get(to)
        if link is not None:
            link.send(message)

    def serve(self, sock: gevent.socket.socket, address: tuple[str, int]) -> None:
        """Serve one incoming link; an error closes this link only."""
        try:
            set_options(sock, self.times.unacked_ms)
            sock.settimeout(self.times.handshake_s)
            session = self.handshaker.accept(sock)
            if self.is_closed_group and session.peer.name not in self.outgoing:
                raise frames.LinkError(f"unknown peer {session.peer.name[:40]}")
            sock.settimeout(self.times.receive_timeout_s)
            self.receive(frames.FrameReader(sock, session.key), session.peer)
        except frames.LinkClosedError:
            return
        except (OSError, frames.LinkError) as error:
            self.observer.link_refused(address[0], str(error))

    def receive(self, reader: frames.FrameReader, sender: ids.ProcessId) -> None:
        """Pass the messages of each frame to the observer."""
        while True:
            body = reader.read()
            messages = self.codec.decode(body)
            if isinstance(messages, codec.Malformed):
                raise frames.build_malformed_error(messages)
            self.received.frames += 1
            self.received.frame_bytes += frames.HEADER_BYTES + len(body)
            self.received.messages.update(type(m).__name__ for m in messages)
            for message in messages:
                self.handle_message(sender, message)

    def handle_message(self, sender: ids.ProcessId, message: effects.Message) -> None:
        """Pass a message to the observer; an error concerns this message only."""
        try:
            self.observer.on_message(sender, message)
        except Exception as error:
            kind = type(message).__name__
            self.observer.message_failed(sender.name, kind, error)
