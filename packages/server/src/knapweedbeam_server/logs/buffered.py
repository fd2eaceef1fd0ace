"""A stream for log lines that never blocks and holds a bounded number of them."""

from __future__ import annotations

import collections
import contextlib
import os

# Enough for a reader that stalls for a few seconds at the usual volume.
MAX_BUFFERED_LINES = 5_000
# Pipes accept writes of up to this size as a whole; longer ones may be cut in a line.
MAX_WRITE_BYTES = 4_096


class BufferedStream:
    """Buffers lines and writes them when the descriptor can accept them.

    `drain` must be called often. If the reader stalls until the buffer is full, new
    lines are dropped and counted.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lines: collections.deque[bytes] = collections.deque()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Buffer a line, or drop and count it if the buffer is full."""
        if len(self.lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
        else:
            self.lines.append(text.encode())
        return len(text)

    def flush(self) -> None:
        """Do nothing: `drain` does the writing."""

    def drain(self) -> None:
        """Write as much as the descriptor accepts now."""
        if not self.lines:
            return
        if self.dropped:
            self.lines.append(b'{"dropped_lines":%d}\n' % self.dropped)
            self.dropped = 0
        # A descriptor that would block is tried again at the next call.
        with contextlib.suppress(BlockingIOError):
            while self.lines:
                self.write_chunk()

    def write_chunk(self) -> None:
        """Write the next lines, as many as are written as a whole, or a part of one."""
        chunk = self.lines[0]
        count = 1
        while count < len(self.lines) and (
            len(chunk) + len(self.lines[count]) <= MAX_WRITE_BYTES
        ):
            chunk += self.lines[count]
            count += 1
        written = os.write(self.descriptor, chunk)
        for _ in range(count):
            self.lines.popleft()
        if written < len(chunk):
            self.lines.appendleft(chunk[written:])
