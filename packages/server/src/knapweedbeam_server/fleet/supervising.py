"""Ends a process if one of its loops fails, so that it restarts as a whole."""

from __future__ import annotations

import collections.abc

import gevent
import gevent.event

from knapweedbeam_server.logs import catalogue, emit, faults


class Supervisor:
    """Runs the loops of a process; sets `failed` once one of them raises."""

    def __init__(self) -> None:
        self.failed = gevent.event.Event()

    def spawn(self, name: str, loop: collections.abc.Callable[[], None]) -> None:
        """Run a loop that must never raise."""
        gevent.spawn(self.run, name, loop)

    def run(self, name: str, loop: collections.abc.Callable[[], None]) -> None:
        """Run a loop; log the error and set `failed` if it raises."""
        try:
            loop()
        except Exception as error:
            described = faults.describe(error)
            emit.emit(catalogue.FLEET_FAILED, loop=name, error=described)
            self.failed.set()
