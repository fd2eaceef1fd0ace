from __future__ import annotations

import unittest

from log import deployment

FIRST_LEADER_MS = 4_000
# A dispatcher stops what runs after 250 ms if no log tells whose it is.
HAND_OVER_MS = 200


class HandingOverTest(unittest.TestCase):
    """The leader of the log gives up its role, as its process is about to stop."""

    def hand_over(self, group: deployment.Deployment) -> str:
        leader = group.find_leader()
        assert leader is not None and leader.replica is not None
        group.carry_out(leader, leader.replica.hand_over())
        return leader.name

    def test_next_leader_is_elected_at_once(self) -> None:
        for seed in range(20):
            group = deployment.Deployment(3, seed=seed)
            group.advance(FIRST_LEADER_MS)
            self.assertTrue(group.commit(FIRST_LEADER_MS))
            former = self.hand_over(group)
            self.assertIsNone(group.find_leader())
            group.advance(HAND_OVER_MS)
            leader = group.find_leader()
            assert leader is not None, seed
            self.assertNotEqual(leader.name, former)
            self.assertTrue(group.commit(HAND_OVER_MS))

    def test_late_message_of_a_former_leader_changes_nothing(self) -> None:
        group = deployment.Deployment(3)
        group.advance(FIRST_LEADER_MS)
        former = group.find_leader()
        assert former is not None and former.replica is not None
        late = former.replica.hand_over()
        group.advance(FIRST_LEADER_MS)
        leader = group.find_leader()
        assert leader is not None and leader.replica is not None
        term = leader.replica.wal.term
        group.carry_out(former, late)
        group.advance(FIRST_LEADER_MS)
        self.assertIs(group.find_leader(), leader)
        self.assertEqual(leader.replica.wal.term, term)


if __name__ == "__main__":
    unittest.main()
