"""Orders waiting jobs and decides which of them are refused.

Expected load: bursts of 1.2 to 1.9 times the usual load for some seconds, with a
seventh of the endpoints lost or slow, on endpoints that are used at 40 to 80%. Capacity
is then short for seconds at a time. First come first served, or least slack alone,
would make all jobs late at once, the widest jobs with the tightest objectives first.

Of the jobs that can still meet their objective, those of the most urgent queue (by the
manifest's priority) go first, and within a queue the one with the least slack. Late
jobs follow, short ones first. A job that was never started is refused as soon as it
cannot end within three objectives, when its answer would have no value: its caller is
told at once instead of at the end of its patience, and asked to retry when the present
backlog is done. A job that was started is always finished.
"""

from __future__ import annotations

import collections.abc
import enum

from knapweedbeam_core import reasons
from knapweedbeam_core.pool import endpoints, jobs, messages

# Overhead of calls, polling and links between a start and the caller's answer.
TRANSIT_MS = 10
# A refused caller is asked to retry after the backlog is done, within these bounds.
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 5_000


class Feasibility(enum.IntEnum):
    """Whether a job can still meet its objective; lower values go first."""

    IN_TIME = 0
    LATE = 1
    NO_VALUE = 2


def get_feasibility(job: jobs.Job, now_ms: int, best_speed: float) -> Feasibility:
    """Return the feasibility of a job if it started on the fastest endpoints now.

    Lasting jobs have value from when they start, so they never count as late.
    """
    if job.is_lasting:
        return Feasibility.IN_TIME
    ends_ms = now_ms + job.longest_task_ms / best_speed + TRANSIT_MS
    if ends_ms <= job.due_ms:
        return Feasibility.IN_TIME
    return Feasibility.LATE if ends_ms <= job.value_until_ms else Feasibility.NO_VALUE


def sort_jobs(
    waiting: collections.abc.Iterable[jobs.Job], now_ms: int, best_speed: float
) -> list[jobs.Job]:
    """Return the jobs in the order in which their tasks are placed."""

    def get_key(job: jobs.Job) -> tuple[Feasibility, int, int]:
        feasibility = get_feasibility(job, now_ms, best_speed)
        if feasibility == Feasibility.IN_TIME:
            return feasibility, job.terms.priority, job.due_ms - job.longest_task_ms
        return feasibility, job.longest_task_ms, job.due_ms

    return sorted(waiting, key=get_key)


def is_too_late(job: jobs.Job, now_ms: int, best_speed: float) -> bool:
    """Return whether a job cannot end while its answer has value for its caller."""
    ends_ms = now_ms + job.longest_task_ms / best_speed
    return ends_ms > min(job.give_up_ms, job.value_until_ms)


def is_beyond(
    job: jobs.Job, now_ms: int, best_speed: float, start_wait_ms: float
) -> bool:
    """Return whether a job's last task would start too late, `start_wait_ms` from now.

    Jobs that wait until they are late make the next ones late too, so one that would
    miss its objective is beyond what can be served.
    """
    if job.is_lasting:
        return False
    ends_ms = now_ms + start_wait_ms + job.longest_task_ms / best_speed + TRANSIT_MS
    return ends_ms > job.due_ms


def get_backlog_ms(
    queued: collections.abc.Iterable[jobs.Job],
    held_endpoints: collections.abc.Iterable[endpoints.Endpoint],
) -> float:
    """Return how long the held endpoints take for all waiting tasks."""
    waiting_work = sum(
        task.spec.cpu_millis * task.spec.estimate_ms
        for job in queued
        for task in job.waiting
    )
    capacity = sum(
        endpoint.capacity.cpu_millis * endpoint.speed.value
        for endpoint in held_endpoints
    )
    return waiting_work / capacity if capacity else MAX_RETRY_AFTER_MS


def build_refusal(
    job: jobs.Job, reason: reasons.Reason, backlog_ms: float
) -> messages.JobRefused:
    """Return the refusal of a job that was never started.

    `backlog_ms` is how long the work ahead of it takes.
    """
    retry_after_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, int(backlog_ms)))
    return messages.JobRefused(job.job_id, reason, retry_after_ms, job.hand_in)
