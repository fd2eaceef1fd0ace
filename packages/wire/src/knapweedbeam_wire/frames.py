"""Frames on a stream: length, MAC, body.

A frame is a 4-byte big-endian body length, a 16-byte MAC and the body. The MAC
is HMAC-SHA256, truncated to 16 bytes, over the frame's number on this link and
the body, with a key derived from the shared key and both nonces of the handshake.
So a frame that was altered, replayed, dropped or moved to another link is detected.
"""

from __future__ import annotations

import dataclasses
import hmac
import struct
import typing

from knapweedbeam_wire import codec

MAC_BYTES = 16
LENGTH = struct.Struct(">I")
NUMBER = struct.Struct(">Q")
HEADER_BYTES = LENGTH.size + MAC_BYTES
MAX_BODY_BYTES = 16 * 1024 * 1024
READ_BYTES = 16 * 1024
DIGEST = "sha256"


class Stream(typing.Protocol):
    """The methods of a socket that frames use."""

    def recv(self, size: int, /) -> bytes:
        """Return at most `size` bytes, empty at the end of the stream."""

    def sendall(self, data: bytes, /) -> None:
        """Send all of `data`."""


class LinkError(Exception):
    """The link must be closed: it ended, or a frame or the peer is invalid."""


class LinkClosedError(LinkError):
    """The peer closed the link between two frames."""


def derive_key(link_key: bytes, *parts: bytes) -> bytes:
    """Return a key derived from `parts`, each hashed with its length as a prefix."""
    joined = b"".join(LENGTH.pack(len(part)) + part for part in parts)
    return hmac.digest(link_key, joined, DIGEST)


def recv_exactly(stream: Stream, size: int) -> bytes:
    """Return exactly `size` bytes; raises `LinkError` when the stream ends."""
    chunks = []
    missing = size
    while missing:
        chunk = stream.recv(min(missing, 256 * 1024))
        if not chunk:
            if missing == size:
                raise LinkClosedError("closed")
            raise LinkError("closed within a frame")
        chunks.append(chunk)
        missing -= len(chunk)
    return chunks[0] if len(chunks) == 1 else b"".join(chunks)


@dataclasses.dataclass(slots=True)
class FrameWriter:
    """Writes numbered frames to a stream."""

    stream: Stream
    key: bytes
    number: int = 0

    def write(self, body: bytes) -> int:
        """Send one frame and return its size in bytes."""
        mac = hmac.digest(self.key, NUMBER.pack(self.number) + body, DIGEST)
        self.number += 1
        self.stream.sendall(LENGTH.pack(len(body)) + mac[:MAC_BYTES] + body)
        return HEADER_BYTES + len(body)


@dataclasses.dataclass(slots=True)
class FrameReader:
    """Reads numbered frames from a stream, several with one call where they wait."""

    stream: Stream
    key: bytes
    number: int = 0
    received: bytearray = dataclasses.field(default_factory=bytearray)

    def take(self, size: int, is_in_frame: bool) -> bytes:
        """Return the next `size` bytes; raises `LinkError` when the stream ends."""
        while len(self.received) < size:
            chunk = self.stream.recv(READ_BYTES)
            if not chunk and (self.received or is_in_frame):
                raise LinkError("closed within a frame")
            if not chunk:
                raise LinkClosedError("closed")
            self.received += chunk
        taken = bytes(self.received[:size])
        del self.received[:size]
        return taken

    def read(self) -> bytes:
        """Return the next body; raises `LinkError` at the end or a bad frame."""
        header = self.take(HEADER_BYTES, is_in_frame=False)
        (size,) = LENGTH.unpack_from(header)
        if size > MAX_BODY_BYTES:
            raise LinkError(f"frame of {size} bytes is too large")
        body = self.take(size, is_in_frame=True)
        mac = hmac.digest(self.key, NUMBER.pack(self.number) + body, DIGEST)
        if not hmac.compare_digest(mac[:MAC_BYTES], header[LENGTH.size :]):
            raise LinkError("frame with a wrong MAC")
        self.number += 1
        return body


def build_malformed_error(malformed: codec.Malformed) -> LinkError:
    """Return the error that closes a link after a malformed frame body."""
    return LinkError(f"malformed frame: {malformed.detail[:80]}")
