from __future__ import annotations

import unittest

from knapweedbeam_core import histogram_series
from knapweedbeam_server import histograms

Kind = histograms.Kind


class HistogramsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.histograms = histograms.Histograms()

    def test_member_reads_only_its_own_series(self) -> None:
        self.histograms.record("north", "quote", Kind.WAIT, 5)
        self.histograms.record("south", "stock", Kind.WAIT, 7)
        series_found = self.histograms.get_member("north")
        self.assertEqual(["quote"], [series.job_class for series in series_found])
        self.assertEqual(
            (1, 5), (series_found[0].count, series_found[0].percentiles[0].value)
        )
        self.assertEqual(2, len(self.histograms.get_all()))
        self.assertEqual((), self.histograms.get_member("nobody"))

    def test_numbers_of_classes_and_series_are_bounded(self) -> None:
        for member in range(300):
            for job_class in range(40):
                for kind in Kind:
                    name = f"m{member}"
                    self.histograms.record(name, f"c{job_class}", kind, 1)
        self.assertEqual(histograms.SERIES_LIMIT, self.histograms.size)
        series_found = self.histograms.get_member("m0")
        classes = {series.job_class for series in series_found}
        self.assertEqual(histograms.CLASSES_PER_MEMBER + 1, len(classes))
        other = [s for s in series_found if s.job_class == histograms.OTHER_CLASSES]
        self.assertEqual([24] * len(Kind), [series.count for series in other])
        self.histograms.drop_members({"m1"})
        self.assertEqual(17 * len(Kind), self.histograms.size)

    def test_values_out_of_range_are_clamped(self) -> None:
        for value in (-1, 0, 10**12):
            self.histograms.record("north", "quote", Kind.RUN, value)
        series_found = self.histograms.get_member("north")[0]
        self.assertEqual(
            (3, histogram_series.LOWEST_VALUE),
            (series_found.count, series_found.lowest),
        )
        self.assertLess(series_found.highest, histogram_series.HIGHEST_VALUE * 1.01)


if __name__ == "__main__":
    unittest.main()
