from __future__ import annotations

import base64
import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from knapweedbeam_server.config import load, problems, settings

KEY = bytes(range(32))
OTHER_KEY = bytes(range(1, 33))
OPERATOR_KEY = bytes(range(2, 34))
FULL = f"""
[process]
name = a1
domain = alajuela
data_folder = data                       ; below the settings' folder
[listen]
callers = 127.1.1.1:8080
operators = 127.1.1.1:8081
links = 127.1.1.1:7000
[peers]
a2 = alajuela 127.1.1.2:7000
b1 = heredia [::1]:7000
[control]
replicas = a1 a2 b1
operator_keys = {base64.b64encode(OPERATOR_KEY).decode()}
[keys]
link_key_file = link.key
ticket_key_file = ticket.key
[platform]
address = http://127.0.0.1:9000/
[metrics]
statsd = 127.0.0.1:8125
[caller_limits]
body_bytes = 64 KiB
"""


class LoadTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.write("link.key", base64.b64encode(KEY), 0o600)
        self.write("ticket.key", base64.b64encode(OTHER_KEY) + b"\n", 0o400)

    def write(self, name: str, text: bytes, mode: int = 0o600) -> pathlib.Path:
        path = self.folder / name
        path.unlink(missing_ok=True)
        path.write_bytes(text)
        path.chmod(mode)
        return path

    def load(self, text: str) -> settings.Settings | problems.SettingsProblems:
        return load.load_settings(self.write("a1.ini", text.encode()))

    def get_problem_keys(self, text: str) -> set[tuple[str, str]]:
        loaded = self.load(text)
        assert isinstance(loaded, problems.SettingsProblems), loaded
        return {(problem.section, problem.key) for problem in loaded.problems}

    def test_without_a_file_settings_are_loopback_with_random_keys(self) -> None:
        first, second = load.load_settings(None), load.load_settings(None)
        assert isinstance(first, settings.Settings)
        assert isinstance(second, settings.Settings)
        self.assertEqual("127.0.0.1", first.listen.callers.host)
        self.assertIsNone(first.process.data_folder)
        self.assertEqual(32, len(first.keys.link_key))
        self.assertNotEqual(first.keys.link_key, first.keys.ticket_key)
        self.assertNotEqual(first.keys.link_key, second.keys.link_key)

    def test_every_value_of_a_full_file_is_loaded(self) -> None:
        loaded = self.load(FULL)
        assert isinstance(loaded, settings.Settings), loaded
        self.assertEqual(self.folder / "data", loaded.process.data_folder)
        self.assertEqual(
            (KEY, OTHER_KEY), (loaded.keys.link_key, loaded.keys.ticket_key)
        )
        address = settings.Address("::1", 7000)
        self.assertEqual(
            settings.PeerAddress("b1", "heredia", address), loaded.peers[1]
        )
        self.assertEqual(("a1", "a2", "b1"), loaded.control.replicas)
        self.assertEqual("http://127.0.0.1:9000", loaded.platform.address)
        self.assertEqual(65_536, loaded.caller_limits.body_bytes)
        self.assertNotIn(repr(KEY), repr(loaded))

    def test_all_problems_of_a_file_are_returned_together(self) -> None:
        text = """
[process]
name = A 1
[listen]
callers = localhost:8080
operators = 127.0.0.1:0
[peers]
b1 = heredia
[lisen]
[keys]
link_key_file = absent.key
[log]
levl = info
format = xml
[caller_limits]
body_bytes = 8 MB
[member_limits]
memory_bytes = 1 GiB
"""
        expected = {
            ("process", "name"),
            ("listen", "callers"),
            ("listen", "operators"),
            ("peers", "b1"),
            ("lisen", ""),
            ("keys", "link_key_file"),
            ("log", "levl"),
            ("log", "format"),
            ("caller_limits", "body_bytes"),
        }
        self.assertEqual(expected, self.get_problem_keys(text))
        loaded = self.load("[log]\nlevl = info\n")
        assert isinstance(loaded, problems.SettingsProblems)
        self.assertIn("level (did you mean it?)", str(loaded.problems[0]))

    def test_checks_between_options_name_every_section_and_key(self) -> None:
        text = """
[process]
name = a1
[listen]
callers = 127.0.0.1:7000
[peers]
a1 = a 127.0.0.1:7001
b1 = b 127.0.0.1:7000
[control]
replicas = a1 z9
signatures = 2
[caller_limits]
body_bytes = 1 GiB
"""
        expected = {
            ("listen", "links"),
            ("peers", "a1"),
            ("peers", "b1"),
            ("control", "replicas"),
            ("control", "operator_keys"),
            ("process", "data_folder"),
            ("keys", "link_key_file"),
            ("keys", "ticket_key_file"),
            ("caller_limits", "body_bytes"),
        }
        self.assertEqual(expected, self.get_problem_keys(text))

    def test_secrets_readable_by_group_or_others_are_refused(self) -> None:
        for mode in (0o640, 0o604, 0o644):
            self.write("link.key", base64.b64encode(KEY), mode)
            loaded = self.load(FULL)
            assert isinstance(loaded, problems.SettingsProblems)
            self.assertIn(f"{mode:04o}", str(loaded.problems[0]))
            self.assertNotIn(base64.b64encode(KEY).decode(), str(loaded.problems))

    def test_files_that_are_not_ini_or_too_large_or_absent_are_refused(self) -> None:
        for text in (b"\xff", b"name = a1", b"[log]\n[log]\n", b"[", b"x" * 2**21):
            loaded = load.load_settings(self.write("bad.ini", text))
            self.assertIsInstance(loaded, problems.SettingsProblems)
        absent = load.load_settings(self.folder / "absent.ini")
        self.assertIsInstance(absent, problems.SettingsProblems)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.sampled_from(FULL.splitlines()), strategies.text(max_size=40)
    )
    def test_any_value_gives_settings_or_problems(self, line: str, text: str) -> None:
        key = line.partition("=")[0]
        loaded = self.load(FULL.replace(line, f"{key}={text}"))
        self.assertIsInstance(loaded, settings.Settings | problems.SettingsProblems)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.binary(max_size=400))
    def test_any_bytes_give_settings_or_problems(self, content: bytes) -> None:
        cut = len(content) % len(FULL)
        mixed = FULL[:cut].encode() + content + FULL[cut:].encode()
        for text in (content, mixed):
            loaded = load.load_settings(self.write("any.ini", text))
            self.assertIsInstance(loaded, settings.Settings | problems.SettingsProblems)


if __name__ == "__main__":
    unittest.main()
