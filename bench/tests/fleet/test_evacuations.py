from __future__ import annotations

import random
import unittest

from bench.fleet import days, deployment, network, observed
from knapweedbeam_core.evacuations import machine

CUT_MS = 1_500
# A heartbeat and a start that is on its way.
SPREAD_MS = 300


class EvacuationTest(unittest.TestCase):
    """Evacuations while processes are cut off and restart."""

    def count_starts(
        self, played: deployment.Deployment, since_ms: int, until_ms: int
    ) -> int:
        """Return how many tasks started in domain d1 in a time."""
        return sum(
            isinstance(event, observed.Run) and name.startswith("i-d1-")
            for at_ms, name, event in played.log
            if since_ms < at_ms <= until_ms
        )

    def play(self, seed: int, shard_size: int) -> None:
        played = deployment.Deployment(
            seed, cores_per_domain=2, endpoints_per_shard=shard_size
        )
        played.advance(days.WARM_UP_MS)
        played.submit_jobs(random.Random(seed), 30.0, played.now_ms + 12_000)
        played.advance(1_000)
        start_ms = played.now_ms
        self.assertGreater(self.count_starts(played, start_ms - 1_000, start_ms), 0)
        cut = network.Cut(frozenset({"core-d0-1"}))
        played.cut_for(cut, CUT_MS)
        played.nodes["core-d2-0"].apply_evacuations(
            machine.EvacuatedDomains(1, ("d1",))
        )
        lead = next(node for node in played.nodes.values() if node.role.generation)
        played.schedule_after(3_000, lambda: played.kill(lead.name))
        played.schedule_after(4_000, lambda: played.restart_node(lead.name))
        played.advance(7_000)
        end_ms = played.now_ms
        joined_ms = start_ms + CUT_MS + SPREAD_MS
        self.assertEqual(self.count_starts(played, joined_ms, end_ms), 0, seed)
        self.assertTrue(
            all(node.evacuations.held.version == 1 for node in played.nodes.values())
        )
        newest = played.nodes["core-d2-0"]
        newest.apply_evacuations(machine.EvacuatedDomains(2, ()))
        newest.apply_evacuations(machine.EvacuatedDomains(1, ("d1",)))
        played.advance(1_000)
        self.assertGreater(self.count_starts(played, end_ms, played.now_ms), 0, seed)
        played.advance(5_000)
        self.assertEqual(played.list_breaches(), [])

    def test_one_dispatcher(self) -> None:
        self.play(1, shard_size=100)

    def test_several_shards(self) -> None:
        self.play(2, shard_size=8)


if __name__ == "__main__":
    unittest.main()
