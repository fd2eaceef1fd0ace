from __future__ import annotations

import unittest

from control import cluster
from knapweedbeam_core import outcomes
from knapweedbeam_core.entry import parts

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
