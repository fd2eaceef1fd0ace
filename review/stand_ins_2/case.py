"""Plays one case: exit code 1 if the rule was broken, 0 if it held, 2 otherwise."""

from __future__ import annotations

import asyncio
import collections.abc
import os
import pathlib
import shutil
import sys
import traceback

import deployment
import recording

LIMIT_S = 110.0
# Returns what broke the rule, one line for each break.
Play = collections.abc.Callable[
    [recording.Record, bool], collections.abc.Awaitable[list[str]]
]


async def play_and_clean_up(
    play: Play, record: recording.Record, is_troubled: bool
) -> list[str]:
    """Play the case within its time."""
    async with asyncio.timeout(LIMIT_S):
        return await play(record, is_troubled)


def run(play: Play, folder: pathlib.Path) -> None:
    """Play the case, write `record.txt` and exit."""
    record = recording.Record(folder / "record.txt")
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record.write("trouble" if is_troubled else "no trouble")
    try:
        broken = asyncio.run(play_and_clean_up(play, record, is_troubled))
    except Exception:
        record.write("the case could not run")
        record.file.write(traceback.format_exc())
        record.close()
        traceback.print_exc()
        sys.exit(2)
    for line in broken:
        record.write("broken:", line)
    record.write("result:", "broken" if broken else "held")
    record.close()
    print("\n".join(broken[:5]) or "the rule held")
    sys.exit(1 if broken else 0)


def remove_folder(played: deployment.Deployment) -> None:
    """Remove the temporary folder of a deployment, unless it is to be kept."""
    if os.environ.get("KEEP"):
        print(played.folder)
        return
    shutil.rmtree(played.folder, ignore_errors=True)
