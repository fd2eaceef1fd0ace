from __future__ import annotations

import unittest

import bench


class PackageTest(unittest.TestCase):
    def test_package_has_a_docstring(self) -> None:
        self.assertTrue(bench.__doc__)
