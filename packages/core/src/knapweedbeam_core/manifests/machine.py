"""The manifest as the replicated log builds it: the highest version wins."""

from __future__ import annotations

import msgspec


class StoredManifest(msgspec.Struct, frozen=True, array_like=True, tag="manifest"):
    """One manifest in the log: its version and the operator's own bytes."""

    version: int
    body: bytes


NO_MANIFEST = StoredManifest(0, b"")


class ManifestStateMachine:
    """The newest committed manifest; version 0 stands for none yet."""

    def __init__(self) -> None:
        self.stored = NO_MANIFEST

    def take(self, offered: StoredManifest) -> None:
        """Take a committed manifest unless a higher version is there."""
        if offered.version > self.stored.version:
            self.stored = offered
