"""Check settings, print an example file, create a secret."""

from __future__ import annotations

import base64
import os
import pathlib
import secrets
import sys

from knapweedbeam_server.commands import exit_codes, report
from knapweedbeam_server.config import example, load, options, problems

SECRET_MODE = 0o600


def check(path: pathlib.Path, as_json: bool) -> int:
    """Print all problems of a settings file; return the exit status."""
    loaded = load.load_with_problems(path)
    if as_json:
        report.print_json(loaded.problems)
    else:
        report.print_problems(loaded.problems)
    if problems.has_error(loaded.problems):
        return exit_codes.INVALID_SETTINGS
    if not as_json:
        print(f"{path}: valid")
    return exit_codes.OK


def print_example() -> int:
    """Print a settings file with every key, its default and its meaning."""
    print(example.build_example(), end="")
    return exit_codes.OK


def create_secret(path: pathlib.Path) -> int:
    """Write a new random secret to a new file that only its owner can read."""
    text = base64.b64encode(secrets.token_bytes(options.KEY_BYTES)) + b"\n"
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with os.fdopen(os.open(path, flags, SECRET_MODE), "wb") as file:
            file.write(text)
    except OSError as error:
        print(f"error: {path}: {error.strerror}", file=sys.stderr)
        return exit_codes.CANNOT_WRITE
    return exit_codes.OK
