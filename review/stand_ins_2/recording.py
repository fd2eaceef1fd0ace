"""The record of a case: what was sent, answered and run, with times."""

from __future__ import annotations

import pathlib
import time


class Record:
    """Lines with the seconds since the start of the case."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w")
        self.start_s = time.monotonic()

    def write(self, *fields: object) -> None:
        """Write one line."""
        passed_s = time.monotonic() - self.start_s
        text = " ".join(str(field) for field in fields)
        self.file.write(f"{passed_s:9.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()
