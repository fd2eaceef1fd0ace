"""Counters and gauges sent to statsd; counts are summed between flushes."""

from __future__ import annotations

import enum
import typing

import statsd

from knapweedbeam_server.config import settings


class Counter(enum.StrEnum):
    """The counters; the value is the metric's name."""

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
    """The gauges; the value is the metric's name."""

    JOBS_HELD = "jobs.held"
    REQUESTS_OPEN = "requests.open"
    PEERS_UP = "links.peers_up"
    BUNDLE_VERSION = "bundle.version"


class Metrics:
    """Metrics of this process; nothing is sent if no server is configured.

    A count costs one dict access: the shell calls `flush` about once a second, which
    sends everything in a few datagrams.
    """

    def __init__(self, configured: settings.Metrics) -> None:
        self.client = build_client(configured)
        self.counts: dict[Counter, int] = {}
        self.gauges: dict[Gauge, int] = {}

    def count(self, counter: Counter, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[counter] = self.counts.get(counter, 0) + amount

    def set_gauge(self, gauge: Gauge, value: int) -> None:
        """Set a gauge."""
        self.gauges[gauge] = value

    def flush(self) -> None:
        """Send the counts since the last flush and the gauges that were set."""
        counts, self.counts = self.counts, {}
        gauges, self.gauges = self.gauges, {}
        if self.client is None:
            return
        with self.client.pipeline() as pipeline:
            for counter, amount in counts.items():
                pipeline.incr(counter, amount)
            for gauge, value in gauges.items():
                pipeline.gauge(gauge, value)


def build_client(configured: settings.Metrics) -> typing.Any:
    """Return a client for the configured server, or None if there is none."""
    address = configured.statsd
    if address is None:
        return None
    is_ipv6 = ":" in address.host
    return statsd.StatsClient(
        address.host, address.port, prefix=configured.prefix, ipv6=is_ipv6
    )
