"""Entry VMs of the pure control part, with a message pool, disks and clocks."""

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
MAX_START_LOSS = 0.1
ENTRY_VMS = {"d0": ["a0", "a1"], "d1": ["b0", "b1"], "d2": ["c0", "c1"]}
KEY = bytes(range(32))
PRIVATE = ed25519.Ed25519PrivateKey.from_private_bytes(KEY)
PUBLIC = PRIVATE.public_key().public_bytes_raw()


def build_bundle(
    version: int, note: str = "", control_vms: tuple[str, ...] = (), body: str = ""
) -> str:
    text = template.build_bundle_text({"op": PUBLIC}, ENTRY_VMS, control_vms)
    text = text.replace("version = 1", f"version = {version}") + f"# {note}\n{body}"
    signed = signing.sign_bundle(text, KEY)
    assert isinstance(signed, str)
    return signed


class Disk:
    """A data folder: only what is synced survives a crash."""

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.snapshot = b""
        self.snapshot_index = 0
        self.records: list[bytes] = []
        self.unsynced: list[tuple[int, parts.Persist]] = []

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
    was_cut: bool = False


@dataclasses.dataclass(frozen=True)
class Letter:
    due_ms: int
    sender: ids.ProcessId
    to: str
    message: effects.Message


class Cluster:
    """Runs nodes in virtual time; `replicas` are names among `domains`."""

    build = control.Control

    def __init__(
        self, domains: dict[str, str], replicas: tuple[str, ...], seed: int = 1
    ) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.replicas = replicas
        self.letters: list[Letter] = []
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.repeat = 0.0
        self.delay_ms = (0, 10)
        self.sync_ms = (5, 15)
        self.answers: dict[int, parts.ProposalAnswered] = {}
        self.digests: dict[int, str] = {}
        self.calls = 0
        self.sent = 0
        self.folders = 0
        self.nodes = {
            name: Node(
                name, domain, name in replicas, clock.ManualClock(), self.make_disk()
            )
            for name, domain in domains.items()
        }
        for name in domains:
            self.start(name)

    def make_disk(self) -> Disk:
        self.folders += 1
        return Disk(f"folder{self.folders}")

    def start(self, name: str, is_replica: bool | None = None) -> None:
        node = self.nodes[name]
        node.incarnation += 1
        node.versions = []
        node.was_cut = False
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
            (PUBLIC,),
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

    def part(self, names: set[str]) -> None:
        """Cut the links between `names` and all others."""
        for name in self.nodes:
            for other in self.nodes:
                if (name in names) != (other in names):
                    self.cut.add((name, other))

    def propose(self, name: str, text: str) -> int:
        self.calls += 1
        node = self.nodes[name]
        assert node.control is not None
        self.carry(node, node.control.propose(self.calls, text))
        return self.calls

    def run(self, for_ms: int) -> None:
        for _ in range(for_ms // STEP_MS):
            self.step()

    def step(self) -> None:
        self.now_ms += STEP_MS
        for node in self.nodes.values():
            node.clock.monotonic_ms = int(self.now_ms * node.drift)
            node.clock.epoch_ms = self.now_ms
        due = [letter for letter in self.letters if letter.due_ms <= self.now_ms]
        self.letters = [item for item in self.letters if item.due_ms > self.now_ms]
        self.rng.shuffle(due)
        for letter in due:
            self.deliver(letter)
        for node in self.nodes.values():
            self.finish_syncs(node)
            if node.control is not None:
                self.carry(node, node.control.tick())
                self.check_ready(node)

    def check_ready(self, node: Node) -> None:
        """A ready node is at no lower version than ever, restarts included.

        One that restarted behind a cut may have reached nobody who has the newest.
        """
        assert node.control is not None
        if any(node.name in pair for pair in self.cut) or self.loss > MAX_START_LOSS:
            node.was_cut = True
        if not node.control.is_ready():
            return
        version = node.control.get_status().version
        assert version >= node.highest or node.was_cut, (
            f"{version} after {node.highest}"
        )
        node.highest = max(version, node.highest)

    def deliver(self, letter: Letter) -> None:
        node = self.nodes[letter.to]
        if node.control is not None and (letter.sender.name, letter.to) not in self.cut:
            self.carry(node, node.control.on_message(letter.sender, letter.message))

    def finish_syncs(self, node: Node) -> None:
        while node.disk.unsynced and node.disk.unsynced[0][0] <= self.now_ms:
            _, persist = node.disk.unsynced.pop(0)
            node.disk.sync(persist)
            assert node.control is not None
            self.carry(node, node.control.persisted(persist.batch))

    def carry(self, node: Node, produced: parts.Effects) -> None:
        for effect in produced:
            match effect:
                case effects.Send():
                    self.post(node, effect)
                case parts.Persist():
                    due_ms = self.now_ms + self.rng.randint(*self.sync_ms)
                    node.disk.unsynced.append((due_ms, effect))
                case parts.RulesInForce():
                    self.check_in_force(node, effect)
                case parts.ProposalAnswered():
                    self.answers[effect.call] = effect
                    if isinstance(effect.answer, parts.Accepted):
                        self.check_digest(effect.answer.version, effect.answer.digest)

    def post(self, node: Node, effect: effects.Send) -> None:
        assert effect.to != node.name, effect
        self.sent += 1
        sender = ids.ProcessId(node.name, node.incarnation)
        copies = 2 if self.rng.random() < self.repeat else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                due_ms = self.now_ms + self.rng.randint(*self.delay_ms)
                self.letters.append(Letter(due_ms, sender, effect.to, effect.message))

    def check_in_force(self, node: Node, effect: parts.RulesInForce) -> None:
        version, digest = effect.rules.version, effect.rules.digest
        self.check_digest(version, digest)
        newest = node.versions[-1] if node.versions else 0
        assert version > newest, f"{node.name}: {version} after {newest}"
        node.versions.append(version)

    def check_digest(self, version: int, digest: str) -> None:
        known = self.digests.setdefault(version, digest)
        assert known == digest, f"two digests of version {version}"

    def get_versions(self) -> dict[str, int]:
        return {
            node.name: node.control.get_status().version
            for node in self.nodes.values()
            if node.control is not None
        }
