"""Runs one case and ends with its exit code.

0 means that the rule held, 1 that it was broken, 2 that the case could not run.
"""

from __future__ import annotations

import asyncio
import collections.abc
import os
import pathlib
import signal
import sys
import traceback

from stand_ins import record

LIMIT_S = 115.0
Play = collections.abc.Callable[
    [record.Record, bool], collections.abc.Awaitable[list[str]]
]


def main(folder: pathlib.Path, play: Play) -> None:
    """Play a case and exit; `play` returns the breaks of the rule that it saw."""
    rec = record.Record(folder / "record.txt")
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    rec.add("begin", trouble=is_troubled)
    try:
        breaks = asyncio.run(play_limited(rec, play, is_troubled))
    except (Exception, asyncio.CancelledError) as error:
        traceback.print_exc()
        rec.add("cannot run", why=repr(error))
        sys.exit(2)
    for text in breaks:
        rec.add("break", what=text)
    rec.add("verdict", breaks=len(breaks))
    print(f"{len(breaks)} breaks" + "".join(f"\n  {text}" for text in breaks[:5]))
    sys.exit(1 if breaks else 0)


async def play_limited(rec: record.Record, play: Play, is_troubled: bool) -> list[str]:
    """Play a case within the time limit; a SIGTERM ends it with all its processes."""
    playing = asyncio.current_task()
    assert playing is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
    async with asyncio.timeout(LIMIT_S):
        return await play(rec, is_troubled)
