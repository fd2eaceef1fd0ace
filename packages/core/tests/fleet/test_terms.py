from __future__ import annotations

import dataclasses
import unittest

from knapweedbeam_core import clock
from knapweedbeam_core.fleet import (
    dispatcher_role,
    membership,
    messages,
    sharding,
    terms,
)


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


class SharedTokenTest(unittest.TestCase):
    """A process owns two shards of three under one token, as a division assigns it."""

    def setUp(self) -> None:
        timer = clock.ManualClock(0, 1_700_000_000_000)
        self.members = membership.Membership("c0", True, (), timer)
        role = dispatcher_role.DispatcherRole(self.members, 1, timer)
        role.following = dispatcher_role.Choice("c1", 40)
        self.sharding = sharding.Sharding(self.members, role, 1, timer)
        self.own = messages.ShardOwner("c0", 1, 50)
        self.other = messages.ShardOwner("c2", 2, 50)

    def learn(self, *table: messages.ShardOwner) -> None:
        """Learn of a division from the lead."""
        presence = messages.Presence(
            "c1", True, "d", "", True, False, 40, 40, "c1", "", 1, shards=table
        )
        self.members.record_heartbeat(presence)
        own = messages.Presence(
            "c0", True, "d", "", True, False, 0, 0, "c1", "", 1, incarnation=1
        )
        self.sharding.update(own, sharding.Work(360, False, False))

    def test_shard_that_comes_back_ends_no_term_of_another_shard(self) -> None:
        """The other shard forgot its jobs and attempts, and waited for a new token."""
        self.learn(self.own, self.own, self.other)
        self.learn(self.own, self.other, self.other)
        for _ in range(3):
            self.learn(self.own, self.own, self.other)
            self.assertEqual(self.sharding.list_own_tokens(), {0: 50})

    def test_lead_replaces_the_token_of_the_named_shard_alone(self) -> None:
        earlier = messages.Presence(
            "c2", True, "d", "", True, False, 0, 0, "c1", "", 1, refused=(50,)
        )
        presence = dataclasses.replace(earlier, refused_shards=(1,))
        self.assertFalse(self.sharding.is_refused(presence, 0, 50))
        self.assertTrue(self.sharding.is_refused(presence, 1, 50))
        self.assertTrue(self.sharding.is_refused(earlier, 0, 50))


if __name__ == "__main__":
    unittest.main()
