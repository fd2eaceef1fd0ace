"""Counters, gauges and latency histograms of one process in Prometheus format."""

from __future__ import annotations

import prometheus_client
import prometheus_client.exposition

from knapweedbeam_core.pool import log_events, shards
from knapweedbeam_server.fleet import loop_monitor

# Objectives lie between 0.1 and 2 s; callers are lost after 3 s.
ANSWER_TIME_BUCKETS_S = (0.02, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 1.5, 2.5, 4.0)
# Manifests add and remove queues; all queues beyond this number share one label.
MAX_QUEUE_LABELS = 200
OTHER_QUEUES_LABEL = "(other)"


class Telemetry:
    """The metrics of one process, in a separate registry."""

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
            buckets=ANSWER_TIME_BUCKETS_S,
        )
        self.decisions = prometheus_client.Counter(
            "knapweedbeam_decisions",
            "Decisions of the dispatcher and changes of belief, by kind of event.",
            ["event"],
            registry=self.registry,
        )
        self.stops = prometheus_client.Counter(
            "knapweedbeam_stops",
            "Stops of attempts, by reason; not those because a job ended.",
            ["reason"],
            registry=self.registry,
        )
        self.room_refusals = prometheus_client.Counter(
            "knapweedbeam_room_refusals",
            "Jobs refused while a service was short of room, by domain of the callers.",
            ["domain"],
            registry=self.registry,
        )
        self.room_starts = prometheus_client.Counter(
            "knapweedbeam_room_starts",
            "Jobs started while a service was short of room, by domain of the callers.",
            ["domain"],
            registry=self.registry,
        )
        self.claims = prometheus_client.Counter(
            "knapweedbeam_claims",
            "Attempts of another token that a job claimed.",
            registry=self.registry,
        )
        self.endpoint_calls = prometheus_client.Counter(
            "knapweedbeam_orders",
            "Orders to endpoints, by kind and end.",
            ["order", "end"],
            registry=self.registry,
        )
        self.refused_beyond = prometheus_client.Counter(
            "knapweedbeam_refused_by_processor",
            "Jobs refused because the dispatcher's processor is full.",
            registry=self.registry,
        )
        self.waiting_jobs = self.build_gauge("jobs_waiting", "Jobs with waiting tasks.")
        self.open_jobs = self.build_gauge("jobs_open", "Jobs held open for callers.")
        self.held_endpoints = self.build_gauge("endpoints_held", "Endpoints held.")
        self.used_capacity = self.build_gauge("room_used", "Share of held room in use.")
        self.live_members = self.build_gauge("members_live", "Other processes heard.")
        self.loop_lag = self.build_gauge(
            "loop_lag_ms", "Longest delay of the event loop in the last second."
        )
        self.cpu_share = self.build_gauge(
            "cpu_share", "CPU time of the process in the last second."
        )
        self.manifest_version = self.build_gauge(
            "manifest_version", "Manifest in force."
        )
        self.evacuated_domains = self.build_gauge(
            "evacuated_domains", "Failure domains that are evacuated."
        )
        self.evacuated_tasks = self.build_gauge(
            "evacuated_tasks", "Waiting tasks that fit only where it is evacuated."
        )
        self.evacuation_refusals = prometheus_client.Counter(
            "knapweedbeam_evacuation_refusals",
            "Jobs refused as they fit only where it is evacuated.",
            registry=self.registry,
        )

    def build_gauge(self, name: str, text: str) -> prometheus_client.Gauge:
        """Return a gauge of this process."""
        return prometheus_client.Gauge(
            f"knapweedbeam_{name}", text, registry=self.registry
        )

    def count_answer(self, queue: str, status: int, took_ms: int) -> None:
        """Count a final answer."""
        if queue not in self.queues:
            if len(self.queues) >= MAX_QUEUE_LABELS:
                queue = OTHER_QUEUES_LABEL
            self.queues.add(queue)
        self.answers.labels(queue, str(status)).inc()
        self.answer_seconds.labels(queue).observe(took_ms / 1_000)

    def count_event(self, name: str) -> None:
        """Count a decision."""
        self.decisions.labels(name).inc()

    def count_run_event(self, log_event: log_events.LogEvent) -> None:
        """Count stops, claims, and what was refused by processor or room."""
        match log_event:
            case log_events.AttemptStopped():
                self.stops.labels(log_event.reason).inc()
            case log_events.AttemptClaimed():
                self.claims.inc()
            case log_events.ProcessorFull():
                self.refused_beyond.inc(log_event.refused)
            case log_events.RoomShared():
                self.room_refusals.labels(log_event.domain).inc(log_event.refused)
                self.room_starts.labels(log_event.domain).inc(log_event.started)

    def count_call(self, kind: str, outcome: str) -> None:
        """Count a call to an endpoint."""
        self.endpoint_calls.labels(kind, outcome).inc()

    def update_gauges(self, owner: shards.ShardedDispatcher) -> None:
        """Update the gauges that depend on the dispatchers."""
        self.waiting_jobs.set(owner.count_waiting_jobs())
        self.held_endpoints.set(owner.count_held_endpoints())
        self.used_capacity.set(owner.get_used_share())
        self.evacuated_tasks.set(owner.count_evacuated_tasks())

    def set_loop_load(self, load: loop_monitor.LoopLoad) -> None:
        """Set the gauges of the event loop."""
        self.loop_lag.set(max(load.timer_lag_ms, load.wake_lag_ms))
        self.cpu_share.set(load.cpu_ms / max(1, load.window_ms))

    def render(self) -> bytes:
        """Return all metrics as text."""
        return prometheus_client.exposition.generate_latest(self.registry)
