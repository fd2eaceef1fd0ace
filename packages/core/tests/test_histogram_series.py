from __future__ import annotations

import base64
import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from knapweedbeam_core import histogram_series, outcomes

NAME = histogram_series.SeriesName("north", "quote", histogram_series.Kind.RESPONSE)


def build_series(values: list[int], word_bytes: int = 4) -> histogram_series.Series:
    histogram = histogram_series.build_histogram(word_bytes)
    for value in values:
        histogram.record_value(value)
    return histogram_series.build_series(NAME, histogram)


class HistogramSeriesTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.lists(strategies.integers(1, 3_600_000)), min_size=1, max_size=5
        )
    )
    def test_merging_equals_recording_in_one_histogram(
        self, nodes: list[list[int]]
    ) -> None:
        merged = histogram_series.merge([build_series(values) for values in nodes])
        assert not isinstance(merged, outcomes.Refusal)
        expected = build_series([value for values in nodes for value in values])
        found = dataclasses.replace(merged[0], encoded="")
        self.assertEqual(dataclasses.replace(expected, encoded=""), found)

    def test_malformed_series_are_refused(self) -> None:
        series = build_series([5])
        larger = histogram_series.hdrh.histogram.HdrHistogram(1, 2**60, 5)
        raw = base64.b64decode(series.encoded)
        truncated = base64.b64encode(raw[:-3]).decode()
        flipped = base64.b64encode(raw[:20] + b"\xff" + raw[21:]).decode()
        other_bounds = larger.encode().decode()
        for encoded in (
            "",
            "HIST",
            "é",
            "A" * 2**17,
            other_bounds,
            truncated,
            flipped,
        ):
            broken = dataclasses.replace(series, encoded=encoded)
            refusal = histogram_series.merge([series, broken])
            self.assertIsInstance(refusal, outcomes.Refusal)


if __name__ == "__main__":
    unittest.main()
