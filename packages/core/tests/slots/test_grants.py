"""Max-min shares, and deltas that may be lost, repeated or reordered."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from knapweedbeam_core.slots import deltas, grants

SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None)
WANTS = strategies.lists(
    strategies.builds(
        grants.Want,
        strategies.integers(0, 60),
        strategies.sampled_from((1.0, 2.0, 5.0)),
    ),
    max_size=12,
)


class TestShare(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(strategies.integers(0, 200), WANTS)
    def test_max_min(self, capacity: int, wants: list[grants.Want]) -> None:
        shares = grants.share(capacity, wants)
        self.assertEqual(sum(shares), min(capacity, sum(w.slots for w in wants)))
        for share, want in zip(shares, wants, strict=True):
            self.assertLessEqual(share, want.slots)
            if share == want.slots:
                continue
            for other, its in zip(shares, wants, strict=True):
                self.assertLessEqual(
                    (other - 1) / its.weight, (share + 1) / want.weight
                )


class TestDeltas(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 5), strategies.booleans()),
            max_size=40,
        )
    )
    def test_receiver_ends_up_with_everything(
        self, changes: list[tuple[int, bool]]
    ) -> None:
        stream: deltas.DeltaStream[int] = deltas.DeltaStream()
        applied = deltas.Applied()
        state: dict[int, int] = {}
        seen: dict[int, int] = {}

        def send(batch: deltas.Batch[int], lost: bool) -> None:
            if lost:
                return
            seen.update({key: state[key] for key in batch.keys})
            applied.take(batch.since, batch.version)

        for number, (key, lost) in enumerate(changes):
            state[key] = number
            stream.mark(key)
            send(stream.take_unsent(), lost)
            stream.ack(applied.version)
        send(stream.take_unacked(), lost=False)
        self.assertEqual(seen, state)
        self.assertEqual(applied.version, stream.version)
