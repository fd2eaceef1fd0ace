from __future__ import annotations

import base64
import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from knapweedbeam_core import histogram_series, outcomes

NAME = histogram_series.SeriesName("north", "quote", histogram_series.Kind.RESPONSE)


def build_form(values: list[int], word_bytes: int = 4) -> histogram_series.Series:
    histogram = histogram_series.build_histogram(word_bytes)
    for value in values:
        histogram.record_value(value)
    return histogram_series.build_series(NAME, histogram)


class HistogramFormsTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.lists(strategies.integers(1, 3_600_000)), min_size=1, max_size=5
        )
    )
    def test_merging_equals_recording_in_one_place(
        self, nodes: list[list[int]]
    ) -> None:
        merged = histogram_series.merge([build_form(values) for values in nodes])
        assert not isinstance(merged, outcomes.Refusal)
        whole = build_form([value for values in nodes for value in values])
        found = dataclasses.replace(merged[0], encoded="")
        self.assertEqual(dataclasses.replace(whole, encoded=""), found)

    def test_malformed_forms_are_refused(self) -> None:
        form = build_form([5])
        larger = histogram_series.hdrh.histogram.HdrHistogram(1, 2**60, 5)
        raw = base64.b64decode(form.encoded)
        cut = base64.b64encode(raw[:-3]).decode()
        flipped = base64.b64encode(raw[:20] + b"\xff" + raw[21:]).decode()
        foreign = larger.encode().decode()
        for encoded in ("", "HIST", "é", "A" * 2**17, foreign, cut, flipped):
            broken = dataclasses.replace(form, encoded=encoded)
            refusal = histogram_series.merge([form, broken])
            self.assertIsInstance(refusal, outcomes.Refusal)


if __name__ == "__main__":
    unittest.main()
