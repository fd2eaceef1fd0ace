from __future__ import annotations

import unittest

from knapweedbeam_core.log import choosing


def choose(voters: str, **silent_ms: int) -> str:
    known = [choosing.ControlVm(name, silent) for name, silent in silent_ms.items()]
    return "".join(sorted(choosing.select_replicas(set(voters), known)))


class ChoosingTest(unittest.TestCase):
    def test_a_voter_of_three_is_kept_however_long_it_is_silent(self) -> None:
        self.assertEqual(choose("abc", a=0, b=0, c=60_000), "abc")

    def test_one_that_was_never_heard_since_the_start_is_kept(self) -> None:
        self.assertEqual(choose("abc", a=0, b=0), "abc")
        self.assertEqual(choose("abcd", a=0, b=0, c=0), "abcd")

    def test_an_even_group_gives_up_a_silent_voter(self) -> None:
        self.assertEqual(choose("abcd", a=0, b=0, c=0, d=2_500), "abc")
        self.assertEqual(choose("abcd", a=0, b=0, c=0, d=500), "abcd")

    def test_a_successor_takes_the_place_of_one_that_is_gone(self) -> None:
        self.assertEqual(choose("abc", a=0, b=0, c=3_000, d=0), "abcd")
        self.assertEqual(choose("abcd", a=0, b=0, c=3_000, d=0), "abd")

    def test_at_most_one_of_an_even_group_goes_at_a_time(self) -> None:
        self.assertEqual(choose("abcd", a=0, b=0, c=9_000, d=3_000), "abd")

    def test_one_that_comes_back_is_taken_in(self) -> None:
        self.assertEqual(choose("abc", a=0, b=0, c=0, d=0), "abcd")

    def test_of_five_only_one_that_is_gone_for_good_is_left_out(self) -> None:
        self.assertEqual(choose("abcde", a=0, b=0, c=0, d=0, e=9_000), "abcde")
        self.assertEqual(choose("abcde", a=0, b=0, c=0, d=0, e=31_000), "abcd")


if __name__ == "__main__":
    unittest.main()
