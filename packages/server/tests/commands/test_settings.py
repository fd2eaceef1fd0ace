from __future__ import annotations

import contextlib
import io
import json
import pathlib
import stat
import tempfile
import unittest

from knapweedbeam_server.commands import exit_codes, settings
from knapweedbeam_server.config import example, load


class SettingsCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def test_example_is_valid_and_holds_the_defaults(self) -> None:
        path = self.folder / "example.ini"
        path.write_text(example.build_example())
        loaded = load.load_with_problems(path)
        defaults = load.load_with_problems(None)
        self.assertEqual((), loaded.problems)
        assert loaded.settings is not None
        assert defaults.settings is not None
        self.assertEqual(loaded.settings.listen, defaults.settings.listen)
        limits = defaults.settings.caller_limits
        self.assertEqual(loaded.settings.caller_limits, limits)

    def test_check_prints_json_and_exits_with_the_error_status(self) -> None:
        path = self.folder / "bad.ini"
        path.write_text("[log]\nformat = xml\nlevel = loud\n")
        stdout = io.StringIO()
        with contextlib.redirect_stdout(stdout):
            status = settings.check(path, as_json=True)
        self.assertEqual(exit_codes.INVALID_SETTINGS, status)
        printed = json.loads(stdout.getvalue())
        self.assertEqual(["format", "level"], [p["key"] for p in printed["problems"]])

    def test_new_key_is_private_valid_and_never_overwrites_a_file(self) -> None:
        path = self.folder / "link.key"
        self.assertEqual(exit_codes.OK, settings.create_secret(path))
        self.assertEqual(0o600, stat.S_IMODE(path.stat().st_mode))
        text = path.read_text()
        with contextlib.redirect_stderr(io.StringIO()):
            self.assertEqual(exit_codes.CANNOT_WRITE, settings.create_secret(path))
        self.assertEqual(text, path.read_text())
        ini = self.folder / "a.ini"
        ini.write_text("[keys]\nlink_key_file = link.key\n")
        self.assertEqual((), load.load_with_problems(ini).problems)


if __name__ == "__main__":
    unittest.main()
