"""State machine of a deployment's log: manifest, evacuations and stored jobs."""

from __future__ import annotations

import msgspec

from knapweedbeam_core.evacuations import machine as evacuation_machine
from knapweedbeam_core.manifests import machine as manifest_machine
from knapweedbeam_core.stored import commands, ledger


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The complete state of the state machine.

    Snapshots of earlier versions hold no evacuations.
    """

    manifest: manifest_machine.StoredManifest
    jobs: ledger.State
    evacuations: evacuation_machine.EvacuatedDomains = evacuation_machine.NO_EVACUATIONS


DECODER = msgspec.msgpack.Decoder(Snapshot)


class DeploymentStateMachine:
    """Applies committed batches of commands.

    `changes` collects the changes made by applied commands until the shell calls
    `take_changes`. `batches` counts the applied batches, `restores` the snapshots that
    replaced the state.
    """

    def __init__(self) -> None:
        self.manifests = manifest_machine.ManifestStateMachine()
        self.evacuations = evacuation_machine.EvacuationStateMachine()
        self.ledger = ledger.Ledger()
        self.changes: list[ledger.Change] = []
        self.batches = 0
        self.restores = 0

    def apply(self, index: int, data: bytes) -> None:
        """Apply one batch of committed commands."""
        batch = commands.DECODER.decode(data)
        self.batches += 1
        for command in batch.commands:
            if isinstance(command, manifest_machine.StoredManifest):
                self.manifests.apply(command)
                continue
            if isinstance(command, evacuation_machine.EvacuationOrder):
                self.evacuations.apply(command)
                continue
            change = self.ledger.apply(command, batch.wall_ms)
            if change is not None:
                self.changes.append(change)

    def take_changes(self) -> list[ledger.Change]:
        """Return and clear the changes since the last call."""
        changed, self.changes = self.changes, []
        return changed

    def take_snapshot(self) -> bytes:
        """Return the complete state as bytes."""
        return commands.ENCODER.encode(
            Snapshot(self.manifests.stored, self.ledger.state, self.evacuations.stored)
        )

    def restore(self, state: bytes) -> None:
        """Replace the state by that of a snapshot."""
        snapshot = DECODER.decode(state)
        self.manifests.stored = snapshot.manifest
        self.ledger.restore(snapshot.jobs)
        self.evacuations.restore(snapshot.evacuations)
        self.changes.clear()
        self.restores += 1
