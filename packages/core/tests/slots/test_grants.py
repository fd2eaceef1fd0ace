"""Tests of max-min division, and of deltas that may be lost."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from knapweedbeam_core.slots import deltas, grants

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None)
DEMANDS = strategies.lists(
    strategies.builds(
        grants.Demand,
        strategies.integers(0, 60),
        strategies.sampled_from((1.0, 2.0, 5.0)),
    ),
    max_size=12,
)


class TestSplit(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(strategies.integers(0, 200), DEMANDS)
    def test_split_is_max_min_fair(
        self, capacity: int, demands: list[grants.Demand]
    ) -> None:
        shares = grants.split(capacity, demands)
        self.assertEqual(sum(shares), min(capacity, sum(w.slots for w in demands)))
        for share, demand in zip(shares, demands, strict=True):
            self.assertLessEqual(share, demand.slots)
            if share == demand.slots:
                continue
            for other, other_demand in zip(shares, demands, strict=True):
                self.assertLessEqual(
                    (other - 1) / other_demand.weight, (share + 1) / demand.weight
                )


class TestDeltas(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 5), strategies.booleans()),
            max_size=40,
        )
    )
    def test_receiver_gets_every_change(self, changes: list[tuple[int, bool]]) -> None:
        stream: deltas.DeltaStream[int] = deltas.DeltaStream()
        applied = deltas.DeltaReceiver()
        state: dict[int, int] = {}
        received: dict[int, int] = {}

        def send(batch: deltas.Batch[int], lost: bool) -> None:
            if lost:
                return
            received.update({key: state[key] for key in batch.keys})
            applied.advance(batch.since, batch.version)

        for number, (key, lost) in enumerate(changes):
            state[key] = number
            stream.mark(key)
            send(stream.collect_unsent(), lost)
            stream.ack(applied.version)
        send(stream.collect_unacked(), lost=False)
        self.assertEqual(received, state)
        self.assertEqual(applied.version, stream.version)
