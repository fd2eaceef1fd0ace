from __future__ import annotations

import random
import unittest

from control import cluster
from knapweedbeam_core import outcomes, reasons
from knapweedbeam_core.entry import parts
from knapweedbeam_core.log import leader_state

DOMAINS = {"a0": "d0", "a1": "d0", "b0": "d1", "b1": "d1", "c0": "d2", "c1": "d2"}
REPLICAS = ("a0", "b0", "c0")


class ControlTestCase(unittest.TestCase):
    def accept(self, group: cluster.Cluster, name: str, text: str) -> parts.Accepted:
        call = group.propose(name, text)
        for _ in range(400):
            if call in group.answers:
                break
            group.step()
        answer = group.answers[call].answer
        assert isinstance(answer, parts.Accepted), answer
        return answer

    def refuse(self, group: cluster.Cluster, name: str, text: str) -> outcomes.Refusal:
        call = group.propose(name, text)
        for _ in range(400):
            if call in group.answers:
                break
            group.step()
        answer = group.answers[call].answer
        assert isinstance(answer, outcomes.Refusal), answer
        return answer


class SmallSystemsTest(ControlTestCase):
    def test_a_lone_process_needs_no_data_folder(self) -> None:
        group = cluster.Cluster({"a0": "d0"}, ())
        answer = self.accept(group, "a0", cluster.build_bundle(1))
        self.assertEqual((answer.version, answer.again), (1, False))
        self.assertTrue(group.nodes["a0"].control.is_ready())

    def test_one_replica_keeps_its_bundles_over_a_crash(self) -> None:
        group = cluster.Cluster({"a0": "d0", "a1": "d0", "b0": "d1"}, ("a0",))
        for version in (1, 2):
            self.accept(group, "b0", cluster.build_bundle(version))
        self.assertEqual(set(group.get_versions().values()), {2})
        for name in group.nodes:
            group.crash(name)
            group.start(name)
        group.run(3_000)
        self.assertEqual(set(group.get_versions().values()), {2})
        self.assertTrue(all(n.control.is_ready() for n in group.nodes.values()))
        again = self.accept(group, "a1", cluster.build_bundle(1))
        self.assertEqual((again.version, again.again), (1, True))


class QuorumTest(ControlTestCase):
    def setUp(self) -> None:
        self.group = cluster.Cluster(DOMAINS, REPLICAS)
        self.group.run(3_000)

    def get_leader(self) -> str:
        leaders = [
            node.name
            for node in self.group.nodes.values()
            if node.control is not None and node.control.is_leader()
        ]
        self.assertEqual(len(leaders), 1)
        return leaders[0]

    def test_a_bundle_is_in_force_everywhere_when_it_is_answered(self) -> None:
        answer = self.accept(self.group, "c1", cluster.build_bundle(1))
        self.assertEqual(dict(answer.status.in_force), dict.fromkeys(DOMAINS, 1))
        self.assertEqual(answer.status.unreachable_domains, ())
        self.assertTrue(all(n.control.is_ready() for n in self.group.nodes.values()))

    def test_equal_versions_race_and_one_wins(self) -> None:
        texts = {name: cluster.build_bundle(1, name) for name in DOMAINS}
        calls = {self.group.propose(name, text): name for name, text in texts.items()}
        self.group.run(6_000)
        answers = {
            name: self.group.answers[call].answer for call, name in calls.items()
        }
        won = [n for n, answer in answers.items() if isinstance(answer, parts.Accepted)]
        self.assertEqual(len(won), 1)
        digest = answers[won[0]].digest
        for name in set(DOMAINS) - set(won):
            self.assertEqual(answers[name].reason, reasons.Reason.CONFLICT)
            self.assertIn(digest, answers[name].detail)
        again = self.accept(self.group, "b1", texts[won[0]])
        self.assertEqual((again.digest, again.again), (digest, True))

    def test_refusals_are_typed(self) -> None:
        self.accept(self.group, "a1", cluster.build_bundle(1))
        gap = self.refuse(self.group, "a1", cluster.build_bundle(3))
        unsigned = cluster.build_bundle(2).rsplit("#signature", 1)[0]
        self.assertEqual(gap.reason, reasons.Reason.CONFLICT)
        refusal = self.refuse(self.group, "c1", unsigned)
        self.assertEqual(refusal.reason, reasons.Reason.SIGNATURES)
        refusal = self.refuse(self.group, "c1", "version = 0")
        self.assertEqual(refusal.reason, reasons.Reason.INVALID)

    def test_an_isolated_leader_refuses_and_the_others_go_on(self) -> None:
        self.accept(self.group, "a1", cluster.build_bundle(1))
        leader = self.get_leader()
        self.group.part({leader})
        self.group.run(1_500)
        refusal = self.refuse(self.group, leader, cluster.build_bundle(2, "lost"))
        self.assertEqual(refusal.reason, reasons.Reason.NO_QUORUM)
        name = next(n for n in ("a1", "b1") if n[0] != leader[0])
        answer = self.accept(self.group, name, cluster.build_bundle(2))
        self.assertIn(dict(answer.status.in_force)[leader], (0, 1))
        self.group.cut.clear()
        self.group.run(6_000)
        self.assertEqual(set(self.group.get_versions().values()), {2})

    def test_a_cut_off_domain_is_named_and_catches_up(self) -> None:
        self.accept(self.group, "a1", cluster.build_bundle(1))
        leader = self.get_leader()
        away = next(name[0] for name in REPLICAS if name != leader)
        self.group.part({f"{away}0", f"{away}1"})
        self.group.run(13_000)
        answer = self.accept(self.group, leader, cluster.build_bundle(2))
        self.assertEqual(answer.status.unreachable_domains, (DOMAINS[f"{away}0"],))
        self.group.cut.clear()
        self.group.run(6_000)
        self.assertEqual(set(self.group.get_versions().values()), {2})

    def test_a_wiped_replica_comes_back_as_another_and_a_second_loss_is_borne(
        self,
    ) -> None:
        for version in range(1, 4):
            self.accept(self.group, "a1", cluster.build_bundle(version))
        self.group.crash("b0", wipe=True)
        self.group.start("b0")
        self.group.run(10_000)
        leader = self.group.nodes[self.get_leader()].control.replica
        voters = {
            voter.name: voter.identity for voter in leader.wal.latest_members.voters
        }
        self.assertEqual(voters["b0"], self.group.nodes["b0"].disk.identity)
        self.assertEqual(len(voters), 3)
        for name in ("a0", "c0"):
            self.group.crash(name, wipe=True)
            self.accept(self.group, "b1", cluster.build_bundle(4 + (name == "c0")))
            self.group.start(name)
            self.group.run(10_000)
        self.assertEqual(set(self.group.get_versions().values()), {5})

    def test_control_vms_change_with_the_bundle(self) -> None:
        self.accept(self.group, "a1", cluster.build_bundle(1))
        self.group.crash("c0")
        self.group.crash("c1")
        self.group.start("c1", is_replica=True)
        self.accept(self.group, "a1", cluster.build_bundle(2, "", ("a0", "b0", "c1")))
        self.group.run(10_000)
        leader = self.group.nodes[self.get_leader()].control.replica
        self.assertEqual(
            sorted(voter.name for voter in leader.wal.latest_members.voters),
            ["a0", "b0", "c1"],
        )

    def test_hundreds_of_bundles_survive_a_restart_of_everything(self) -> None:
        for version in range(1, 301):
            self.accept(self.group, "a1", cluster.build_bundle(version, "x" * 500))
        for name in DOMAINS:
            self.group.crash(name)
        for name in REPLICAS:
            disk = self.group.nodes[name].disk
            written = len(disk.snapshot) + sum(map(len, disk.records))
            self.assertLess(written, 2 * len(disk.snapshot) + 64 * 1024)
        for name in DOMAINS:
            self.group.start(name)
        self.group.run(5_000)
        self.assertEqual(set(self.group.get_versions().values()), {300})
        self.assertTrue(all(n.control.is_ready() for n in self.group.nodes.values()))
        answer = self.accept(self.group, "a1", cluster.build_bundle(7, "x" * 500))
        self.assertTrue(answer.again)

    def test_a_wiped_replica_catches_up_in_parts(self) -> None:
        noise = random.Random(1).randbytes(45_000).hex()
        for version in range(1, 13):
            self.accept(self.group, "a1", cluster.build_bundle(version, noise))
        leader = self.get_leader()
        name = next(other for other in REPLICAS if other != leader)
        self.group.crash(name, wipe=True)
        self.group.start(name)
        self.group.run(10_000)
        own = self.group.nodes[leader].control.replica.wal
        self.assertGreater(
            len(own.snapshot_bytes), 2 * leader_state.SNAPSHOT_CHUNK_BYTES
        )
        voters = {voter.identity for voter in own.latest_members.voters}
        self.assertIn(self.group.nodes[name].disk.identity, voters)
        newest = self.group.nodes[name].control.replica.wal
        self.assertEqual(newest.committed, own.committed)
