"""A stream for log lines that never blocks and holds a bounded number of them."""

from __future__ import annotations

import collections
import contextlib
import os

# A reader that stalls for some seconds of usual volume loses nothing.
MAX_BUFFERED_LINES = 5_000


class BufferedStream:
    """Gathers lines and writes them to a descriptor when it takes them.

    `drain` is to be called often; when the reader stalls and the buffer is full, new
    lines are dropped and counted.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lines: collections.deque[bytes] = collections.deque()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Take a line."""
        if len(self.lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
        else:
            self.lines.append(text.encode())
        return len(text)

    def flush(self) -> None:
        """Do nothing: `drain` writes."""

    def drain(self) -> None:
        """Write what the descriptor takes now."""
        if not self.lines:
            return
        if self.dropped:
            self.lines.append(b'{"dropped_lines":%d}\n' % self.dropped)
            self.dropped = 0
        data = b"".join(self.lines)
        self.lines.clear()
        written = 0
        # A reader that is full is tried again at the next call.
        with contextlib.suppress(BlockingIOError):
            written = os.write(self.descriptor, data)
        if written < len(data):
            self.lines.append(data[written:])
