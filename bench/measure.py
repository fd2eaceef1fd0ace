"""Results of one phase of load: responses against the ideal, messages and cost."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import statistics
import typing

from bench import children, client, ideal, trace
from knapweedbeam_core import clock
from knapweedbeam_server import history

PAYLOAD_KINDS = frozenset({"SubmitJob", "TicketAnswered"})
P99 = 0.99
MIB = 2**20


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Messages by kind, frames and bytes that the links of all entry VMs sent."""

    messages: dict[str, int]
    frames: int
    frame_bytes: int

    def minus(self, earlier: Traffic) -> Traffic:
        """Return the traffic since `earlier`."""
        messages = collections.Counter(self.messages)
        messages.subtract(earlier.messages)
        return Traffic(
            dict(messages),
            self.frames - earlier.frames,
            self.frame_bytes - earlier.frame_bytes,
        )


def sum_traffic(
    statuses: collections.abc.Iterable[dict[str, typing.Any]],
) -> Traffic:
    """Return the total traffic of several entry VMs from their statuses."""
    messages: collections.Counter[str] = collections.Counter()
    frames = frame_bytes = 0
    for status in statuses:
        sent = status.get("links", {}).get("sent", {})
        messages.update(sent.get("messages", {}))
        frames += sent.get("frames", 0)
        frame_bytes += sent.get("frame_bytes", 0)
    return Traffic(dict(messages), frames, frame_bytes)


@dataclasses.dataclass(frozen=True, slots=True)
class PhaseResult:
    """Result of one phase: job results, their ideal responses, traffic and cost."""

    name: str
    seconds: float
    results: tuple[client.JobResult, ...]
    ideal: ideal.Responses
    traffic: Traffic
    usage: tuple[children.Usage, ...]
    host_cpu_s: float
    max_send_delay_ms: float

    def get_complete_jobs(self, job_class: str = "") -> list[client.JobResult]:
        """Return the jobs with outcome complete, of one class or of all."""
        return [
            result
            for result in self.results
            if result.outcome == history.OutcomeKind.COMPLETE
            and job_class in ("", result.job_class)
        ]

    @property
    def tasks(self) -> int:
        """Return the number of tasks of the complete jobs."""
        return sum(result.tasks for result in self.get_complete_jobs())

    def get_mean(self, members: frozenset[str] = frozenset()) -> float:
        """Return the mean response in milliseconds, of some members' jobs or of all."""
        return mean(
            result.response_ms
            for result in self.get_complete_jobs()
            if not members or result.member in members
        )

    def get_slowdown(self) -> float:
        """Return the mean response divided by the mean ideal response."""
        complete = self.get_complete_jobs()
        return divide(
            mean(result.response_ms for result in complete),
            mean(self.ideal[result.number] for result in complete),
        )

    def get_p99_ratio(self, job_class: str) -> float:
        """Return the 99th percentile of a class's responses divided by its ideal's."""
        complete = self.get_complete_jobs(job_class)
        return divide(
            get_percentile([result.response_ms for result in complete], P99),
            get_percentile([self.ideal[result.number] for result in complete], P99),
        )

    def count(self, outcome: str) -> int:
        """Return how many jobs ended with an outcome; an empty one means given up."""
        return sum(result.outcome == outcome for result in self.results)

    def count_coordination_messages(self) -> int:
        """Return the number of messages that carry neither a task nor its answer."""
        return sum(
            count
            for kind, count in self.traffic.messages.items()
            if kind not in PAYLOAD_KINDS
        )

    def get_messages_per_task(self) -> float:
        """Return the coordination messages per task."""
        return divide(self.count_coordination_messages(), self.tasks)

    def get_goodput(self) -> float:
        """Return the tasks of complete jobs per second of the phase.

        The phase lasts at least until the last complete job was answered.
        """
        end_s = max(
            (
                (result.at_ms + result.response_ms) / clock.SECOND_MS
                for result in self.get_complete_jobs()
            ),
            default=self.seconds,
        )
        return divide(self.tasks, max(self.seconds, end_s))

    def get_figures(self, prefix: str = "") -> dict[str, float]:
        """Return the figures that every scenario reports, by name."""
        completes = [result.response_ms for result in self.get_complete_jobs()]
        figures = {
            "jobs": float(len(self.results)),
            "tasks": float(self.tasks),
            "complete": float(self.count(history.OutcomeKind.COMPLETE)),
            "failed": float(self.count(history.OutcomeKind.FAILED)),
            "not_run": float(self.count(history.OutcomeKind.NOT_RUN)),
            "gave_up": float(self.count("")),
            "mean_ms": self.get_mean(),
            "p99_ms": get_percentile(completes, P99),
            "slowdown_mean": self.get_slowdown(),
            "slowdown_p99_single": self.get_p99_ratio(trace.SINGLE),
            "messages_per_task": self.get_messages_per_task(),
            "frames_per_task": divide(self.traffic.frames, self.tasks),
            "goodput": self.get_goodput(),
            "entry_cpu_ms_per_task": divide(
                sum(process_usage.cpu_s for process_usage in self.usage)
                * clock.SECOND_MS,
                self.tasks,
            ),
            "entry_memory_mib": max(
                (process_usage.memory_bytes / MIB for process_usage in self.usage),
                default=0.0,
            ),
            "host_core_share": divide(self.host_cpu_s, self.seconds),
            "client_late_ms": self.max_send_delay_ms,
        }
        return {prefix + name: round(value, 4) for name, value in figures.items()}


def mean(values: collections.abc.Iterable[float]) -> float:
    """Return the mean, or 0 if there are no values."""
    kept = list(values)
    return statistics.fmean(kept) if kept else 0.0


def divide(numerator: float, denominator: float) -> float:
    """Return the quotient, or 0 if the denominator is 0."""
    return numerator / denominator if denominator else 0.0


def get_percentile(values: collections.abc.Sequence[float], share: float) -> float:
    """Return the value below which `share` of the values lie, 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]
