"""Counts, by queue, what becomes of the jobs that a dispatcher receives."""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core import clock
from knapweedbeam_core.pool import jobs, log_events, messages

REPORT_INTERVAL_MS = clock.SECOND_MS
# Manifests may name hundreds of queues; the busiest ones are reported.
MAX_REPORTED_QUEUES = 20


@dataclasses.dataclass(slots=True)
class QueueCounts:
    """What happened to the jobs of one queue since the last report."""

    arrived: int = 0
    started: int = 0
    max_start_age_ms: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    refused: int = 0
    withdrawn: int = 0


class LoadReport:
    """The counts of all queues; `build` returns and resets them once per interval."""

    def __init__(self) -> None:
        self.counts: dict[str, QueueCounts] = {}
        self.due_ms = 0

    def reset(self) -> None:
        """Forget all counts."""
        self.counts.clear()

    def get_counts(self, job: jobs.Job) -> QueueCounts:
        """Return the counts of a job's queue."""
        return self.counts.setdefault(job.terms.queue, QueueCounts())

    def record_arrival(self, job: jobs.Job) -> None:
        """Count a job that was submitted."""
        self.get_counts(job).arrived += 1

    def record_first_start(self, job: jobs.Job, now_ms: int) -> None:
        """Count a job whose first task was started."""
        counts = self.get_counts(job)
        counts.started += 1
        counts.max_start_age_ms = max(counts.max_start_age_ms, now_ms - job.born_ms)

    def record_end(
        self,
        job: jobs.Job,
        outcome: messages.JobComplete | messages.JobFailed | messages.JobRefused | None,
        now_ms: int,
    ) -> None:
        """Count a job that ended, `outcome` being None if it was withdrawn."""
        counts = self.get_counts(job)
        match outcome:
            case None:
                counts.withdrawn += 1
            case messages.JobComplete() if now_ms <= job.due_ms:
                counts.in_time += 1
            case messages.JobComplete():
                counts.late += 1
            case messages.JobFailed():
                counts.failed += 1
            case messages.JobRefused():
                counts.refused += 1

    def build(
        self, queue: collections.abc.Iterable[jobs.Job], now_ms: int
    ) -> list[log_events.QueueLoad]:
        """Return the report of each busy queue if one is due, and start a new one.

        `queue` holds all jobs with waiting tasks.
        """
        if now_ms < self.due_ms:
            return []
        self.due_ms = now_ms + REPORT_INTERVAL_MS
        waiting: dict[str, list[int]] = {}
        for job in queue:
            if job.waiting and not job.is_cancelled:
                waiting.setdefault(job.terms.queue, []).append(now_ms - job.born_ms)
                self.get_counts(job)
        busiest = sorted(
            self.counts, key=lambda name: (-self.counts[name].arrived, name)
        )
        reports = [
            log_events.QueueLoad(
                name,
                len(waiting.get(name, ())),
                max(waiting.get(name, (0,))),
                **dataclasses.asdict(self.counts[name]),
            )
            for name in busiest[:MAX_REPORTED_QUEUES]
        ]
        self.counts.clear()
        return reports
