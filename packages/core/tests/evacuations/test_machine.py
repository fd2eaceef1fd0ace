from __future__ import annotations

import unittest

import msgspec

from knapweedbeam_core.evacuations import holder, machine
from knapweedbeam_core.manifests import machine as manifest_machine
from knapweedbeam_core.stored import commands, ledger
from knapweedbeam_core.stored import machine as stored_machine

BOTH = machine.EvacuatedDomains(2, ("d1", "d2"))


class EvacuationMachineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = stored_machine.DeploymentStateMachine()

    def order(self, domain: str, is_evacuated: bool = True, number: int = 1) -> None:
        order = machine.EvacuationOrder(domain, is_evacuated, number)
        batch = commands.Batch(5, (order,))
        self.machine.apply(1, commands.ENCODER.encode(batch))

    def test_the_same_order_again_changes_nothing_and_is_applied(self) -> None:
        for number, domain in enumerate(("d2", "d1", "d2")):
            self.order(domain, number=number)
        self.order("d3", False, number=3)
        self.assertEqual(self.machine.evacuations.stored, BOTH)
        self.assertTrue(all(map(self.machine.evacuations.has_applied, range(4))))

    def test_an_order_that_is_taken_back_has_a_higher_version(self) -> None:
        self.order("d1")
        self.order("d1", False)
        self.assertEqual(
            self.machine.evacuations.stored, machine.EvacuatedDomains(2, ())
        )

    def test_a_snapshot_restores_evacuations(self) -> None:
        self.order("d2")
        self.order("d1")
        other = stored_machine.DeploymentStateMachine()
        other.restore(self.machine.take_snapshot())
        self.assertEqual(other.evacuations.stored, BOTH)

    def test_a_snapshot_without_evacuations_is_read(self) -> None:
        manifest = manifest_machine.StoredManifest(3, b"first")
        old = msgspec.msgpack.encode((manifest, ledger.Ledger().state))
        self.machine.restore(old)
        self.assertEqual(self.machine.manifests.stored, manifest)
        self.assertEqual(self.machine.evacuations.stored, machine.NO_EVACUATIONS)


class EvacuationHolderTest(unittest.TestCase):
    def test_an_older_version_that_comes_late_is_ignored(self) -> None:
        held = holder.EvacuationHolder()
        self.assertTrue(held.update(BOTH))
        self.assertFalse(held.update(machine.EvacuatedDomains(1, ("d1",))))
        self.assertFalse(held.update(BOTH))
        self.assertEqual(held.held, BOTH)


if __name__ == "__main__":
    unittest.main()
