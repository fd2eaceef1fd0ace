from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from control import cluster, faulty_variants, histories

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=15
)
MAX_SEEDS = 16


class HistoryTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(strategies.integers(0, 2**32), strategies.integers(5, 25))
    def test_bundles_under_random_faults(self, seed: int, steps: int) -> None:
        histories.History(seed).run(steps)

    def test_answered_bundle_survives_power_loss(self) -> None:
        histories.crash_all_after_answer(cluster.Cluster)

    def test_bundle_survives_wiped_voter_while_another_lags(self) -> None:
        histories.wipe_voter_while_another_lags(cluster.Cluster)


class FaultyVariantTest(unittest.TestCase):
    def test_acknowledging_before_sync_is_detected(self) -> None:
        with self.assertRaisesRegex(AssertionError, "accepted bundle was lost"):
            histories.crash_all_after_answer(faulty_variants.EARLY_SYNC)

    def test_wiped_replica_with_old_identity_is_detected(self) -> None:
        with self.assertRaises(AssertionError):
            histories.wipe_voter_while_another_lags(faulty_variants.SameIdentityCluster)

    def test_downgrade_is_detected(self) -> None:
        self.assert_detected(faulty_variants.LOWER_VERSION, " after ")

    def test_early_refusal_is_detected(self) -> None:
        self.assert_detected(
            faulty_variants.EARLY_REFUSAL, "a refused bundle is accepted"
        )

    def assert_detected(self, cluster_class: type[cluster.Cluster], text: str) -> None:
        with self.assertRaisesRegex(AssertionError, text):
            for seed in range(MAX_SEEDS):
                histories.History(seed, cluster_class).run(25)
