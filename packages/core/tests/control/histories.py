"""Random histories of a cluster, and the checks that each must pass."""

from __future__ import annotations

import dataclasses
import random

from control import cluster
from knapweedbeam_core import outcomes, reasons
from knapweedbeam_core.entry import parts

DOMAINS = {"a0": "d0", "a1": "d0", "b0": "d1", "b1": "d1", "c0": "d2", "c1": "d2"}
REPLICAS = ("a0", "b0", "c0")
UNCHANGED_REASONS = (reasons.Reason.NO_QUORUM, reasons.Reason.SIGNATURES)


@dataclasses.dataclass
class Proposal:
    """The bundle proposed by one call."""

    version: int
    text: str


def crash_all_after_answer(cluster_class: type[cluster.Cluster]) -> None:
    """Crash every process right after an answer; with slow syncs, records are lost."""
    simulation = cluster_class(DOMAINS, REPLICAS)
    simulation.run(3_000)
    simulation.sync_ms = (1_500, 1_500)
    call = simulation.propose("a1", cluster.build_bundle(1))
    while call not in simulation.answers and simulation.now_ms < 12_000:
        simulation.step()
    for name in DOMAINS:
        simulation.nodes[name].disk.unsynced.clear()
        simulation.crash(name)
        simulation.start(name)
    simulation.run(10_000)
    if isinstance(simulation.answers[call].answer, parts.Accepted):
        versions = set(simulation.get_versions().values())
        assert versions == {1}, f"an accepted bundle was lost: {versions}"


def wipe_voter_while_another_lags(cluster_class: type[cluster.Cluster]) -> None:
    """Wipe a replica that was part of the last quorum, then isolate the leader."""
    simulation = cluster_class(DOMAINS, REPLICAS)
    simulation.run(3_000)
    simulation.propose("a1", cluster.build_bundle(1))
    simulation.run(3_000)
    leader = next(n for n in REPLICAS if simulation.nodes[n].control.replica.is_leader)
    lagging, other = (name for name in REPLICAS if name != leader)
    simulation.partition({f"{lagging[0]}0", f"{lagging[0]}1"})
    simulation.propose(leader, cluster.build_bundle(2, "kept"))
    simulation.run(3_000)
    simulation.crash(other, wipe=True)
    simulation.cut_links.clear()
    simulation.partition({f"{leader[0]}0", f"{leader[0]}1"})
    simulation.start(other)
    simulation.run(6_000)
    simulation.propose(lagging, cluster.build_bundle(2, "lost"))
    simulation.run(6_000)
    simulation.cut_links.clear()
    simulation.run(10_000)
    assert simulation.digests[2] == simulation.nodes[leader].control.get_status().digest
    versions = simulation.get_versions()
    assert set(versions.values()) == {2}, f"versions differ: {versions}"


class History:
    """Faults drawn from a seed, then a period without faults, then the checks."""

    def __init__(
        self, seed: int, cluster_class: type[cluster.Cluster] = cluster.Cluster
    ) -> None:
        self.rng = random.Random(seed)
        self.simulation = cluster_class(DOMAINS, REPLICAS, seed)
        self.proposals: dict[int, Proposal] = {}
        self.simulation.loss_rate = self.rng.choice([0.0, 0.05, 0.2])
        self.simulation.repeat_rate = self.rng.choice([0.0, 0.1])
        self.simulation.delay_ms = self.rng.choice([(0, 10), (0, 400)])
        self.simulation.sync_ms = self.rng.choice([(5, 15), (5, 300)])
        for node in self.simulation.nodes.values():
            node.drift = self.rng.choice([0.98, 1.0, 1.02])

    def run(self, steps: int) -> None:
        self.simulation.run(3_000)
        for _ in range(steps):
            self.apply_random_action()
            self.simulation.run(self.rng.choice([20, 100, 400, 1_500]))
        self.heal()
        self.check()

    def apply_random_action(self) -> None:
        choice = self.rng.random()
        if choice < 0.5:
            self.propose()
        elif choice < 0.6:
            self.crash(self.rng.choice(list(DOMAINS)))
        elif choice < 0.65:
            for name in DOMAINS:
                if self.simulation.nodes[name].control is not None:
                    self.simulation.crash(name)
        elif choice < 0.75:
            self.restart_all()
        elif choice < 0.9:
            self.cut_some_links()
        else:
            self.simulation.cut_links.clear()

    def propose(self) -> None:
        alive = [
            n.name for n in self.simulation.nodes.values() if n.control is not None
        ]
        if not alive:
            return
        newest = max(self.simulation.digests, default=0)
        version = max(1, newest + self.rng.choice([0, 1, 1, 1]))
        comment = str(self.rng.randint(0, 2)) + "x" * self.rng.choice([0, 40_000])
        text = cluster.build_bundle(version, comment)
        call = self.simulation.propose(self.rng.choice(alive), text)
        self.proposals[call] = Proposal(version, text)

    def crash(self, name: str) -> None:
        if self.simulation.nodes[name].control is None:
            return
        may_wipe = name in REPLICAS and self.can_lose_disk()
        wipe = may_wipe and self.rng.random() < 0.3
        self.simulation.crash(name, wipe)

    def can_lose_disk(self) -> bool:
        """Return whether losing one more data folder leaves a quorum."""
        voters = self.get_voters()
        identities = {self.simulation.nodes[n].disk.identity for n in REPLICAS}
        return len(voters) == 3 and set(voters.values()) == identities

    def get_voters(self) -> dict[str, str]:
        for node in self.simulation.nodes.values():
            own = node.control.replica if node.control is not None else None
            if own is not None and own.is_leader and own.is_caught_up:
                if own.wal.latest_members_index > own.applied:
                    return {}
                return {v.name: v.identity for v in own.wal.latest_members.voters}
        return {}

    def restart_all(self) -> None:
        for node in self.simulation.nodes.values():
            if node.control is None:
                self.simulation.start(node.name)

    def cut_some_links(self) -> None:
        names = set(self.rng.sample(list(DOMAINS), self.rng.randint(1, 3)))
        if self.rng.random() < 0.5:
            self.simulation.partition(names)
            return
        for name in names:
            for other in set(DOMAINS) - names:
                self.simulation.cut_links.add((name, other))

    def heal(self) -> None:
        self.simulation.cut_links.clear()
        self.simulation.loss_rate = 0.0
        self.restart_all()
        self.simulation.run(15_000)

    def check(self) -> None:
        versions = set(self.simulation.get_versions().values())
        assert len(versions) == 1, f"versions differ: {versions}"
        newest = versions.pop()
        assert newest >= max(self.simulation.digests, default=0), "a bundle was lost"
        refused: set[str] = set()
        for call, answered in self.simulation.answers.items():
            proposal = self.proposals[call]
            if isinstance(answered.answer, parts.Accepted):
                assert proposal.version <= newest, "an accepted bundle was lost"
            elif self.is_unchanged(answered.answer):
                refused.add(proposal.text)
        certain = refused - {
            self.proposals[call].text
            for call in self.proposals
            if not self.is_unchanged(self.get_answer(call))
        }
        for node in self.simulation.nodes.values():
            assert node.control is not None
            assert node.control.is_ready() or not newest, f"{node.name} is not ready"
            texts = {node.control.get_bundle(v) for v in range(1, newest + 1)}
            assert not texts & certain, "a refused bundle is accepted"

    def get_answer(self, call: int) -> parts.Accepted | outcomes.Refusal | None:
        answered = self.simulation.answers.get(call)
        return answered.answer if answered else None

    def is_unchanged(self, answer: parts.Accepted | outcomes.Refusal | None) -> bool:
        return (
            isinstance(answer, outcomes.Refusal) and answer.reason in UNCHANGED_REASONS
        )
