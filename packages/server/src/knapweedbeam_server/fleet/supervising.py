"""Ends a process whose loops fail, so that it starts afresh and not half alive."""

from __future__ import annotations

import collections.abc
import traceback

import gevent
import gevent.event

from knapweedbeam_server.logs import catalogue, emit

# Enough of a traceback to find the line.
MAX_TRACE = 2_000


class Supervisor:
    """Runs the loops of a process; `failed` is set once one of them raised."""

    def __init__(self) -> None:
        self.failed = gevent.event.Event()

    def spawn(self, name: str, loop: collections.abc.Callable[[], None]) -> None:
        """Run a loop that is never to end by an exception."""
        gevent.spawn(self.run, name, loop)

    def run(self, name: str, loop: collections.abc.Callable[[], None]) -> None:
        """Run a loop and report what ended it."""
        try:
            loop()
        except Exception:
            trace = traceback.format_exc()[-MAX_TRACE:]
            emit.emit(catalogue.FLEET_FAILED, loop=name, error=trace)
            self.failed.set()
