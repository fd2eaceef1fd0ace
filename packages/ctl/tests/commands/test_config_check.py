from __future__ import annotations

import json
import pathlib
import tempfile
import unittest

import typer.testing

from knapweedbeam_ctl import __main__ as main

MANIFEST = """{"version": 7,
 "routes": [
  {"name": "r-1", "host": "a.example", "pathPrefix": "/q/", "service": "s1",
   "timeoutMs": 1500, "targetRuntimeMs": 60}],
 "services": [{"name": "s1"}]}
"""


class ConfigCheckTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def check(self, text: str, *words: str) -> typer.testing.Result:
        path = self.folder / "new"
        path.write_text(text)
        return typer.testing.CliRunner().invoke(
            main.app, ["config", "check", str(path), *words]
        )

    def test_sound_manifest_passes(self) -> None:
        result = self.check(MANIFEST)
        self.assertEqual(result.exit_code, 0, result.output)

    def test_findings_name_line_and_entry(self) -> None:
        result = self.check(MANIFEST.replace("a.example", "A.example"), "--json")
        self.assertEqual(result.exit_code, 25, result.output)
        (finding,) = json.loads(result.stdout)["findings"]
        self.assertEqual((finding["place"], finding["line"]), ("queue r-1", 3))

    def test_errors_and_unreadable_manifests_are_invalid(self) -> None:
        self.assertEqual(self.check(MANIFEST.replace('"s1"}', '"s2"}')).exit_code, 20)
        self.assertEqual(self.check('{"version": "seven"}').exit_code, 20)
        self.assertEqual(self.check("version = [").exit_code, 20)

    def test_differences_from_the_version_in_force_are_shown(self) -> None:
        old = self.folder / "old"
        old.write_text(MANIFEST)
        new = MANIFEST.replace("1500", "1700").replace("7", "8", 1)
        result = self.check(new, "--against", str(old))
        self.assertEqual(result.exit_code, 24, result.output)
        self.assertIn("timeout_ms: 1500 -> 1700", result.stdout)

    def test_missing_file_to_compare_with_is_a_bad_file(self) -> None:
        result = self.check(MANIFEST, "--against", str(self.folder / "none"))
        self.assertEqual(result.exit_code, 3)

    def test_bundles_are_checked_and_compared(self) -> None:
        key = str(self.folder / "ana.key")
        runner = typer.testing.CliRunner()
        runner.invoke(main.app, ["bundle", "keygen", key])
        words = ["bundle", "new", "--operator", f"ana={key}.pub", "--domain", "a=a1,a2"]
        first = runner.invoke(main.app, [*words, "--control", "a1"]).stdout
        self.assertEqual(self.check(first).exit_code, 0)
        old = self.folder / "old"
        old.write_text(first)
        result = self.check(first.replace('"a2"', '"a3"'), "--against", str(old))
        self.assertEqual(result.exit_code, 24, result.output)
        self.assertIn("failure domain a", result.stdout)


if __name__ == "__main__":
    unittest.main()
