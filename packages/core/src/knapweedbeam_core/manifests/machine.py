"""State machine of the manifest in the replicated log: the highest version wins."""

from __future__ import annotations

import msgspec


class StoredManifest(msgspec.Struct, frozen=True, array_like=True, tag="manifest"):
    """A manifest in the log: its version and the bytes that the operator submitted."""

    version: int
    body: bytes


NO_MANIFEST = StoredManifest(0, b"")


class ManifestStateMachine:
    """Holds the newest committed manifest; version 0 means that there is none yet."""

    def __init__(self) -> None:
        self.stored = NO_MANIFEST

    def apply(self, manifest: StoredManifest) -> None:
        """Apply a committed manifest unless its version is not higher."""
        if manifest.version > self.stored.version:
            self.stored = manifest
