"""Writes what a replica persists, and waits while the disk is full.

Nothing of a batch is acknowledged before it is on disk, so a replica whose disk is full
only falls silent in the log. It must come back by itself once there is room: disks that
are full one after another would otherwise stop a replica each until no quorum is left.
"""

from __future__ import annotations

import collections.abc
import typing

import gevent

from knapweedbeam_core import clock
from knapweedbeam_core.entry import parts
from knapweedbeam_wire.store import store

RETRY_INTERVAL_MS = 500


class DataStore(typing.Protocol):
    """The methods of a store that are used here."""

    def apply(self, persist: parts.Persist) -> store.StoreFailure | None:
        """Write and sync a batch."""

    def reopen(self) -> store.StoreFailure | None:
        """Open the folder again after a failure."""


class LogWriter:
    """Writes batches in order; a full disk delays them, any other failure ends it.

    `hand_over` is called when the disk is found full, `report` with 0 and the failure
    then, and with the time waited in milliseconds once there is room again.
    """

    def __init__(
        self,
        data_store: DataStore,
        hand_over: collections.abc.Callable[[], None],
        report: collections.abc.Callable[[int, str], None],
    ) -> None:
        self.data_store = data_store
        self.hand_over = hand_over
        self.report = report

    def write(self, persist: parts.Persist) -> store.StoreFailure | None:
        """Write one batch; return the failure that ends the use of the folder."""
        failure = self.data_store.apply(persist)
        if failure is None or failure.fault != store.Fault.FULL:
            return failure
        self.report(0, failure.detail)
        self.hand_over()
        waited_ms = 0
        while failure is not None and failure.fault == store.Fault.FULL:
            gevent.sleep(RETRY_INTERVAL_MS / clock.SECOND_MS)
            waited_ms += RETRY_INTERVAL_MS
            failure = self.data_store.reopen() or self.data_store.apply(persist)
        if failure is None:
            self.report(waited_ms, "")
        return failure
