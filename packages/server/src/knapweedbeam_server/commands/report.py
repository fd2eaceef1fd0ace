"""Print problems of settings for people and for scripts."""

from __future__ import annotations

import sys

import msgspec

from knapweedbeam_server.config import problems


def print_problems(found: tuple[problems.Problem, ...]) -> None:
    """Print one line for each problem to stderr."""
    for problem in found:
        print(problem, file=sys.stderr)


def print_json(found: tuple[problems.Problem, ...]) -> None:
    """Print all problems to stdout as one JSON object."""
    valid = not problems.has_error(found)
    body = msgspec.json.encode({"valid": valid, "problems": found})
    print(body.decode())
