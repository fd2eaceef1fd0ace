"""Print the problems of settings as text or JSON."""

from __future__ import annotations

import sys

import msgspec

from knapweedbeam_server.config import problems


def print_problems(settings_problems: tuple[problems.Problem, ...]) -> None:
    """Print one line for each problem to stderr."""
    for problem in settings_problems:
        print(problem, file=sys.stderr)


def print_json(settings_problems: tuple[problems.Problem, ...]) -> None:
    """Print all problems to stdout as one JSON object."""
    valid = not problems.has_error(settings_problems)
    body = msgspec.json.encode({"valid": valid, "problems": settings_problems})
    print(body.decode())
