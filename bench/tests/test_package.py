from __future__ import annotations

import unittest

import bench


class PackageTest(unittest.TestCase):
    def test_package_says_what_it_holds(self) -> None:
        self.assertTrue(bench.__doc__)
