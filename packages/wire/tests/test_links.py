from __future__ import annotations

import dataclasses
import unittest
import unittest.mock

import gevent
import gevent.event
import gevent.socket
import hypothesis
from hypothesis import strategies

from knapweedbeam_core import effects, ids, outcomes
from knapweedbeam_core.fleet import messages as fleet_messages
from knapweedbeam_core.tickets import messages
from knapweedbeam_wire import codec, frames, handshake, links, registry

KEY = b"k" * 32
WAIT_S = 10


@dataclasses.dataclass(slots=True)
class Observer:
    """Collects the messages and events that links report."""

    messages: list[tuple[ids.ProcessId, effects.Message]]
    refused: list[str]
    up: gevent.event.Event
    arrived: gevent.event.Event
    failed: list[str] = dataclasses.field(default_factory=list)
    failing_tickets: set[str] = dataclasses.field(default_factory=set)

    def on_message(self, sender: ids.ProcessId, message: effects.Message) -> None:
        if getattr(message, "ticket", "") in self.failing_tickets:
            raise RuntimeError("unforeseen")
        self.messages.append((sender, message))
        self.arrived.set()

    def message_failed(self, peer: str, kind: str, error: Exception) -> None:
        self.failed.append(f"{kind} {type(error).__name__}")

    def link_up(self, peer: ids.ProcessId) -> None:
        self.up.set()

    def link_down(self, name: str, detail: str) -> None:
        self.up.clear()

    def link_refused(self, address: str, detail: str) -> None:
        self.refused.append(detail)
        self.arrived.set()


def build_observer() -> Observer:
    return Observer([], [], gevent.event.Event(), gevent.event.Event())


def build_codec() -> codec.Codec:
    return registry.build_codec([messages.BeginJob, messages.SettleJob])


def get_free_port() -> int:
    with gevent.socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def build_links(
    name: str, port: int, peer: links.PeerAddress, observer: Observer, key: bytes = KEY
) -> links.Links:
    me = ids.ProcessId(name, 7)
    listen = ("127.0.0.1", port)
    return links.Links(me, listen, (peer,), key, build_codec(), observer)


class LinksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ports = [get_free_port(), get_free_port()]
        self.observers = [build_observer(), build_observer()]
        self.opened: list[links.Links] = []
        self.addCleanup(lambda: [opened.stop() for opened in self.opened])

    def open(self, index: int, name: str, peer: str, key: bytes = KEY) -> links.Links:
        address = links.PeerAddress(peer, "127.0.0.1", self.ports[1 - index])
        built = build_links(
            name, self.ports[index], address, self.observers[index], key
        )
        built.start()
        self.opened.append(built)
        return built

    def test_peers_are_added_and_removed_at_run_time(self) -> None:
        members = [
            links.Links(
                ids.ProcessId(name, 7),
                ("127.0.0.1", port),
                (),
                KEY,
                build_codec(),
                observer,
                is_closed_group=False,
            )
            for name, port, observer in zip(
                "ab", self.ports, self.observers, strict=True
            )
        ]
        for member_links in members:
            member_links.start()
            self.opened.append(member_links)
        peer = links.PeerAddress("b", "127.0.0.1", self.ports[1])
        members[0].set_peers([peer])
        self.assertTrue(self.observers[0].up.wait(WAIT_S))
        members[0].send("b", messages.BeginJob("t", "one"))
        self.assertTrue(self.observers[1].arrived.wait(WAIT_S))
        members[0].set_peers([])
        self.assertEqual(members[0].outgoing, {})

    def test_messages_of_one_turn_share_a_frame(self) -> None:
        first = self.open(0, "a1", "a2")
        second = self.open(1, "a2", "a1")
        self.assertTrue(self.observers[0].up.wait(WAIT_S))
        sent = [messages.BeginJob(str(n), "one") for n in range(50)]
        for message in sent:
            first.send("a2", message)
        with gevent.Timeout(WAIT_S):
            while len(self.observers[1].messages) < len(sent):
                gevent.sleep(0.01)
        self.assertEqual([m for _, m in self.observers[1].messages], sent)
        self.assertEqual(self.observers[1].messages[0][0], ids.ProcessId("a1", 7))
        self.assertEqual(second.received.frames, 1)

    def wait_for_message(self, count: int) -> None:
        with gevent.Timeout(WAIT_S):
            while len(self.observers[1].messages) < count:
                gevent.sleep(0.01)

    def test_message_that_cannot_be_handled_leaves_its_link_open(self) -> None:
        first = self.open(0, "a1", "a2")
        second = self.open(1, "a2", "a1")
        self.observers[1].failing_tickets = {"bad"}
        self.assertTrue(self.observers[0].up.wait(WAIT_S))
        for ticket in ("bad", "good"):
            first.send("a2", messages.BeginJob(ticket, "one"))
        self.wait_for_message(1)
        self.assertEqual(self.observers[1].failed, ["BeginJob RuntimeError"])
        self.assertEqual(second.received.frames, 1)

    def test_message_that_cannot_be_encoded_leaves_its_link_open(self) -> None:
        first = self.open(0, "a1", "a2")
        self.open(1, "a2", "a1")
        self.assertTrue(self.observers[0].up.wait(WAIT_S))
        for ticket in ("one", "\ud800", "three"):
            first.send("a2", messages.BeginJob(ticket, "one"))
        big = messages.SettleJob("t", "one", outcomes.Complete((b"1",)), 2**70, True)
        first.send("a2", big)
        self.wait_for_message(2)
        first.send("a2", messages.BeginJob("four", "one"))
        self.wait_for_message(3)
        tickets = [
            message.ticket
            for _, message in self.observers[1].messages
            if isinstance(message, messages.BeginJob)
        ]
        self.assertEqual(tickets, ["one", "three", "four"])
        self.assertEqual(len(self.observers[0].failed), 2)

    def test_wrong_key_is_refused(self) -> None:
        first = self.open(0, "a1", "a2", b"other" * 8)
        self.open(1, "a2", "a1")
        gevent.sleep(0.3)
        first.send("a2", messages.BeginJob("t", "one"))
        self.assertFalse(self.observers[0].up.is_set())
        self.assertEqual(self.observers[1].messages, [])

    def test_unknown_peer_is_refused(self) -> None:
        self.open(0, "z9", "a2")
        self.open(1, "a2", "a1")
        self.assertTrue(self.observers[1].arrived.wait(WAIT_S))
        self.assertIn("unknown peer z9", self.observers[1].refused[0])

    def test_malformed_hello_closes_only_its_connection(self) -> None:
        first = self.open(0, "a1", "a2")
        self.open(1, "a2", "a1")
        self.assertTrue(self.observers[0].up.wait(WAIT_S))
        with gevent.socket.create_connection(("127.0.0.1", self.ports[1])) as sock:
            sock.sendall(b"\x00\x00\x00\x08garbage!" * 10)
            self.assertTrue(self.observers[1].arrived.wait(WAIT_S))
        self.observers[1].arrived.clear()
        first.send("a2", messages.BeginJob("t", "one"))
        self.assertTrue(self.observers[1].arrived.wait(WAIT_S))
        self.assertEqual(len(self.observers[1].messages), 1)

    def test_deeply_nested_hello_closes_only_its_connection(self) -> None:
        first = self.open(0, "a1", "a2")
        self.open(1, "a2", "a1")
        self.assertTrue(self.observers[0].up.wait(WAIT_S))
        nested = b"\x91" * handshake.MAX_HELLO_BYTES
        with gevent.socket.create_connection(("127.0.0.1", self.ports[1])) as sock:
            sock.sendall(frames.LENGTH.pack(len(nested)) + nested)
            self.assertTrue(self.observers[1].arrived.wait(WAIT_S))
        self.assertIn("malformed hello", self.observers[1].refused[0])
        self.observers[1].arrived.clear()
        first.send("a2", messages.BeginJob("t", "one"))
        self.assertTrue(self.observers[1].arrived.wait(WAIT_S))
        self.assertEqual(len(self.observers[1].messages), 1)


class Buffer:
    """A stream that returns what was written to it."""

    def __init__(self, data: bytes = b"") -> None:
        self.data = data

    def sendall(self, data: bytes) -> None:
        self.data += data

    def recv(self, size: int) -> bytes:
        head, self.data = self.data[:size], self.data[size:]
        return head


class FrameTest(unittest.TestCase):
    def write(self, *bodies: bytes) -> bytes:
        buffer = Buffer()
        writer = frames.FrameWriter(buffer, KEY)
        for body in bodies:
            writer.write(body)
        return buffer.data

    def test_any_flipped_bit_is_refused(self) -> None:
        data = self.write(b"payload")
        for offset in range(4, len(data)):
            damaged = bytearray(data)
            damaged[offset] ^= 1
            with self.assertRaises(frames.LinkError):
                frames.FrameReader(Buffer(bytes(damaged)), KEY).read()

    def test_replayed_frame_is_refused(self) -> None:
        reader = frames.FrameReader(Buffer(self.write(b"once") * 2), KEY)
        self.assertEqual(reader.read(), b"once")
        with self.assertRaisesRegex(frames.LinkError, "MAC"):
            reader.read()

    def test_oversized_frame_is_refused_before_its_body_is_read(self) -> None:
        header = frames.LENGTH.pack(frames.MAX_BODY_BYTES + 1) + b"\x00" * 16
        with self.assertRaisesRegex(frames.LinkError, "bytes"):
            frames.FrameReader(Buffer(header), KEY).read()


class CodecTest(unittest.TestCase):
    def test_unions_are_encoded_in_a_greenlet_that_sleeps(self) -> None:
        """A C++ exception in a greenlet, as pycapnp raised, crashed the process."""
        built = build_codec()
        outcome = outcomes.Complete((b"1",) * 40)
        sent = [messages.SettleJob("t", "one", outcome, 1, True)] * 20

        def encode() -> None:
            for round_ in range(400):
                self.assertEqual(built.decode(built.encode(sent)), tuple(sent))
                gevent.sleep(0.0005 * (round_ % 2))

        gevent.spawn(encode).get(timeout=60)

    def check_decoded_in_greenlets(self, bodies: list[bytes]) -> None:
        """Decode in greenlets that switch in between, as the links do."""
        built = build_codec()

        def decode(part: list[bytes]) -> int:
            count = 0
            for body in part:
                count += isinstance(built.decode(body), codec.Malformed)
                gevent.sleep(0)
            return count

        started = [gevent.spawn(decode, bodies[start::3]) for start in range(3)]
        with gevent.Timeout(WAIT_S):
            gevent.joinall(started, raise_error=True)

    def test_truncated_body_never_reaches_the_library(self) -> None:
        built = build_codec()
        body = built.encode([messages.BeginJob("t", "one")] * 3)
        with unittest.mock.patch.object(built, "decode_frame") as decode_frame:
            for size in range(len(body)):
                self.assertIsInstance(built.decode(body[:size]), codec.Malformed)
            self.assertIsInstance(built.decode(body + b"12345678"), codec.Malformed)
        decode_frame.assert_not_called()

    @hypothesis.settings(
        max_examples=60, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 10**6), strategies.binary()),
            min_size=3,
            max_size=30,
        )
    )
    def test_mutated_bodies_are_decoded_or_malformed(
        self, changes: list[tuple[int, bytes]]
    ) -> None:
        outcome = outcomes.Complete((b"1", b"22"))
        sent = [messages.SettleJob("t", "one", outcome, 1, True)]
        body = build_codec().encode([*sent, messages.BeginJob("t", "one")])
        bodies = []
        for offset, inserted in changes:
            start = offset % len(body)
            mutated = body[:start] + inserted + body[start + len(inserted) :]
            bodies += [mutated, mutated[: len(body)], body[:start]]
        self.check_decoded_in_greenlets(bodies)

    def test_short_body_that_comes_again_is_decoded_once(self) -> None:
        built = registry.build_codec([fleet_messages.Alive])
        sent = [fleet_messages.Alive(number) for number in range(50)]
        bodies = [built.encode([message]) for message in sent]
        self.assertIs(built.decode(bodies[0]), built.decode(bodies[0]))
        for message, body in zip(sent, bodies, strict=True):
            self.assertEqual(built.decode(body), (message,))
        self.assertLessEqual(len(built.decoded), codec.MAX_CACHED_BODIES)

    def test_unknown_kind_is_skipped(self) -> None:
        registered = messages.BeginJob("t", "one")
        unregistered = messages.CancelTicket("t", "one")
        newer = registry.build_codec([messages.BeginJob, messages.CancelTicket])
        body = newer.encode([unregistered, registered])
        self.assertEqual(build_codec().decode(body), (registered,))
