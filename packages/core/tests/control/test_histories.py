from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from control import broken, cluster, histories

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=15
)
SEEDS_TO_CATCH = 16


class HistoryTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(strategies.integers(0, 2**32), strategies.integers(5, 25))
    def test_bundles_under_faults(self, seed: int, steps: int) -> None:
        histories.History(seed).run(steps)

    def test_power_loss_after_an_answer(self) -> None:
        histories.lose_power_after_an_answer(cluster.Cluster)

    def test_a_wiped_voter_while_another_lags(self) -> None:
        histories.wipe_a_voter_while_another_lags(cluster.Cluster)


class BrokenVariantTest(unittest.TestCase):
    def test_acknowledging_before_the_sync_is_caught(self) -> None:
        with self.assertRaisesRegex(AssertionError, "accepted bundle was lost"):
            histories.lose_power_after_an_answer(broken.EARLY_SYNC)

    def test_a_wiped_replica_that_votes_as_before_is_caught(self) -> None:
        with self.assertRaises(AssertionError):
            histories.wipe_a_voter_while_another_lags(broken.SameIdentityCluster)

    def test_a_lower_version_is_caught(self) -> None:
        self.catch(broken.LOWER_VERSION, " after ")

    def test_saying_unchanged_too_early_is_caught(self) -> None:
        self.catch(broken.HASTY_ANSWER, "a refused bundle is accepted")

    def catch(self, kind: type[cluster.Cluster], text: str) -> None:
        with self.assertRaisesRegex(AssertionError, text):
            for seed in range(SEEDS_TO_CATCH):
                histories.History(seed, kind).run(25)
