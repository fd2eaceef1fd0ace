from __future__ import annotations

import unittest

import knapweedbeam_wire


class PackageTest(unittest.TestCase):
    def test_package_has_a_docstring(self) -> None:
        self.assertTrue(knapweedbeam_wire.__doc__)
