from __future__ import annotations

import os
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[4]
BLOCK = re.compile(r"^```sh\n(.*?)^```$", re.MULTILINE | re.DOTALL)
HEAD = "set -eum\ntrap 'kill $(jobs -p) 2> /dev/null || true' EXIT\n"
PAGE_ADDRESS = "127.0.0.1"
TEST_ADDRESS = f"127.90.{os.getpid() % 250}.1"
TIMEOUT_S = 120


def build_tour_script() -> str:
    text = (ROOT / "README.md").read_text().replace(PAGE_ADDRESS, TEST_ADDRESS)
    return HEAD + "\n".join(BLOCK.findall(text))


class TourTest(unittest.TestCase):
    def test_shell_blocks_of_the_readme_run(self) -> None:
        binaries = pathlib.Path(sys.executable).parent
        path = f"{binaries}:{os.environ['PATH']}"
        with tempfile.TemporaryDirectory() as folder:
            script = pathlib.Path(folder) / "tour.sh"
            script.write_text(build_tour_script())
            process = subprocess.Popen(
                ["bash", str(script)],
                cwd=folder,
                env=os.environ | {"PATH": path},
                stdout=subprocess.PIPE,
                stderr=subprocess.PIPE,
                text=True,
                start_new_session=True,
            )
            try:
                output, errors = process.communicate(timeout=TIMEOUT_S)
            finally:
                process.kill()
        self.assertEqual(0, process.returncode, output + errors)
        expected_answers = '"answers":[{"quoted": {"band": 7}},{"quoted": {"band": 8}}]'
        self.assertEqual(
            2,
            output.count(expected_answers),
            "the job sent twice has the same answers twice",
        )
        self.assertIn('{"quoted": {"band": 9}}', output)
        self.assertIn("1023 stopped", output)


if __name__ == "__main__":
    unittest.main()
