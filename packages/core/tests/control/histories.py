"""Random histories of a cluster, and the checks that each must pass."""

from __future__ import annotations

import dataclasses
import random

from control import cluster
from knapweedbeam_core import outcomes, reasons
from knapweedbeam_core.entry import parts

DOMAINS = {"a0": "d0", "a1": "d0", "b0": "d1", "b1": "d1", "c0": "d2", "c1": "d2"}
REPLICAS = ("a0", "b0", "c0")
UNCHANGED = (reasons.Reason.NO_QUORUM, reasons.Reason.SIGNATURES)


@dataclasses.dataclass
class Proposal:
    """What one call brought."""

    version: int
    text: str


def lose_power_after_an_answer(kind: type[cluster.Cluster]) -> None:
    """Crash every process between an answer and slow syncs."""
    group = kind(DOMAINS, REPLICAS)
    group.run(3_000)
    group.sync_ms = (1_500, 1_500)
    call = group.propose("a1", cluster.build_bundle(1))
    while call not in group.answers and group.now_ms < 12_000:
        group.step()
    for name in DOMAINS:
        group.nodes[name].disk.unsynced.clear()
        group.crash(name)
        group.start(name)
    group.run(10_000)
    if isinstance(group.answers[call].answer, parts.Accepted):
        versions = set(group.get_versions().values())
        assert versions == {1}, f"an accepted bundle was lost: {versions}"


def wipe_a_voter_while_another_lags(kind: type[cluster.Cluster]) -> None:
    """Lose a data folder that a quorum counted on, then cut the leader off."""
    group = kind(DOMAINS, REPLICAS)
    group.run(3_000)
    group.propose("a1", cluster.build_bundle(1))
    group.run(3_000)
    leader = next(n for n in REPLICAS if group.nodes[n].control.replica.is_leader)
    lagging, other = (name for name in REPLICAS if name != leader)
    group.part({f"{lagging[0]}0", f"{lagging[0]}1"})
    group.propose(leader, cluster.build_bundle(2, "kept"))
    group.run(3_000)
    group.crash(other, wipe=True)
    group.cut.clear()
    group.part({f"{leader[0]}0", f"{leader[0]}1"})
    group.start(other)
    group.run(6_000)
    group.propose(lagging, cluster.build_bundle(2, "lost"))
    group.run(6_000)
    group.cut.clear()
    group.run(10_000)
    assert group.digests[2] == group.nodes[leader].control.get_status().digest
    versions = group.get_versions()
    assert set(versions.values()) == {2}, f"versions differ: {versions}"


class History:
    """Faults from a seed, then a time without faults, then the checks."""

    def __init__(
        self, seed: int, kind: type[cluster.Cluster] = cluster.Cluster
    ) -> None:
        self.rng = random.Random(seed)
        self.group = kind(DOMAINS, REPLICAS, seed)
        self.proposals: dict[int, Proposal] = {}
        self.group.loss = self.rng.choice([0.0, 0.05, 0.2])
        self.group.repeat = self.rng.choice([0.0, 0.1])
        self.group.delay_ms = self.rng.choice([(0, 10), (0, 400)])
        self.group.sync_ms = self.rng.choice([(5, 15), (5, 300)])
        for node in self.group.nodes.values():
            node.drift = self.rng.choice([0.98, 1.0, 1.02])

    def run(self, steps: int) -> None:
        self.group.run(3_000)
        for _ in range(steps):
            self.act()
            self.group.run(self.rng.choice([20, 100, 400, 1_500]))
        self.heal()
        self.check()

    def act(self) -> None:
        choice = self.rng.random()
        if choice < 0.5:
            self.propose()
        elif choice < 0.6:
            self.crash(self.rng.choice(list(DOMAINS)))
        elif choice < 0.65:
            for name in DOMAINS:
                if self.group.nodes[name].control is not None:
                    self.group.crash(name)
        elif choice < 0.75:
            self.restart_all()
        elif choice < 0.9:
            self.cut()
        else:
            self.group.cut.clear()

    def propose(self) -> None:
        alive = [n.name for n in self.group.nodes.values() if n.control is not None]
        if not alive:
            return
        newest = max(self.group.digests, default=0)
        version = max(1, newest + self.rng.choice([0, 1, 1, 1]))
        note = str(self.rng.randint(0, 2)) + "x" * self.rng.choice([0, 40_000])
        text = cluster.build_bundle(version, note)
        call = self.group.propose(self.rng.choice(alive), text)
        self.proposals[call] = Proposal(version, text)

    def crash(self, name: str) -> None:
        if self.group.nodes[name].control is None:
            return
        may_wipe = name in REPLICAS and self.is_whole()
        wipe = may_wipe and self.rng.random() < 0.3
        self.group.crash(name, wipe)

    def is_whole(self) -> bool:
        """Say whether one more data folder may be lost without losing a quorum."""
        voters = self.get_voters()
        identities = {self.group.nodes[n].disk.identity for n in REPLICAS}
        return len(voters) == 3 and set(voters.values()) == identities

    def get_voters(self) -> dict[str, str]:
        for node in self.group.nodes.values():
            own = node.control.replica if node.control is not None else None
            if own is not None and own.is_leader and own.is_caught_up:
                if own.wal.latest_members_index > own.applied:
                    return {}
                return {v.name: v.identity for v in own.wal.latest_members.voters}
        return {}

    def restart_all(self) -> None:
        for node in self.group.nodes.values():
            if node.control is None:
                self.group.start(node.name)

    def cut(self) -> None:
        names = set(self.rng.sample(list(DOMAINS), self.rng.randint(1, 3)))
        if self.rng.random() < 0.5:
            self.group.part(names)
            return
        for name in names:
            for other in set(DOMAINS) - names:
                self.group.cut.add((name, other))

    def heal(self) -> None:
        self.group.cut.clear()
        self.group.loss = 0.0
        self.restart_all()
        self.group.run(15_000)

    def check(self) -> None:
        versions = set(self.group.get_versions().values())
        assert len(versions) == 1, f"versions differ: {versions}"
        newest = versions.pop()
        assert newest >= max(self.group.digests, default=0), "a bundle was lost"
        refused: set[str] = set()
        for call, answered in self.group.answers.items():
            proposal = self.proposals[call]
            if isinstance(answered.answer, parts.Accepted):
                assert proposal.version <= newest, "an accepted bundle was lost"
            elif self.is_unchanged(answered.answer):
                refused.add(proposal.text)
        sure = refused - {
            self.proposals[call].text
            for call in self.proposals
            if not self.is_unchanged(self.get_answer(call))
        }
        for node in self.group.nodes.values():
            assert node.control is not None
            assert node.control.is_ready() or not newest, f"{node.name} is not ready"
            texts = {node.control.get_bundle(v) for v in range(1, newest + 1)}
            assert not texts & sure, "a refused bundle is accepted"

    def get_answer(self, call: int) -> parts.Accepted | outcomes.Refusal | None:
        answered = self.group.answers.get(call)
        return answered.answer if answered else None

    def is_unchanged(self, answer: parts.Accepted | outcomes.Refusal | None) -> bool:
        return isinstance(answer, outcomes.Refusal) and answer.reason in UNCHANGED
