"""Run the cores' hypothesis tests with other seeds for a time."""

from __future__ import annotations

import collections.abc
import io
import pathlib
import sys
import time
import typing
import unittest

import hypothesis

from bench import progress

ROOT = pathlib.Path(__file__).resolve().parent.parent
TESTS = ROOT / "packages" / "core" / "tests"
EXAMPLES = 300


def soak(seconds: float, seed: int) -> int:
    """Run rounds with growing seeds until the time is over or a test fails.

    Returns the exit status; a failure prints its seed and the shrunk case.
    """
    cases = list(find_cases())
    if not cases:
        progress.say("no hypothesis test found")
        return 1
    end_s = time.monotonic() + seconds
    rounds = 0
    while time.monotonic() < end_s:
        for case in cases:
            if time.monotonic() >= end_s:
                break
            if not run_case(case, seed + rounds):
                print(f"seed {seed + rounds}: {case.id()} failed")
                return 1
        rounds += 1
    print(f"seeds {seed} to {seed + rounds - 1}: {len(cases)} tests, no failure")
    return 0


def find_cases() -> collections.abc.Iterator[unittest.TestCase]:
    """Return every test of the cores that hypothesis drives."""
    sys.path.insert(0, str(TESTS))
    loader = unittest.TestLoader()
    for path in sorted(TESTS.rglob("test_*.py")):
        name = ".".join(path.relative_to(TESTS).with_suffix("").parts)
        for case in flatten(loader.loadTestsFromName(name)):
            if get_driven(case) is not None:
                yield case


def flatten(suite: typing.Any) -> collections.abc.Iterator[unittest.TestCase]:
    """Return the cases of nested suites."""
    if isinstance(suite, unittest.TestCase):
        yield suite
        return
    for each in suite:
        yield from flatten(each)


def get_driven(case: unittest.TestCase) -> typing.Any:
    """Return what hypothesis drives in a case, or none."""
    method = getattr(type(case), case.id().rpartition(".")[2], None)
    if getattr(method, "is_hypothesis_test", False):
        return method
    return None


def run_case(case: unittest.TestCase, seed: int) -> bool:
    """Run a case with a seed; print what failed."""
    driven = get_driven(case)
    own = hypothesis.settings(
        getattr(driven, "_hypothesis_internal_use_settings", None),
        derandomize=False,
        max_examples=EXAMPLES,
        print_blob=True,
    )
    driven._hypothesis_internal_use_settings = own
    hypothesis.seed(seed)(driven)
    output = io.StringIO()
    runner = unittest.TextTestRunner(stream=output)
    passed = runner.run(unittest.TestSuite([case])).wasSuccessful()
    if not passed:
        print(output.getvalue())
    return passed
