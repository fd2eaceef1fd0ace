"""Counters and gauges by statsd, summed up between two flushes."""

from __future__ import annotations

import enum
import typing

import statsd

from knapweedbeam_server.config import settings


class Counter(enum.StrEnum):
    """What is counted; the value is the metric's name."""

    JOBS_TAKEN = "jobs.taken"
    JOBS_COMPLETE = "jobs.complete"
    JOBS_NOT_RUN = "jobs.not_run"
    JOBS_FAILED = "jobs.failed"
    TASKS_STARTED = "tasks.started"
    TASKS_ANSWERED = "tasks.answered"
    TASKS_NOT_STARTED = "tasks.not_started"
    TASKS_FAILED = "tasks.failed"
    TASKS_STOPPED = "tasks.stopped"


class Gauge(enum.StrEnum):
    """What has a level; the value is the metric's name."""

    JOBS_HELD = "jobs.held"
    REQUESTS_OPEN = "requests.open"
    PEERS_UP = "links.peers_up"
    BUNDLE_VERSION = "bundle.version"


class Metrics:
    """Metrics of this process; silent where no server is set.

    The shell calls `flush` about once a second: a few datagrams carry it all, so a
    count costs a dict access.
    """

    def __init__(self, configured: settings.Metrics) -> None:
        self.client = build_client(configured)
        self.counts: dict[Counter, int] = {}
        self.levels: dict[Gauge, int] = {}

    def count(self, counter: Counter, by: int = 1) -> None:
        """Add to a counter."""
        self.counts[counter] = self.counts.get(counter, 0) + by

    def set_level(self, gauge: Gauge, level: int) -> None:
        """Set a gauge."""
        self.levels[gauge] = level

    def flush(self) -> None:
        """Send what was counted since the last flush."""
        counts, self.counts = self.counts, {}
        levels, self.levels = self.levels, {}
        if self.client is None:
            return
        with self.client.pipeline() as pipeline:
            for counter, by in counts.items():
                pipeline.incr(counter, by)
            for gauge, level in levels.items():
                pipeline.gauge(gauge, level)


def build_client(configured: settings.Metrics) -> typing.Any:
    """Return the client for the configured server, or none."""
    address = configured.statsd
    if address is None:
        return None
    is_ipv6 = ":" in address.host
    return statsd.StatsClient(
        address.host, address.port, prefix=configured.prefix, ipv6=is_ipv6
    )
