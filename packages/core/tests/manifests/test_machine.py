from __future__ import annotations

import unittest

from knapweedbeam_core.manifests import machine


def build(version: int, body: bytes = b"{}") -> bytes:
    return machine.ENCODER.encode(machine.Stored(version, body))


class ManifestMachineTest(unittest.TestCase):
    def test_the_highest_version_wins_in_any_order(self) -> None:
        built = machine.ManifestMachine()
        for index, version in enumerate((3, 9, 7)):
            built.apply(index, build(version))
        self.assertEqual(built.stored.version, 9)

    def test_other_content_under_the_version_held_changes_nothing(self) -> None:
        built = machine.ManifestMachine()
        built.apply(1, build(3, b"first"))
        built.apply(2, build(3, b"second"))
        self.assertEqual(built.stored.body, b"first")

    def test_a_snapshot_brings_all_back(self) -> None:
        built = machine.ManifestMachine()
        built.apply(1, build(3, b"first"))
        other = machine.ManifestMachine()
        other.restore(built.take_snapshot())
        self.assertEqual(other.stored, built.stored)


if __name__ == "__main__":
    unittest.main()
