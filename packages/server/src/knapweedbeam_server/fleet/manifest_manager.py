"""The manifest in force at one process, and operators' changes on their way."""

from __future__ import annotations

import dataclasses
import typing

from knapweedbeam_core import effects
from knapweedbeam_core.fleet import messages as fleet_messages
from knapweedbeam_core.manifests import manifest
from knapweedbeam_server.fleet import replicated_log
from knapweedbeam_server.logs import catalogue, emit


class Decoder(typing.Protocol):
    """Turns an operator's bytes into a manifest."""

    def __call__(self, body: bytes) -> manifest.Manifest | manifest.InvalidManifest:
        """Return the manifest, or why it is none."""


class Host(typing.Protocol):
    """What the process around it offers."""

    log: replicated_log.ReplicatedLog | None

    def send(self, sent: effects.Send) -> None:
        """Send a message."""

    def announce(self) -> None:
        """Tell the others at once what changed here."""

    def get_control_address(self, name: str) -> str:
        """Return the address of a member's control interface, empty if unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class AtControl:
    """The call belongs to the control interface at `address`, empty if unknown."""

    address: str


class ManifestManager:
    """Takes manifests from the log, from other processes and from operators."""

    def __init__(self, host: Host, decode: Decoder) -> None:
        self.host = host
        self.decode = decode
        self.queue_router: manifest.QueueRouter | None = None

    def get_version(self) -> int:
        """Return the version in force here, 0 before the first."""
        return (
            self.queue_router.manifest.version if self.queue_router is not None else 0
        )

    def take_committed(self) -> None:
        """Put in force what the log has committed."""
        if self.host.log is not None:
            stored = self.host.log.machine.manifests.stored
            self.put_in_force(stored.version, stored.body)

    def put_in_force(self, version: int, body: bytes) -> None:
        """Handle requests by a newer manifest from now on."""
        if version <= self.get_version():
            return
        decoded = self.decode(body)
        if isinstance(decoded, manifest.InvalidManifest):
            emit.emit(catalogue.MANIFEST_REFUSED, detail=decoded.detail)
            return
        self.queue_router = manifest.QueueRouter(decoded)
        emit.emit(
            catalogue.MANIFEST_IN_FORCE,
            version=version,
            queues=len(decoded.queues),
            services=len(decoded.services),
        )
        self.host.announce()

    def pass_on(self, to: str, held_version: int) -> None:
        """Send the manifest in force to a process that lacks it."""
        if self.queue_router is None or self.get_version() <= held_version:
            return
        known = self.queue_router.manifest
        news = fleet_messages.ManifestNews(known.version, known.body)
        self.host.send(effects.Send(to, news))

    def propose(
        self, decoded: manifest.Manifest
    ) -> replicated_log.Taken | AtControl | replicated_log.Unclear:
        """Commit an operator's manifest, or say who can."""
        if self.host.log is None:
            return AtControl("")
        answer = self.host.log.propose(decoded.version, decoded.body)
        if isinstance(answer, replicated_log.Taken):
            self.take_committed()
        if isinstance(answer, replicated_log.NotLeader):
            return AtControl(self.host.get_control_address(answer.name))
        return answer

    def read(self) -> replicated_log.NewestManifest | AtControl:
        """Return the newest manifest, or who surely has it."""
        if self.host.log is None:
            return AtControl("")
        answer = self.host.log.read()
        if isinstance(answer, replicated_log.NotLeader):
            return AtControl(self.host.get_control_address(answer.name))
        return answer
