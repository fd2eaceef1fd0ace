from __future__ import annotations

import pathlib
import unittest

from knapweedbeam_core.bundles import explain, model

EXAMPLES = pathlib.Path(__file__).resolve().parents[4] / "examples"


class ExamplesTest(unittest.TestCase):
    def test_exact_limits_of_examples(self) -> None:
        lines = {}
        for path in EXAMPLES.glob("*.toml"):
            bundle = model.parse_bundle(path.read_text())
            assert isinstance(bundle, model.Bundle), bundle
            for line in explain.explain_limits(bundle):
                lines[line.member, line.limit] = line.exact
        self.assertEqual(
            lines["wedding-tailors", "quarter-hour"],
            "9000 task starts in each sliding window of 900 s",
        )
        self.assertEqual(
            lines["fishmongers", "rounds-a-morning"],
            "6000000 ms of slot time in each aligned window of 21600 s",
        )
        self.assertEqual(
            lines["fishmongers", "pallets-an-hour"],
            "4500 task starts in each sliding window of 3600 s",
        )
