"""Progress messages on stderr; stdout is reserved for the result."""

from __future__ import annotations

import sys
import time

STARTED_S = time.monotonic()


def log(text: str) -> None:
    """Print a line with the seconds since the start."""
    print(
        f"[{time.monotonic() - STARTED_S:5.1f} s] {text}", file=sys.stderr, flush=True
    )
