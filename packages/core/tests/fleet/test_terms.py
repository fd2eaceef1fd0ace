from __future__ import annotations

import unittest

from knapweedbeam_core.fleet import terms


class TermsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.terms = terms.Terms()

    def test_token_of_an_ended_term_is_not_used_again(self) -> None:
        self.assertEqual(self.terms.update(3, {1: 20}), frozenset())
        self.terms.update(3, {})
        self.assertEqual(self.terms.update(3, {1: 20}), {20})
        self.assertEqual(self.terms.tokens, {})
        self.assertEqual(self.terms.update(3, {1: 21}), frozenset())
        self.assertEqual(self.terms.tokens, {1: 21})

    def test_token_below_that_of_an_ended_term_is_not_used(self) -> None:
        self.terms.update(3, {1: 20})
        self.assertEqual(self.terms.update(3, {1: 19}), {19})
        self.assertEqual(self.terms.tokens, {})

    def test_shards_with_one_token_end_their_terms_apart(self) -> None:
        self.terms.update(3, {0: 20, 1: 20})
        self.assertEqual(self.terms.update(3, {0: 20}), frozenset())
        self.assertEqual(self.terms.update(3, {0: 20, 1: 20}), {20})
        self.assertEqual(self.terms.tokens, {0: 20})

    def test_another_number_of_shards_ends_all_terms(self) -> None:
        self.terms.update(3, {0: 20})
        self.assertEqual(self.terms.update(2, {0: 20}), {20})
        self.assertEqual(self.terms.update(2, {0: 22}), frozenset())
        self.assertEqual(self.terms.tokens, {0: 22})


if __name__ == "__main__":
    unittest.main()
