"""The handshake of a link: who is at the other end, and a fresh key.

The dialer sends `Hello` with a nonce. The acceptor answers with its own nonce and
a MAC over both, which only a holder of the shared key can make. The dialer proves
itself with the MAC of its first frame, since both nonces are part of that key.
"""

from __future__ import annotations

import dataclasses
import hmac
import secrets

import msgspec

from knapweedbeam_core import ids
from knapweedbeam_wire import frames

NONCE_BYTES = 16
MAX_HELLO_BYTES = 1024
PROOF_LABEL = b"acceptor"
KEY_LABEL = b"frames"


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """Who speaks on a link, with a nonce made for it.

    Its bytes come from anybody, so it is MessagePack: Cap'n Proto reports
    malformed bytes by a C++ exception, which can crash a process with greenlets.
    """

    name: str
    incarnation: int
    nonce: bytes
    proof: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """A link after its handshake: the peer and the key of its frames."""

    peer: ids.ProcessId
    key: bytes


class Handshake:
    """Says and takes hellos for one process."""

    def __init__(self, me: ids.ProcessId, link_key: bytes) -> None:
        self.me = me
        self.link_key = link_key
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Hello)

    def dial(self, stream: frames.Stream, name: str) -> Session:
        """Open the link to `name`; raises `LinkError` if it is somebody else."""
        mine = Hello(self.me.name, self.me.incarnation, secrets.token_bytes(16))
        self.send(stream, mine)
        theirs = self.receive(stream)
        if not hmac.compare_digest(self.get_proof(mine, theirs), theirs.proof):
            raise frames.LinkError("hello with a wrong proof")
        if theirs.name != name:
            raise frames.LinkError(f"{theirs.name} answers in place of {name}")
        return self.get_session(theirs, mine, theirs)

    def accept(self, stream: frames.Stream) -> Session:
        """Take a link; its dialer is proved by the first frame only."""
        theirs = self.receive(stream)
        mine = Hello(self.me.name, self.me.incarnation, secrets.token_bytes(16))
        proof = self.get_proof(theirs, mine)
        self.send(stream, msgspec.structs.replace(mine, proof=proof))
        return self.get_session(theirs, theirs, mine)

    def send(self, stream: frames.Stream, hello: Hello) -> None:
        """Send one hello."""
        body = self.encoder.encode(hello)
        stream.sendall(frames.LENGTH.pack(len(body)) + body)

    def receive(self, stream: frames.Stream) -> Hello:
        """Read one hello; raises `LinkError` when it is malformed."""
        (size,) = frames.LENGTH.unpack(frames.recv_exactly(stream, frames.LENGTH.size))
        if size > MAX_HELLO_BYTES:
            raise frames.LinkError(f"hello of {size} bytes")
        body = frames.recv_exactly(stream, size)
        try:
            hello = self.decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise frames.LinkError("malformed hello") from error
        if len(hello.nonce) != NONCE_BYTES:
            raise frames.LinkError("hello with a nonce of a wrong size")
        return hello

    def get_parts(self, dialer: Hello, acceptor: Hello) -> tuple[bytes, ...]:
        """Return what names one link: both ends with their nonces."""
        return tuple(
            part
            for hello in (dialer, acceptor)
            for part in (
                hello.name.encode(),
                frames.NUMBER.pack(hello.incarnation),
                hello.nonce,
            )
        )

    def get_proof(self, dialer: Hello, acceptor: Hello) -> bytes:
        """Return the acceptor's proof that it holds the shared key."""
        parts = self.get_parts(dialer, acceptor)
        return frames.derive_key(self.link_key, PROOF_LABEL, *parts)

    def get_session(self, peer: Hello, dialer: Hello, acceptor: Hello) -> Session:
        """Return the session with `peer`."""
        parts = self.get_parts(dialer, acceptor)
        key = frames.derive_key(self.link_key, KEY_LABEL, *parts)
        return Session(ids.ProcessId(peer.name, peer.incarnation), key)
