from __future__ import annotations

import itertools
import random
import unittest

from knapweedbeam_core.evacuations import machine as evacuation_machine
from knapweedbeam_core.manifests import machine as manifest_machine
from knapweedbeam_core.stored import commands, machine
from log import deployment

ACK_MS = 4_000
DOMAINS = ("d1", "d2", "d3")


def encode(*batch: commands.Command) -> bytes:
    """Return a batch without line feeds, which separate commands in snapshots."""
    return commands.ENCODER.encode(commands.Batch(5, batch)).hex().encode()


def replay(vm: deployment.ControlVm) -> machine.DeploymentStateMachine:
    """Return the state that the commands of a VM lead to."""
    state = machine.DeploymentStateMachine()
    for command in vm.machine.commands:
        state.apply(1, bytes.fromhex(command.decode()))
    return state


class EvacuationLogTest(unittest.TestCase):
    """Operators' orders while control VMs are cut off and lose power."""

    def setUp(self) -> None:
        self.numbers = itertools.count(1)

    def order(self, domain: str, is_evacuated: bool) -> bytes:
        number = next(self.numbers)
        return encode(evacuation_machine.EvacuationOrder(domain, is_evacuated, number))

    def restart_all(self, group: deployment.Deployment) -> None:
        names = sorted(group.vms)
        group.kill(*names)
        for name in names:
            group.start(name)
        group.advance(ACK_MS)

    def test_what_was_acknowledged_outlives_cuts_and_losses_of_power(self) -> None:
        for seed in range(6):
            self.play(seed)

    def play(self, seed: int) -> None:
        rng = random.Random(seed)
        group = deployment.Deployment(5, 5, seed, tolerated_losses=2)
        group.advance(ACK_MS)
        evacuated: set[str] = set()
        for number in range(1, 9):
            domain, is_evacuated = rng.choice(DOMAINS), rng.random() < 0.5
            command = self.order(domain, is_evacuated)
            trouble = rng.choice(("cut", "power", "manifest", "none"))
            if trouble == "cut":
                group.cut(*rng.sample(sorted(group.vms), 2))
            elif trouble == "manifest":
                body = encode(manifest_machine.StoredManifest(number, b"{}"))
                self.assertTrue(group.commit(ACK_MS, body))
            self.assertTrue(group.commit(2 * ACK_MS, command), (seed, number))
            (evacuated.add if is_evacuated else evacuated.discard)(domain)
            group.cut()
            if trouble == "power":
                self.restart_all(group)
        self.restart_all(group)
        leader = group.find_leader()
        assert leader is not None
        stored = replay(leader).evacuations.stored
        self.assertEqual(set(stored.domains), evacuated, seed)

    def test_an_order_of_a_leader_that_was_cut_off_does_not_come_back(self) -> None:
        group = deployment.Deployment(3)
        group.advance(ACK_MS)
        former = group.find_leader()
        assert former is not None and former.replica is not None
        group.cut(former.name)
        lost = self.order("d1", True)
        group.carry_out(former, former.replica.propose(lost))
        group.advance(ACK_MS)
        # Among the others, as the cut-off one still takes itself for the leader.
        group.kill(former.name)
        self.assertTrue(group.commit(ACK_MS, self.order("d1", False)))
        group.cut()
        group.start(former.name)
        group.advance(ACK_MS)
        for vm in group.get_running():
            self.assertEqual(replay(vm).evacuations.stored.domains, (), vm.name)

    def test_two_operators_at_once_leave_all_replicas_with_one_state(self) -> None:
        group = deployment.Deployment(3)
        group.advance(ACK_MS)
        leader = group.find_leader()
        assert leader is not None and leader.replica is not None
        orders = [self.order("d1", n % 2 == 0) for n in range(7)]
        for order in orders:
            group.carry_out(leader, leader.replica.propose(order))
        group.advance(ACK_MS)
        states = {replay(vm).evacuations.stored for vm in group.get_running()}
        self.assertEqual(states, {evacuation_machine.EvacuatedDomains(7, ("d1",))})


if __name__ == "__main__":
    unittest.main()
