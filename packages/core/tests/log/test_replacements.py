from __future__ import annotations

import random
import unittest

from log import deployment

# `catchUpS` of both users: a VM that came back still counts as lost for this time.
CATCH_UP_MS = 4_000
# `ackMs` of both users.
ACK_MS = 4_000
ARRIVAL_MS = 1_000
# The longest cut of the core in the users' troubles.
CUT_MS = 7_000


class ReplacementTest(unittest.TestCase):
    """Control VMs that are lost for good, one after the other."""

    def found(
        self, vm_count: int, seed: int, tolerated_losses: int = 1
    ) -> deployment.Deployment:
        group = deployment.Deployment(
            vm_count, seed=seed, tolerated_losses=tolerated_losses
        )
        group.advance(CATCH_UP_MS)
        self.assertTrue(group.commit(ACK_MS))
        return group

    def replace(
        self, group: deployment.Deployment, name: str, number: int, is_planned: bool
    ) -> None:
        """Replace a VM by one with a new name, which comes first if it is planned."""
        successor = f"n{number}"
        if is_planned:
            group.add(successor)
            group.advance(ARRIVAL_MS)
            group.remove(name)
            group.advance(CATCH_UP_MS - ARRIVAL_MS)
            return
        group.remove(name)
        group.advance(ARRIVAL_MS)
        group.add(successor)
        group.advance(CATCH_UP_MS)

    def play(self, vm_count: int, seed: int, count: int) -> None:
        """Play random replacements, then restart all VMs at once."""
        rng = random.Random(seed)
        group = self.found(vm_count, seed)
        for number in range(count):
            name = rng.choice(sorted(group.vms))
            self.replace(group, name, number, is_planned=rng.random() < 0.3)
            group.advance(rng.choice((0, 2_000, 4_000)))
            voters = group.get_voter_names()
            where = f"{vm_count} VMs, seed {seed}, replacement {number}: {voters}"
            self.assertTrue(group.commit(ACK_MS), where)
        self.restart_all(group)

    def play_mixed(self, vm_count: int, seed: int, count: int) -> None:
        """Play replacements, cuts, splits into halves and restarts of all VMs."""
        rng = random.Random(seed)
        group = self.found(vm_count, seed)
        for number in range(count):
            names = sorted(group.vms)
            rng.shuffle(names)
            kind = rng.choice(("planned", "lost", "lost", "cut", "split", "restart"))
            match kind:
                case "planned" | "lost":
                    self.replace(group, names[0], number, kind == "planned")
                case "cut" | "split":
                    group.cut(*names[: 1 if kind == "cut" else vm_count // 2])
                    group.advance(CUT_MS)
                    group.cut()
                    group.advance(CATCH_UP_MS)
                case "restart":
                    self.restart_all(group)
            where = f"{vm_count} VMs, seed {seed}, {number}: {kind}"
            self.assertTrue(group.commit(ACK_MS), where)
        self.restart_all(group)

    def restart_all(self, group: deployment.Deployment) -> None:
        names = list(group.vms)
        group.kill(*names)
        group.advance(3_000)
        for name in names:
            group.start(name)
        self.assertTrue(group.commit(ACK_MS + CATCH_UP_MS))
        leader = group.find_leader()
        assert leader is not None
        lost = set(group.committed) - set(leader.machine.commands)
        self.assertEqual(lost, set())

    def test_three_vms_survive_any_series_of_replacements(self) -> None:
        """A founder that is gone was counted, which kept a lost voter in the group."""
        for seed in range(1, 21):
            self.play(3, seed, 6)

    def test_larger_groups_survive_any_series_of_replacements(self) -> None:
        for vm_count in (4, 5, 6, 8):
            for seed in range(1, 6):
                self.play(vm_count, seed, 6)

    def test_replacements_among_cuts_and_restarts_leave_a_quorum(self) -> None:
        for vm_count in (3, 4, 6, 8):
            for seed in range(1, 6):
                self.play_mixed(vm_count, seed, 6)

    def test_group_of_three_removes_a_lost_voter_once_its_successor_votes(self) -> None:
        group = self.found(3, seed=1)
        for number, name in enumerate(("v0", "v1", "n0", "v2", "n1")):
            self.replace(group, name, number, is_planned=False)
            group.advance(1_000)
            self.assertEqual(group.get_voter_names(), sorted(group.vms))

    def test_two_vms_at_once_may_be_replaced_again_and_again(self) -> None:
        """Lost voters stayed for 30 s in a group with an odd number of them."""
        for vm_count in (5, 6, 8):
            group = self.found(vm_count, seed=1, tolerated_losses=2)
            for number in range(0, 12, 2):
                for name in list(group.vms)[:2]:
                    group.remove(name)
                group.advance(ARRIVAL_MS)
                for place in range(2):
                    group.add(f"n{number + place}")
                group.advance(CATCH_UP_MS)
                self.assertTrue(group.commit(ACK_MS), f"{vm_count} VMs, {number}")
            self.restart_all(group)

    def test_group_of_three_bears_the_loss_of_each_new_leader(self) -> None:
        """Two candidates at once split the votes, and the lost voter stayed."""
        for seed in range(1, 11):
            group = self.found(3, seed)
            for number in range(6):
                leader = group.find_leader()
                assert leader is not None, f"seed {seed}, loss {number}"
                self.replace(group, leader.name, number, is_planned=False)

    def test_voter_that_is_lost_right_after_a_replacement_leaves_a_quorum(self) -> None:
        """The next VM is lost as soon as the pages allow it."""
        group = self.found(3, seed=2)
        for number, name in enumerate(("v0", "v1", "v2")):
            self.replace(group, name, number, is_planned=False)
        self.assertTrue(group.commit(ACK_MS))


if __name__ == "__main__":
    unittest.main()
