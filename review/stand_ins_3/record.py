"""What clients, executors and the platform saw, with times, for `record.txt`."""

from __future__ import annotations

import pathlib
import time


class Record:
    """The events of one run."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w")
        self.started_s = time.monotonic()
        self.broken: list[str] = []

    @property
    def now_s(self) -> float:
        """Return the time since the start of the run."""
        return time.monotonic() - self.started_s

    def add(self, text: str) -> None:
        """Write one event."""
        self.file.write(f"{self.now_s:8.3f} {text}\n")
        self.file.flush()

    def add_break(self, rule: str, text: str) -> None:
        """Write that a rule was broken."""
        self.broken.append(text)
        self.add(f"{rule} BROKEN: {text}")
