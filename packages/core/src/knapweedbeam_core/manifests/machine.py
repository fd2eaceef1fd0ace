"""The manifest as the replicated log builds it: the highest version wins."""

from __future__ import annotations

import msgspec


class Stored(msgspec.Struct, frozen=True, array_like=True, tag="manifest"):
    """One manifest in the log: its version and the operator's own bytes."""

    version: int
    body: bytes


NOTHING = Stored(0, b"")


class ManifestMachine:
    """The newest committed manifest; version 0 stands for none yet."""

    def __init__(self) -> None:
        self.stored = NOTHING

    def take(self, offered: Stored) -> None:
        """Take a committed manifest unless a higher version is there."""
        if offered.version > self.stored.version:
            self.stored = offered
