"""How long the jobs dispatched here waited, ran and took."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, effects, jobs, outcomes
from knapweedbeam_server import histograms

IDEAL_SCALE = 1_000


@dataclasses.dataclass(slots=True)
class JobTimes:
    """One job's times in monotonic milliseconds; `first_start_ms` 0 means none."""

    member: str
    job_class: str
    queued_ms: int
    first_start_ms: int = 0
    longest_run_ms: int = 0


class TimeKeeper:
    """Feeds the histograms from what the node does."""

    def __init__(self, own_clock: clock.Clock, series: histograms.Histograms) -> None:
        self.clock = own_clock
        self.series = series
        self.jobs: dict[str, JobTimes] = {}

    def queued(self, job: jobs.Job) -> None:
        """Note that a job was queued here."""
        now_ms = self.clock.now_ms()
        self.jobs[job.ticket] = JobTimes(job.member, job.job_class, now_ms)

    def started(self, start: effects.StartTask) -> None:
        """Note a start."""
        times = self.jobs.get(start.task.ticket)
        if times is not None and not times.first_start_ms:
            times.first_start_ms = self.clock.now_ms()
            wait_ms = times.first_start_ms - times.queued_ms
            self.record(times, histograms.Kind.WAIT, wait_ms)

    def task_ended(self, end: effects.TaskEnd) -> None:
        """Note a task's end."""
        times = self.jobs.get(end.task.ticket)
        if times is not None:
            times.longest_run_ms = max(times.longest_run_ms, end.run_ms)
            self.record(times, histograms.Kind.RUN, end.run_ms)

    def ended(self, ticket: str, outcome: outcomes.Outcome | None) -> None:
        """Note a job's end; only complete jobs count as a response."""
        times = self.jobs.pop(ticket, None)
        if times is None or not isinstance(outcome, outcomes.Complete):
            return
        response_ms = self.clock.now_ms() - times.queued_ms
        self.record(times, histograms.Kind.RESPONSE, response_ms)
        ideal_ms = max(times.longest_run_ms, 1)
        ratio = response_ms * IDEAL_SCALE // ideal_ms
        self.record(times, histograms.Kind.IDEAL_RATIO, ratio)

    def record(self, times: JobTimes, kind: histograms.Kind, value: int) -> None:
        """Record one value."""
        self.series.record(times.member, times.job_class, kind, value)
