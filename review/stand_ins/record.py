"""The record of a run: what was sent, answered and run, with times in seconds."""

from __future__ import annotations

import json
import pathlib
import time


class Record:
    """Writes one JSON line an event to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self.start_s = time.monotonic()
        self.file = path.open("w", buffering=1)

    def now_s(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.start_s

    def add(self, event: str, **fields: object) -> None:
        """Write one event."""
        line = {"at": round(self.now_s(), 3), "event": event} | fields
        self.file.write(json.dumps(line) + "\n")
