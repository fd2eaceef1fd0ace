from __future__ import annotations

import pathlib
import tempfile
import unittest
import unittest.mock

from bench import results


class ResultsTest(unittest.TestCase):
    def test_a_saved_result_is_read_and_compared(self) -> None:
        old = results.Result("steady", "1", {"mean": 2.0, "breaches": {"limits": 0}})
        new = results.Result("steady", "2", {"mean": 3.0, "late": 1.0})
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            with unittest.mock.patch.object(results, "ROOT", root):
                read = results.load(results.save(old))
        self.assertEqual(read, old)
        self.assertEqual(
            results.compare(read, new),
            [
                ("mean", 2.0, 3.0, 1.5),
                ("breaches", {"limits": 0}, "", None),
                ("late", "", 1.0, None),
            ],
        )
