"""The manifest as the replicated log builds it: the highest version wins."""

from __future__ import annotations

import msgspec


class Stored(msgspec.Struct, frozen=True, array_like=True):
    """One manifest in the log: its version and the operator's own bytes."""

    version: int
    body: bytes


DECODER = msgspec.msgpack.Decoder(Stored)
ENCODER = msgspec.msgpack.Encoder()
NOTHING = Stored(0, b"")


class ManifestMachine:
    """The state machine of the log; version 0 stands for no manifest yet."""

    def __init__(self) -> None:
        self.stored = NOTHING

    def apply(self, index: int, data: bytes) -> None:
        """Take a committed manifest unless a higher version is there."""
        offered = DECODER.decode(data)
        if offered.version > self.stored.version:
            self.stored = offered

    def take_snapshot(self) -> bytes:
        """Return the manifest as bytes."""
        return ENCODER.encode(self.stored)

    def restore(self, state: bytes) -> None:
        """Go on from a snapshot."""
        self.stored = DECODER.decode(state)
