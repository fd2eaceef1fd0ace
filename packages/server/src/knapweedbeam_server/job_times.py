"""Wait, run and response times of the jobs dispatched by this process."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, effects, jobs, outcomes
from knapweedbeam_server import histograms

THOUSANDTHS = 1_000


@dataclasses.dataclass(slots=True)
class JobTimes:
    """One job's times in monotonic milliseconds; `first_start_ms` 0: not started."""

    member: str
    job_class: str
    queued_ms: int
    first_start_ms: int = 0
    longest_run_ms: int = 0


class JobTimeRecorder:
    """Records the times of jobs and tasks in the histograms."""

    def __init__(self, own_clock: clock.Clock, series: histograms.Histograms) -> None:
        self.clock = own_clock
        self.series = series
        self.jobs: dict[str, JobTimes] = {}

    def record_queued(self, job: jobs.Job) -> None:
        """Start to measure a job that was queued here."""
        now_ms = self.clock.now_ms()
        self.jobs[job.ticket] = JobTimes(job.member, job.job_class, now_ms)

    def record_start(self, start: effects.StartTask) -> None:
        """Record a job's wait when its first task starts."""
        times = self.jobs.get(start.task.ticket)
        if times is not None and not times.first_start_ms:
            times.first_start_ms = self.clock.now_ms()
            wait_ms = times.first_start_ms - times.queued_ms
            self.record(times, histograms.Kind.WAIT, wait_ms)

    def record_task_end(self, end: effects.TaskEnd) -> None:
        """Record a task's run time."""
        times = self.jobs.get(end.task.ticket)
        if times is not None:
            times.longest_run_ms = max(times.longest_run_ms, end.run_ms)
            self.record(times, histograms.Kind.RUN, end.run_ms)

    def record_job_end(self, ticket: str, outcome: outcomes.Outcome | None) -> None:
        """Record a job's response time, for complete jobs only.

        Its ratio to the ideal response time, the run time of the longest task, is
        recorded in thousandths.
        """
        times = self.jobs.pop(ticket, None)
        if times is None or not isinstance(outcome, outcomes.Complete):
            return
        response_ms = self.clock.now_ms() - times.queued_ms
        self.record(times, histograms.Kind.RESPONSE, response_ms)
        ideal_ms = max(times.longest_run_ms, 1)
        ratio = response_ms * THOUSANDTHS // ideal_ms
        self.record(times, histograms.Kind.IDEAL_RATIO, ratio)

    def record(self, times: JobTimes, kind: histograms.Kind, value: int) -> None:
        """Record one value in the series of the job's member and class."""
        self.series.record(times.member, times.job_class, kind, value)
