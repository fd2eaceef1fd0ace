"""Child processes of the bench, which it ends by their process ids."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import time

import gevent

ROOT = pathlib.Path(__file__).resolve().parent.parent
POLL_INTERVAL_S = 0.02
KILL_TIMEOUT_S = 2.0
LOG_TAIL_LINES = 12
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """CPU time in seconds and resident memory in bytes of a process."""

    cpu_s: float
    memory_bytes: int


class Child:
    """One child process, whose output goes to a log file."""

    def __init__(self, arguments: list[str], log: pathlib.Path) -> None:
        self.log = log
        with log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env=os.environ | {"PYTHONFAULTHANDLER": "1"},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process still runs."""
        return self.process.poll() is None

    def get_log_tail(self) -> str:
        """Return the last lines of the process's output."""
        lines = self.log.read_text(errors="replace").splitlines()
        return "\n".join(lines[-LOG_TAIL_LINES:])

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.is_running:
            self.process.send_signal(number)

    def wait(self, timeout_s: float) -> int | None:
        """Wait for the process to end and return its exit status.

        Returns `None` if it still runs after the timeout.
        """
        end_s = time.monotonic() + timeout_s
        while self.is_running and time.monotonic() < end_s:
            gevent.sleep(POLL_INTERVAL_S)
        return self.process.poll()

    def terminate(self, timeout_s: float) -> int | None:
        """Send SIGTERM, then SIGKILL if the process still runs after the timeout.

        Returns the exit status, or `None` if SIGKILL was sent.
        """
        self.send_signal(signal.SIGTERM)
        status = self.wait(timeout_s)
        if status is None:
            self.send_signal(signal.SIGKILL)
            self.wait(KILL_TIMEOUT_S)
        return status

    def get_usage(self) -> Usage:
        """Return the usage of a running process so far; zeros after its end."""
        folder = pathlib.Path("/proc") / str(self.process.pid)
        try:
            fields = (folder / "stat").read_text().rpartition(")")[2].split()
            pages = int((folder / "statm").read_text().split()[1])
        except (OSError, IndexError):
            return Usage(0.0, 0)
        ticks = int(fields[11]) + int(fields[12])
        return Usage(ticks / TICKS_PER_S, pages * PAGE_BYTES)
