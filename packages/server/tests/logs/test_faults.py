from __future__ import annotations

import unittest

from knapweedbeam_server.logs import faults, render


def fail(text: str) -> None:
    raise ValueError(text)


class FaultsTest(unittest.TestCase):
    def test_error_and_its_line_fit_in_a_field(self) -> None:
        try:
            fail("x" * 1_000)
        except ValueError as error:
            described = faults.describe(error)
        self.assertTrue(described.startswith("ValueError: xxx"))
        self.assertRegex(described, r" < test_faults\.py:\d+ fail < test_faults")
        self.assertEqual(render.truncate(described), described)


if __name__ == "__main__":
    unittest.main()
