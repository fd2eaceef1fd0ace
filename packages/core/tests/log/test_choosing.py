from __future__ import annotations

import unittest

from knapweedbeam_core.log import choosing


def select(voters: str, tolerated_losses: int = 1, **since_contact_ms: int) -> str:
    control_vms = [
        choosing.ControlVm(name, age_ms) for name, age_ms in since_contact_ms.items()
    ]
    selected = choosing.select_replicas(set(voters), control_vms, tolerated_losses)
    return "".join(sorted(selected))


class ReplicaSelectionTest(unittest.TestCase):
    def test_an_unresponsive_voter_of_three_is_always_kept(self) -> None:
        self.assertEqual(select("abc", a=0, b=0, c=60_000), "abc")

    def test_a_voter_without_contact_since_the_start_is_kept(self) -> None:
        self.assertEqual(select("abc", a=0, b=0), "abc")
        self.assertEqual(select("abcd", a=0, b=0, c=0), "abcd")

    def test_a_larger_group_drops_an_unresponsive_voter(self) -> None:
        self.assertEqual(select("abcd", a=0, b=0, c=0, d=2_500), "abc")
        self.assertEqual(select("abcd", a=0, b=0, c=0, d=500), "abcd")

    def test_a_new_control_vm_replaces_an_unresponsive_voter(self) -> None:
        self.assertEqual(select("abc", a=0, b=0, c=3_000, d=0), "abcd")
        self.assertEqual(select("abcd", a=0, b=0, c=3_000, d=0), "abd")

    def test_three_voters_remain_the_longest_silent_one_goes_first(self) -> None:
        self.assertEqual(select("abcd", a=0, b=0, c=9_000, d=3_000), "abd")
        self.assertEqual(select("abcde", a=0, b=0, c=9_000, d=3_000, e=0), "abe")

    def test_a_returning_control_vm_is_included(self) -> None:
        self.assertEqual(select("abc", a=0, b=0, c=0, d=0), "abcd")

    def test_so_many_voters_remain_that_lost_disks_are_outnumbered(self) -> None:
        silent = {"d": 31_000, "e": 9_000}
        self.assertEqual(select("abcde", 2, a=0, b=0, c=0, **silent), "abcde")
        self.assertEqual(select("abcde", 1, a=0, b=0, c=0, **silent), "abc")
        self.assertEqual(select("abcdef", 2, a=0, b=0, c=0, f=0, **silent), "abcef")
        self.assertEqual(select("abcd", 0, a=0, b=0, c=9_000, **silent), "abc")

    def test_initial_names_count_only_without_voters(self) -> None:
        """A founder that was replaced kept a lost voter in the group."""
        contacted = [choosing.ControlVm(name, 0) for name in "bcd"]
        lost = choosing.ControlVm("x", 9_000)
        targets = choosing.find_targets(set("bcdx"), "abc", [*contacted, lost], 0, 1)
        self.assertEqual(targets, frozenset("bcd"))
        self.assertEqual(choosing.find_targets(set(), "abc", [], 0, 1), set("abc"))

    def test_voter_that_was_never_contacted_is_silent_since_the_start(self) -> None:
        contacted = [choosing.ControlVm(name, 0) for name in "abc"]
        for uptime_ms, expected in ((500, "abcd"), (2_500, "abc")):
            targets = choosing.find_targets(set("abcd"), "", contacted, uptime_ms, 1)
            self.assertEqual(targets, frozenset(expected))


if __name__ == "__main__":
    unittest.main()
