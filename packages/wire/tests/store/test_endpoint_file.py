from __future__ import annotations

import pathlib
import tempfile
import unittest

from knapweedbeam_core.pool import messages
from knapweedbeam_wire.store import endpoint_file

NEWS = messages.EndpointNews(
    "i-1",
    17,
    4,
    "desk",
    "10.0.0.9:8080",
    "z1",
    messages.EndpointState.LEAVING,
    64_000,
    100,
    0,
    ("a", "r1-3"),
    5,
    age_ms=300,
    rack="r1-3",
)
KNOWN = endpoint_file.KnownEndpoints(1_700_000_000_000, 2, 60, (NEWS,))


class EndpointFileTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def test_what_was_written_is_read(self) -> None:
        self.assertTrue(endpoint_file.write(self.folder, KNOWN))
        self.assertTrue(endpoint_file.write(self.folder, KNOWN))
        self.assertEqual(endpoint_file.read(self.folder), KNOWN)
        names = [path.name for path in self.folder.iterdir()]
        self.assertEqual(names, [endpoint_file.FILE])

    def test_missing_torn_or_foreign_file_is_no_file(self) -> None:
        self.assertIsNone(endpoint_file.read(self.folder))
        endpoint_file.write(self.folder, KNOWN)
        path = self.folder / endpoint_file.FILE
        whole = path.read_bytes()
        for data in (b"", whole[:-3], b"\x00" * 20, whole + b"\x01"):
            path.write_bytes(data)
            self.assertIsNone(endpoint_file.read(self.folder), data)

    def test_folder_that_cannot_be_written_is_reported(self) -> None:
        self.assertFalse(endpoint_file.write(self.folder / "none", KNOWN))


if __name__ == "__main__":
    unittest.main()
