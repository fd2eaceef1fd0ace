"""What the replicated log of a deployment builds: the manifest and the stored jobs."""

from __future__ import annotations

import msgspec

from knapweedbeam_core.manifests import machine as manifest_machine
from knapweedbeam_core.stored import commands, ledger


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole state."""

    manifest: manifest_machine.StoredManifest
    jobs: ledger.State


DECODER = msgspec.msgpack.Decoder(Snapshot)


class DeploymentStateMachine:
    """The state machine of the log.

    `changes` collects what the applied commands changed; the shell takes it from
    there. `batches` counts what was applied, `restores` the snapshots that came in
    place of commands.
    """

    def __init__(self) -> None:
        self.manifests = manifest_machine.ManifestStateMachine()
        self.ledger = ledger.Ledger()
        self.changes: list[ledger.Change] = []
        self.batches = 0
        self.restores = 0

    def apply(self, index: int, data: bytes) -> None:
        """Take one batch of committed commands."""
        batch = commands.DECODER.decode(data)
        self.batches += 1
        for command in batch.commands:
            if isinstance(command, manifest_machine.StoredManifest):
                self.manifests.take(command)
                continue
            change = self.ledger.apply(command, batch.wall_ms)
            if change is not None:
                self.changes.append(change)

    def take_changes(self) -> list[ledger.Change]:
        """Return what changed since the last call."""
        taken, self.changes = self.changes, []
        return taken

    def take_snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        return commands.ENCODER.encode(
            Snapshot(self.manifests.stored, self.ledger.state)
        )

    def restore(self, state: bytes) -> None:
        """Go on from a snapshot."""
        read = DECODER.decode(state)
        self.manifests.stored = read.manifest
        self.ledger.restore(read.jobs)
        self.changes.clear()
        self.restores += 1
