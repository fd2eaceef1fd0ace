"""The manifest in force at one process, and the changes that operators propose."""

from __future__ import annotations

import dataclasses
import typing
import zlib

from knapweedbeam_core import effects
from knapweedbeam_core.fleet import messages as fleet_messages
from knapweedbeam_core.manifests import manifest
from knapweedbeam_server.fleet import replicated_log
from knapweedbeam_server.logs import catalogue, emit

# Larger than any manifest that operators may send.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Routes resemble each other, so that a fast level makes a tenth of a large manifest.
COMPRESSION_LEVEL = 2


class Decoder(typing.Protocol):
    """Decodes an operator's manifest."""

    def __call__(self, body: bytes) -> manifest.Manifest | manifest.InvalidManifest:
        """Return the manifest, or why it is invalid."""


class Host(typing.Protocol):
    """The parts and methods of the process that are used here."""

    log: replicated_log.ReplicatedLog | None

    def send(self, effect: effects.Send) -> None:
        """Send a message."""

    def get_control_address(self, name: str) -> str:
        """Return the address of a member's control API, empty if unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class AtControl:
    """A redirect to the control API at `address`, which is empty if unknown."""

    address: str


class ManifestManager:
    """Applies manifests from the log, other processes and operators."""

    def __init__(self, host: Host, decode: Decoder) -> None:
        self.host = host
        self.decode = decode
        self.queue_router: manifest.QueueRouter | None = None
        self.news = fleet_messages.ManifestNews(0, b"")

    def get_version(self) -> int:
        """Return the version in force here, 0 before the first."""
        return (
            self.queue_router.manifest.version if self.queue_router is not None else 0
        )

    def apply_committed(self) -> None:
        """Apply the newest manifest that the log has committed."""
        if self.host.log is not None:
            stored = self.host.log.machine.manifests.stored
            self.apply_manifest(stored.version, stored.body)

    def apply_manifest(self, version: int, body: bytes) -> None:
        """Put a manifest in force if it is newer than the present one."""
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

    def send_newer(self, to: str, held_version: int) -> None:
        """Send the manifest in force to a process whose version is older.

        Compressed, as callers' jobs share the link: 1,300 queues take 0.2 s otherwise.
        """
        if self.queue_router is None or self.get_version() <= held_version:
            return
        current = self.queue_router.manifest
        if self.news.version != current.version:
            packed = zlib.compress(current.body, COMPRESSION_LEVEL)
            self.news = fleet_messages.ManifestNews(current.version, packed)
        self.host.send(effects.Send(to, self.news))

    def on_news(self, news: fleet_messages.ManifestNews) -> None:
        """Put a manifest in force that another process sent."""
        if news.version <= self.get_version():
            return
        body = unpack(news.packed)
        if body is None:
            emit.emit(catalogue.MANIFEST_REFUSED, detail="it cannot be unpacked")
            return
        self.apply_manifest(news.version, body)

    def propose(
        self, decoded: manifest.Manifest
    ) -> replicated_log.Taken | AtControl | replicated_log.Unclear:
        """Commit an operator's manifest, or return the control API that can."""
        if self.host.log is None:
            return AtControl("")
        answer = self.host.log.propose(decoded.version, decoded.body)
        if isinstance(answer, replicated_log.Taken):
            self.apply_committed()
        if isinstance(answer, replicated_log.NotLeader):
            return AtControl(self.host.get_control_address(answer.name))
        return answer

    def read(self) -> replicated_log.NewestManifest | AtControl:
        """Return the newest manifest, or the control API that surely has it."""
        if self.host.log is None:
            return AtControl("")
        answer = self.host.log.read()
        if isinstance(answer, replicated_log.NotLeader):
            return AtControl(self.host.get_control_address(answer.name))
        return answer


def unpack(packed: bytes) -> bytes | None:
    """Return what was compressed, None if it is incomplete, malformed or too long."""
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(packed, MAX_BODY_BYTES)
    except zlib.error:
        return None
    return body if unpacker.eof else None
