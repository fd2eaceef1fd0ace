"""Run the tests of all packages and print a summary line.

The tests listed in KNOWN-RED.txt may fail; they are printed but not counted as failed.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SUITES = (
    "packages/core",
    "packages/wire",
    "packages/server",
    "packages/ctl",
    "platform",
    "bench",
)
# The platform's tests import modules of the soak, which is a folder and not a package.
SOAK = ROOT / "platform" / "soak"
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
SUITE_TIMEOUT_S = 400
RAN = re.compile(r"^Ran (\d+) tests? in", re.MULTILINE)
BROKEN = re.compile(r"^(?:FAIL|ERROR): (.+)$", re.MULTILINE)


@dataclasses.dataclass(frozen=True, slots=True)
class SuiteResult:
    """The result of one package's tests, with their output."""

    suite: str
    ran: int
    broken: tuple[str, ...]
    output: str


def get_known_red() -> frozenset[str]:
    """Return the test names in KNOWN-RED.txt, one in each `test:` line."""
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return frozenset(
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    )


def run_suite(suite: str) -> SuiteResult:
    """Run one package's tests in a separate process."""
    start = ROOT / suite / "tests"
    command = [sys.executable, "-m", "nose2", "-s", str(start), "-t", str(start)]
    paths = os.pathsep.join((str(ROOT), str(SOAK)))
    environment = os.environ | {"PYTHONPATH": paths, "PYTHONHASHSEED": "0"}
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            capture_output=True,
            text=True,
            timeout=SUITE_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired as late:
        return SuiteResult(suite, 0, (f"{suite} timed out",), str(late.stderr))
    output = done.stdout + done.stderr
    ran = RAN.search(output)
    broken = tuple(BROKEN.findall(output))
    if done.returncode and not broken:
        broken = (f"{suite} exited with {done.returncode}",)
    return SuiteResult(suite, int(ran.group(1)) if ran else 0, broken, output)


def main() -> int:
    """Run all suites in parallel and return the exit status."""
    known_red = get_known_red()
    with concurrent.futures.ThreadPoolExecutor(len(SUITES)) as pool:
        results = list(pool.map(run_suite, SUITES))
    failed = 0
    passed = 0
    for result in results:
        new = [name for name in result.broken if name not in known_red]
        passed += result.ran - min(result.ran, len(result.broken))
        failed += len(new)
        print(f"{result.suite}: {result.ran} ran, {len(result.broken)} broken")
        if new:
            print(result.output)
        for name in result.broken:
            if name in known_red:
                print(f"known red: {name}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
