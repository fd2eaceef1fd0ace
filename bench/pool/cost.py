"""Counts the lines of the dispatcher's code that a run executes.

The number of lines is the same on every machine, unlike a time, and shows whether the
cost of a decision grows with the size of a deployment.
"""

from __future__ import annotations

import collections.abc
import pathlib
import sys
import types
import typing

from knapweedbeam_core import pool

FOLDER = str(pathlib.Path(str(pool.__file__)).parent)


def count_lines(run: collections.abc.Callable[[], None]) -> int:
    """Return how many lines of `knapweedbeam_core.pool` a call of `run` executes."""
    count = 0

    def count_line(frame: types.FrameType, event: str, _: typing.Any) -> typing.Any:
        nonlocal count
        count += event == "line"
        return count_line

    def trace(frame: types.FrameType, event: str, _: typing.Any) -> typing.Any:
        return count_line if frame.f_code.co_filename.startswith(FOLDER) else None

    sys.settrace(trace)
    try:
        run()
    finally:
        sys.settrace(None)
    return count
