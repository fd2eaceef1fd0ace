"""Runs the hypothesis tests of the core with changing seeds for some time."""

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
MAX_EXAMPLES = 300


def soak(seconds: float, seed: int) -> int:
    """Run rounds of tests with increasing seeds until the time is over or one fails.

    Returns the exit status. On a failure, prints the seed and the minimal example.
    """
    cases = list(find_cases())
    if not cases:
        progress.log("no hypothesis test found")
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
    """Return every hypothesis test of the core."""
    sys.path.insert(0, str(TESTS))
    loader = unittest.TestLoader()
    for path in sorted(TESTS.rglob("test_*.py")):
        name = ".".join(path.relative_to(TESTS).with_suffix("").parts)
        for case in flatten(loader.loadTestsFromName(name)):
            if get_hypothesis_method(case) is not None:
                yield case


def flatten(suite: typing.Any) -> collections.abc.Iterator[unittest.TestCase]:
    """Return the test cases of nested suites."""
    if isinstance(suite, unittest.TestCase):
        yield suite
        return
    for each in suite:
        yield from flatten(each)


def get_hypothesis_method(case: unittest.TestCase) -> typing.Any:
    """Return the method of a test case if it is a hypothesis test, else None."""
    method = getattr(type(case), case.id().rpartition(".")[2], None)
    if getattr(method, "is_hypothesis_test", False):
        return method
    return None


def run_case(case: unittest.TestCase, seed: int) -> bool:
    """Run a test case with a seed, print its output if it fails, and return success."""
    method = get_hypothesis_method(case)
    settings = hypothesis.settings(
        getattr(method, "_hypothesis_internal_use_settings", None),
        derandomize=False,
        max_examples=MAX_EXAMPLES,
        print_blob=True,
    )
    method._hypothesis_internal_use_settings = settings
    hypothesis.seed(seed)(method)
    output = io.StringIO()
    runner = unittest.TextTestRunner(stream=output)
    passed = runner.run(unittest.TestSuite([case])).wasSuccessful()
    if not passed:
        print(output.getvalue())
    return passed
