"""Keeps the known endpoints over a restart of all processes.

Fault scenario: all processes of a deployment lose power or are killed while its
endpoints run on. Each of them announces itself again only after its interval, and the
deployment was divided among several dispatchers. A core VM that remembers both serves
callers a second or two sooner.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import pathlib
import typing

import gevent

from knapweedbeam_core import clock
from knapweedbeam_core.fleet import sharding
from knapweedbeam_core.pool import messages, shards
from knapweedbeam_server.logs import catalogue, emit, faults
from knapweedbeam_wire.store import endpoint_file

SAVE_INTERVAL_S = 2.0
# The file is written this often if nothing changed, so that its age is known.
REFRESH_MS = 20_000
# After a longer pause most endpoints have announced themselves elsewhere or are gone.
# Those that do not answer are forgotten as after any silence.
MAX_AGE_MS = 60_000


class Host(typing.Protocol):
    """The parts and methods of the process that are used here."""

    clock: clock.Clock
    shards: shards.ShardedDispatcher
    sharding: sharding.Sharding

    def run(self, produced: collections.abc.Sequence[typing.Any]) -> None:
        """Carry out a dispatcher's effects."""


class EndpointMemory:
    """Writes the known endpoints to a data folder, and reads them at the start."""

    def __init__(self, host: Host, folder: pathlib.Path) -> None:
        self.host = host
        self.folder = folder
        self.saved: frozenset[messages.EndpointNews] = frozenset()
        self.saved_count = 0
        self.saved_ms = -REFRESH_MS

    def recall(self) -> None:
        """Add the endpoints that this process knew before its restart."""
        known = endpoint_file.read(self.folder)
        if known is None:
            return
        age_ms = max(0, self.host.clock.wall_ms() - known.saved_ms)
        emit.emit(
            catalogue.ENDPOINTS_RECALLED,
            endpoints=len(known.endpoints),
            shards=known.shard_count,
            age_ms=age_ms,
            used=age_ms <= MAX_AGE_MS,
        )
        if age_ms > MAX_AGE_MS:
            return
        if known.endpoints_per_shard == self.host.sharding.endpoints_per_shard:
            self.host.sharding.recalled_count = known.shard_count
        for news in known.endpoints:
            older = dataclasses.replace(news, age_ms=news.age_ms + age_ms)
            self.host.run(self.host.shards.on_announcement(older))

    def save_forever(self) -> None:
        """Write the file whenever the endpoints or their division have changed."""
        while True:
            gevent.sleep(SAVE_INTERVAL_S)
            try:
                self.save()
            except Exception as error:
                # Nothing relies on the file, so this ends no process.
                emit.emit(
                    catalogue.DECISION_FAILED,
                    step="save",
                    subject="known endpoints",
                    error=faults.describe(error),
                )

    def save(self) -> None:
        """Write the file if it is due; a full or broken disk is tried again."""
        announced = self.host.shards.list_announcements()
        seen = frozenset(
            dataclasses.replace(news, sequence=0, clock_ms=0, age_ms=0)
            for news in announced
        )
        count = self.host.sharding.get_known_count()
        now_ms = self.host.clock.now_ms()
        is_same = (seen, count) == (self.saved, self.saved_count)
        if not seen or (is_same and now_ms - self.saved_ms < REFRESH_MS):
            return
        known = endpoint_file.KnownEndpoints(
            self.host.clock.wall_ms(),
            count,
            self.host.sharding.endpoints_per_shard,
            tuple(announced),
        )
        pool = gevent.get_hub().threadpool
        if pool.apply(endpoint_file.write, (self.folder, known)):
            self.saved, self.saved_count, self.saved_ms = seen, count, now_ms
