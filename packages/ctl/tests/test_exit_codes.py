from __future__ import annotations

import pathlib
import re
import unittest

from knapweedbeam_ctl import __main__ as main
from knapweedbeam_ctl import exit_codes

ROOT = pathlib.Path(__file__).resolve().parents[3]
PAGES = ("docs/operators/README.md", "docs/user-guide/submitting.md")


class ExitCodesTest(unittest.TestCase):
    def test_help_and_pages_name_every_status(self) -> None:
        pages = " ".join((ROOT / page).read_text() for page in PAGES)
        for text in (main.EXIT_CODES_HELP, pages):
            numbers = set(map(int, re.findall(r"\b\d+\b", text)))
            self.assertLessEqual(set(exit_codes.ExitCode), numbers)


if __name__ == "__main__":
    unittest.main()
