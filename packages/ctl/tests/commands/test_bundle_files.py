from __future__ import annotations

import json
import pathlib
import stat
import tempfile
import unittest

import typer.testing

from knapweedbeam_ctl import __main__ as main


class BundleFilesTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.key = self.folder / "ana.key"
        self.assertEqual(0, self.run_command("keygen", str(self.key)).exit_code)

    def run_command(self, *words: str) -> typer.testing.Result:
        return typer.testing.CliRunner().invoke(main.app, ["bundle", *words])

    def write(self, name: str, text: str) -> str:
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def build_first(self) -> str:
        public = f"ana={self.key}.pub"
        result = self.run_command(
            "new", "--operator", public, "--domain", "a=a1,a2", "--control", "a1"
        )
        self.assertEqual(0, result.exit_code, result.output)
        return result.stdout

    def test_keygen_restricts_the_private_key_and_never_overwrites_it(self) -> None:
        self.assertEqual(0o600, stat.S_IMODE(self.key.stat().st_mode))
        self.assertEqual(3, self.run_command("keygen", str(self.key)).exit_code)

    def test_a_new_bundle_can_be_signed_checked_and_compared(self) -> None:
        text = self.build_first()
        path = self.write("one.toml", text)
        signed = self.run_command("sign", path, "--key", str(self.key))
        self.assertEqual(0, signed.exit_code, signed.output)
        checked = self.run_command(
            "check", self.write("signed.toml", signed.stdout), "--json"
        )
        report = json.loads(checked.stdout)
        public = self.key.with_name("ana.key.pub").read_text().strip()
        self.assertEqual([public], report["signatures"])
        other = self.write("two.toml", text.replace("response = 1", "response = 3"))
        self.assertEqual(0, self.run_command("diff", path, path).exit_code)
        differs = self.run_command("diff", path, other, "--json")
        self.assertEqual(24, differs.exit_code)
        whom = [change["whom"] for change in json.loads(differs.stdout)["changes"]]
        self.assertEqual(["everyone"], whom)

    def test_an_invalid_bundle_shows_every_error(self) -> None:
        text = self.build_first().replace("version = 1", 'version = "one"')
        path = self.write("bad.toml", text.replace("response = 1", "response = -1"))
        result = self.run_command("check", path, "--json")
        self.assertEqual(20, result.exit_code)
        fields = [error["field"] for error in json.loads(result.stdout)["errors"]]
        self.assertEqual(["version", "weights.response"], sorted(fields))

    def test_a_private_key_that_others_can_read_is_refused(self) -> None:
        path = self.write("one.toml", self.build_first())
        self.key.chmod(0o640)
        result = self.run_command("sign", path, "--key", str(self.key))
        self.assertEqual(3, result.exit_code)
        self.assertIn("0640", result.output)


if __name__ == "__main__":
    unittest.main()
