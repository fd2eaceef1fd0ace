"""Describes unexpected errors in the length of one log field."""

from __future__ import annotations

import traceback

# Of the innermost calls, which a field has space for beside the error.
MAX_FRAMES = 3
MAX_ERROR_CHARACTERS = 160


def describe(error: BaseException) -> str:
    """Return the error and, innermost first, the lines that led to it."""
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    places = [
        f"{frame.filename.rpartition('/')[2]}:{frame.lineno} {frame.name}"
        for frame in reversed(frames)
    ]
    text = f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARACTERS]
    return " < ".join((text, *places))
