"""Simulated entry VMs of the control part, with messages, disks and clocks."""

from __future__ import annotations

import dataclasses
import random

from cryptography.hazmat.primitives.asymmetric import ed25519

from knapweedbeam_core import clock, effects, ids
from knapweedbeam_core.bundles import signing, template
from knapweedbeam_core.control import control
from knapweedbeam_core.entry import parts
from knapweedbeam_core.log import records

STEP_MS = 20
FULL_RETRY_MS = 500
MAX_START_LOSS = 0.1
ENTRY_VMS = {"d0": ["a0", "a1"], "d1": ["b0", "b1"], "d2": ["c0", "c1"]}
PRIVATE_KEY_BYTES = bytes(range(32))
PRIVATE_KEY = ed25519.Ed25519PrivateKey.from_private_bytes(PRIVATE_KEY_BYTES)
PUBLIC_KEY = PRIVATE_KEY.public_key().public_bytes_raw()


def build_bundle(
    version: int, comment: str = "", control_vms: tuple[str, ...] = (), body: str = ""
) -> str:
    text = template.build_bundle_text({"op": PUBLIC_KEY}, ENTRY_VMS, control_vms)
    text = text.replace("version = 1", f"version = {version}") + f"# {comment}\n{body}"
    signed = signing.sign_bundle(text, PRIVATE_KEY_BYTES)
    assert isinstance(signed, str)
    return signed


class Disk:
    """A data folder: only synced records are sure to survive a crash."""

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.snapshot = b""
        self.snapshot_index = 0
        self.records: list[bytes] = []
        self.unsynced: list[tuple[int, parts.Persist]] = []
        self.is_full = False
        self.retry_ms = 0

    def sync(self, persist: parts.Persist) -> None:
        if persist.snapshot:
            self.snapshot = persist.snapshot
            self.snapshot_index = persist.snapshot_index
            self.records = []
        self.records += persist.records

    def crash(self, rng: random.Random) -> None:
        if self.unsynced and not self.unsynced[0][1].snapshot:
            written = self.unsynced[0][1].records
            self.records += written[: rng.randint(0, len(written))]
        self.unsynced.clear()

    def load(self) -> records.RestoredState:
        return records.RestoredState(
            self.identity, self.snapshot, self.snapshot_index, tuple(self.records)
        )


@dataclasses.dataclass
class Node:
    name: str
    domain: str
    is_replica: bool
    clock: clock.ManualClock
    disk: Disk
    drift: float = 1.0
    incarnation: int = 0
    control: control.Control | None = None
    versions: list[int] = dataclasses.field(default_factory=list)
    highest: int = 0
    was_partitioned: bool = False


@dataclasses.dataclass(frozen=True)
class Envelope:
    due_ms: int
    sender: ids.ProcessId
    to: str
    message: effects.Message


class Cluster:
    """Runs nodes in virtual time; `replicas` are names among the keys of `domains`."""

    build = control.Control

    def __init__(
        self, domains: dict[str, str], replicas: tuple[str, ...], seed: int = 1
    ) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.replicas = replicas
        self.envelopes: list[Envelope] = []
        self.cut_links: set[tuple[str, str]] = set()
        self.loss_rate = 0.0
        self.repeat_rate = 0.0
        self.delay_ms = (0, 10)
        self.sync_ms = (5, 15)
        self.answers: dict[int, parts.ProposalAnswered] = {}
        self.digests: dict[int, str] = {}
        self.call_count = 0
        self.sent_count = 0
        self.folder_count = 0
        self.nodes = {
            name: Node(
                name, domain, name in replicas, clock.ManualClock(), self.make_disk()
            )
            for name, domain in domains.items()
        }
        for name in domains:
            self.start(name)

    def make_disk(self) -> Disk:
        self.folder_count += 1
        return Disk(f"folder{self.folder_count}")

    def start(self, name: str, is_replica: bool | None = None) -> None:
        node = self.nodes[name]
        node.incarnation += 1
        node.versions = []
        node.was_partitioned = False
        if is_replica is not None:
            node.is_replica = is_replica
        peers = tuple(
            parts.Peer(other.name, other.domain, other.is_replica)
            for other in self.nodes.values()
            if other is not node
        )
        node.control = self.build(
            ids.ProcessId(name, node.incarnation),
            node.domain,
            peers,
            node.is_replica,
            node.disk.load() if node.is_replica else records.RestoredState(),
            (PUBLIC_KEY,),
            1,
            node.clock,
            random.Random(self.rng.random()),
        )

    def crash(self, name: str, wipe: bool = False) -> None:
        node = self.nodes[name]
        node.control = None
        node.disk.crash(self.rng)
        if wipe:
            node.disk = self.make_disk()

    def partition(self, names: set[str]) -> None:
        """Cut the links between `names` and all other nodes."""
        for name in self.nodes:
            for other in self.nodes:
                if (name in names) != (other in names):
                    self.cut_links.add((name, other))

    def propose(self, name: str, text: str) -> int:
        self.call_count += 1
        node = self.nodes[name]
        assert node.control is not None
        self.apply_effects(node, node.control.propose(self.call_count, text))
        return self.call_count

    def run(self, for_ms: int) -> None:
        for _ in range(for_ms // STEP_MS):
            self.step()

    def step(self) -> None:
        self.now_ms += STEP_MS
        for node in self.nodes.values():
            node.clock.monotonic_ms = int(self.now_ms * node.drift)
            node.clock.epoch_ms = self.now_ms
        due = [
            envelope for envelope in self.envelopes if envelope.due_ms <= self.now_ms
        ]
        self.envelopes = [item for item in self.envelopes if item.due_ms > self.now_ms]
        self.rng.shuffle(due)
        for envelope in due:
            self.deliver(envelope)
        for node in self.nodes.values():
            self.finish_syncs(node)
            if node.control is not None:
                self.apply_effects(node, node.control.tick())
                self.check_ready(node)

    def check_ready(self, node: Node) -> None:
        """Check that a ready node never returns to a lower version, even by a restart.

        A node that restarted in a partition is exempt: it may have reached no node
        that has the newest version.
        """
        assert node.control is not None
        if (
            any(node.name in pair for pair in self.cut_links)
            or self.loss_rate > MAX_START_LOSS
        ):
            node.was_partitioned = True
        if not node.control.is_ready():
            return
        version = node.control.get_status().version
        assert version >= node.highest or node.was_partitioned, (
            f"{version} after {node.highest}"
        )
        node.highest = max(version, node.highest)

    def deliver(self, envelope: Envelope) -> None:
        node = self.nodes[envelope.to]
        if (
            node.control is not None
            and (envelope.sender.name, envelope.to) not in self.cut_links
        ):
            self.apply_effects(
                node, node.control.on_message(envelope.sender, envelope.message)
            )

    def finish_syncs(self, node: Node) -> None:
        while node.disk.unsynced and node.disk.unsynced[0][0] <= self.now_ms:
            if self.is_write_refused(node):
                return
            _, persist = node.disk.unsynced.pop(0)
            node.disk.sync(persist)
            assert node.control is not None
            self.apply_effects(node, node.control.persisted(persist.batch))

    def is_write_refused(self, node: Node) -> bool:
        """Let a write to a full disk fail; it is tried again after `FULL_RETRY_MS`."""
        disk = node.disk
        if disk.is_full and self.now_ms >= disk.retry_ms:
            is_first = not disk.retry_ms
            disk.retry_ms = self.now_ms + FULL_RETRY_MS
            if is_first:
                assert node.control is not None
                self.apply_effects(node, node.control.hand_over())
        if self.now_ms < disk.retry_ms:
            return True
        disk.retry_ms = 0
        return False

    def apply_effects(self, node: Node, produced: parts.Effects) -> None:
        for effect in produced:
            match effect:
                case effects.Send():
                    self.send(node, effect)
                case parts.Persist():
                    due_ms = self.now_ms + self.rng.randint(*self.sync_ms)
                    node.disk.unsynced.append((due_ms, effect))
                case parts.RulesInForce():
                    self.check_in_force(node, effect)
                case parts.ProposalAnswered():
                    self.answers[effect.call] = effect
                    if isinstance(effect.answer, parts.Accepted):
                        self.check_digest(effect.answer.version, effect.answer.digest)

    def send(self, node: Node, effect: effects.Send) -> None:
        assert effect.to != node.name, effect
        self.sent_count += 1
        sender = ids.ProcessId(node.name, node.incarnation)
        copies = 2 if self.rng.random() < self.repeat_rate else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss_rate:
                due_ms = self.now_ms + self.rng.randint(*self.delay_ms)
                self.envelopes.append(
                    Envelope(due_ms, sender, effect.to, effect.message)
                )

    def check_in_force(self, node: Node, effect: parts.RulesInForce) -> None:
        version, digest = effect.rules.version, effect.rules.digest
        self.check_digest(version, digest)
        newest = node.versions[-1] if node.versions else 0
        assert version > newest, f"{node.name}: {version} after {newest}"
        node.versions.append(version)

    def check_digest(self, version: int, digest: str) -> None:
        expected = self.digests.setdefault(version, digest)
        assert expected == digest, f"two digests of version {version}"

    def get_versions(self) -> dict[str, int]:
        return {
            node.name: node.control.get_status().version
            for node in self.nodes.values()
            if node.control is not None
        }
