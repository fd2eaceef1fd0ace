"""Counters, gauges and latency histograms of one process, as Prometheus text."""

from __future__ import annotations

import prometheus_client
import prometheus_client.exposition

from knapweedbeam_core.pool import dispatcher

# Bounds in seconds: objectives lie between 0.1 and 2 s, lost callers at 3 s.
TIME_BUCKETS = (0.02, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 1.5, 2.5, 4.0)
# Queues come and go with manifests; more of them than this share one label.
MAX_QUEUES = 200
OTHER_QUEUES = "(other)"


class Telemetry:
    """The metrics of one process in a registry of its own."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.queues: set[str] = set()
        self.answers = prometheus_client.Counter(
            "knapweedbeam_answers",
            "Final answers to callers, by queue and status.",
            ["queue", "status"],
            registry=self.registry,
        )
        self.answer_seconds = prometheus_client.Histogram(
            "knapweedbeam_answer_seconds",
            "Time from a caller's request to its final answer, by queue.",
            ["queue"],
            registry=self.registry,
            buckets=TIME_BUCKETS,
        )
        self.decisions = prometheus_client.Counter(
            "knapweedbeam_decisions",
            "Decisions of the dispatcher and changes of belief, by kind of event.",
            ["event"],
            registry=self.registry,
        )
        self.orders = prometheus_client.Counter(
            "knapweedbeam_orders",
            "Orders to endpoints, by kind and end.",
            ["order", "end"],
            registry=self.registry,
        )
        self.waiting = self.build_gauge("jobs_waiting", "Jobs with waiting tasks.")
        self.open = self.build_gauge("jobs_open", "Jobs held open for callers.")
        self.held = self.build_gauge("endpoints_held", "Endpoints held.")
        self.used = self.build_gauge("room_used", "Share of held room in use.")
        self.members = self.build_gauge("members_live", "Other processes heard.")
        self.version = self.build_gauge("manifest_version", "Manifest in force.")

    def build_gauge(self, name: str, text: str) -> prometheus_client.Gauge:
        """Return a gauge of this process."""
        return prometheus_client.Gauge(
            f"knapweedbeam_{name}", text, registry=self.registry
        )

    def count_answer(self, queue: str, status: int, took_ms: int) -> None:
        """Count a final answer."""
        if queue not in self.queues:
            if len(self.queues) >= MAX_QUEUES:
                queue = OTHER_QUEUES
            self.queues.add(queue)
        self.answers.labels(queue, str(status)).inc()
        self.answer_seconds.labels(queue).observe(took_ms / 1_000)

    def note_event(self, name: str) -> None:
        """Count a decision."""
        self.decisions.labels(name).inc()

    def note_order(self, order: str, end: str) -> None:
        """Count an order to an endpoint."""
        self.orders.labels(order, end).inc()

    def measure(self, own: dispatcher.Dispatcher) -> None:
        """Take the levels of the dispatcher."""
        self.waiting.set(sum(bool(job.waiting) for job in own.jobs.values()))
        self.held.set(sum(known.is_held for known in own.endpoints.values()))
        self.used.set(own.get_used_share())

    def render(self) -> bytes:
        """Return all metrics as text."""
        return prometheus_client.exposition.generate_latest(self.registry)
