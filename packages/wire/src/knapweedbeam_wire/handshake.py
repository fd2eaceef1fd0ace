"""The handshake of a link: it authenticates the peer and derives a fresh key.

The dialer sends `Hello` with a nonce. The acceptor answers with its own nonce and
a MAC over both, which requires the shared key. The dialer is authenticated by the
MAC of its first frame, because the key of that MAC depends on both nonces.
"""

from __future__ import annotations

import dataclasses
import hmac
import secrets

import msgspec

from knapweedbeam_core import decoding, ids
from knapweedbeam_wire import frames

NONCE_BYTES = 16
MAX_HELLO_BYTES = 1024
PROOF_LABEL = b"acceptor"
KEY_LABEL = b"frames"


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """The name and incarnation of one end of a link, with a nonce for this link.

    The bytes come from an unauthenticated peer, so the format is MessagePack: Cap'n
    Proto reports malformed bytes by a C++ exception, which can crash a process with
    greenlets.
    """

    name: str
    incarnation: int
    nonce: bytes
    proof: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """The result of a handshake: the peer and the key of the frames."""

    peer: ids.ProcessId
    key: bytes


class Handshake:
    """Performs the handshakes of one process, as dialer and as acceptor."""

    def __init__(self, me: ids.ProcessId, link_key: bytes) -> None:
        self.me = me
        self.link_key = link_key
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Hello)

    def dial(self, stream: frames.Stream, name: str) -> Session:
        """Shake hands with `name`; raises `LinkError` if the peer has another name."""
        own_hello = Hello(self.me.name, self.me.incarnation, secrets.token_bytes(16))
        self.send(stream, own_hello)
        peer_hello = self.receive(stream)
        if not hmac.compare_digest(
            self.compute_proof(own_hello, peer_hello), peer_hello.proof
        ):
            raise frames.LinkError("hello with a wrong proof")
        if peer_hello.name != name:
            raise frames.LinkError(f"{peer_hello.name} answered instead of {name}")
        return self.build_session(peer_hello, own_hello, peer_hello)

    def accept(self, stream: frames.Stream) -> Session:
        """Answer a dialer, which only its first frame authenticates."""
        peer_hello = self.receive(stream)
        own_hello = Hello(self.me.name, self.me.incarnation, secrets.token_bytes(16))
        proof = self.compute_proof(peer_hello, own_hello)
        self.send(stream, msgspec.structs.replace(own_hello, proof=proof))
        return self.build_session(peer_hello, peer_hello, own_hello)

    def send(self, stream: frames.Stream, hello: Hello) -> None:
        """Send one hello."""
        body = self.encoder.encode(hello)
        stream.sendall(frames.LENGTH.pack(len(body)) + body)

    def receive(self, stream: frames.Stream) -> Hello:
        """Read one hello; raises `LinkError` when it is malformed."""
        (size,) = frames.LENGTH.unpack(frames.recv_exactly(stream, frames.LENGTH.size))
        if size > MAX_HELLO_BYTES:
            raise frames.LinkError(f"hello of {size} bytes is too large")
        body = frames.recv_exactly(stream, size)
        try:
            hello = self.decoder.decode(body)
        except decoding.ERRORS as error:
            raise frames.LinkError("malformed hello") from error
        if len(hello.nonce) != NONCE_BYTES:
            raise frames.LinkError("hello with a nonce of the wrong size")
        return hello

    def build_transcript(self, dialer: Hello, acceptor: Hello) -> tuple[bytes, ...]:
        """Return the name, incarnation and nonce of both ends, which keys depend on."""
        return tuple(
            part
            for hello in (dialer, acceptor)
            for part in (
                hello.name.encode(),
                frames.NUMBER.pack(hello.incarnation),
                hello.nonce,
            )
        )

    def compute_proof(self, dialer: Hello, acceptor: Hello) -> bytes:
        """Return the MAC by which the acceptor proves that it has the shared key."""
        transcript = self.build_transcript(dialer, acceptor)
        return frames.derive_key(self.link_key, PROOF_LABEL, *transcript)

    def build_session(self, peer: Hello, dialer: Hello, acceptor: Hello) -> Session:
        """Return the session with `peer`."""
        transcript = self.build_transcript(dialer, acceptor)
        key = frames.derive_key(self.link_key, KEY_LABEL, *transcript)
        return Session(ids.ProcessId(peer.name, peer.incarnation), key)
