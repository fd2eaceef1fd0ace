from __future__ import annotations

import unittest

from knapweedbeam_core.log import choosing


def select(voters: str, **since_contact_ms: int) -> str:
    control_vms = [
        choosing.ControlVm(name, age_ms) for name, age_ms in since_contact_ms.items()
    ]
    return "".join(sorted(choosing.select_replicas(set(voters), control_vms)))


class ReplicaSelectionTest(unittest.TestCase):
    def test_an_unresponsive_voter_of_three_is_always_kept(self) -> None:
        self.assertEqual(select("abc", a=0, b=0, c=60_000), "abc")

    def test_a_voter_without_contact_since_the_start_is_kept(self) -> None:
        self.assertEqual(select("abc", a=0, b=0), "abc")
        self.assertEqual(select("abcd", a=0, b=0, c=0), "abcd")

    def test_an_even_group_drops_an_unresponsive_voter(self) -> None:
        self.assertEqual(select("abcd", a=0, b=0, c=0, d=2_500), "abc")
        self.assertEqual(select("abcd", a=0, b=0, c=0, d=500), "abcd")

    def test_a_new_control_vm_replaces_an_unresponsive_voter(self) -> None:
        self.assertEqual(select("abc", a=0, b=0, c=3_000, d=0), "abcd")
        self.assertEqual(select("abcd", a=0, b=0, c=3_000, d=0), "abd")

    def test_an_even_group_drops_one_voter_at_a_time(self) -> None:
        self.assertEqual(select("abcd", a=0, b=0, c=9_000, d=3_000), "abd")

    def test_a_returning_control_vm_is_included(self) -> None:
        self.assertEqual(select("abc", a=0, b=0, c=0, d=0), "abcd")

    def test_a_group_of_five_drops_only_a_lost_voter(self) -> None:
        self.assertEqual(select("abcde", a=0, b=0, c=0, d=0, e=9_000), "abcde")
        self.assertEqual(select("abcde", a=0, b=0, c=0, d=0, e=31_000), "abcd")


if __name__ == "__main__":
    unittest.main()
