from __future__ import annotations

import unittest

import knapweedbeam_ctl


class PackageTest(unittest.TestCase):
    def test_package_has_a_docstring(self) -> None:
        self.assertTrue(knapweedbeam_ctl.__doc__)
