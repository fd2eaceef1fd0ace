"""In which order waiting jobs get room, and which of them are refused.

Load: bursts of 1.2 to 1.9 times the usual for some seconds, and a seventh of the
endpoints lost or slow, on endpoints that are used at 40 to 80%. Room is short for
seconds at a time. Serving first come first served, or by least slack alone, then makes
every job late at once: the widest jobs with the tightest objectives first of all. So
of the jobs that can still meet their objective those of the most urgent queue go
first, as the manifest ranks queues, and within a queue the one with the least slack.
Jobs that are late go behind them, short ones first. One of which nothing was started
is refused as soon as it cannot end within three objectives, when its answer would be
of no use any more: its caller hears so at once and not when its patience ends, and is
told to come back when the work that waits now is done. What was started is finished.
"""

from __future__ import annotations

import collections.abc
import enum

from knapweedbeam_core import reasons
from knapweedbeam_core.pool import endpoints, jobs, messages

# Orders, polling and links on the way from a start to the caller's answer.
TRANSIT_MS = 10
# A caller that was refused comes back after the backlog, within these bounds.
MIN_RETRY_AFTER_MS = 200
MAX_RETRY_AFTER_MS = 5_000


class Feasibility(enum.IntEnum):
    """What a job can still reach; lower goes first."""

    IN_TIME = 0
    LATE = 1
    NO_VALUE = 2


def get_feasibility(job: jobs.Job, now_ms: int, best_speed: float) -> Feasibility:
    """Return what a job can reach if it gets the fastest endpoints now.

    Lasting jobs earn from when they begin, so they never count as late.
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
    """Return the jobs in the order in which they get room."""

    def get_key(job: jobs.Job) -> tuple[Feasibility, int, int]:
        standing = get_feasibility(job, now_ms, best_speed)
        if standing == Feasibility.IN_TIME:
            return standing, job.terms.priority, job.due_ms - job.longest_task_ms
        return standing, job.longest_task_ms, job.due_ms

    return sorted(waiting, key=get_key)


def is_too_late(job: jobs.Job, now_ms: int, best_speed: float) -> bool:
    """Say whether a job cannot end while its answer is of use to its caller."""
    ends_ms = now_ms + job.longest_task_ms / best_speed
    return ends_ms > min(job.give_up_ms, job.value_until_ms)


def get_backlog_ms(
    queued: collections.abc.Iterable[jobs.Job],
    held: collections.abc.Iterable[endpoints.Endpoint],
) -> float:
    """Return how long the held endpoints take for all that waits."""
    waiting = sum(
        task.spec.cpu_millis * task.spec.estimate_ms
        for job in queued
        for task in job.waiting
    )
    room = sum(each.capacity.cpu_millis * each.speed.value for each in held)
    return waiting / room if room else MAX_RETRY_AFTER_MS


def build_refusal(
    job: jobs.Job, reason: reasons.Reason, wait_ms: float
) -> messages.JobRefused:
    """Return the refusal of a job that was never started.

    `wait_ms` is how long the work that is ahead takes.
    """
    retry_after_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, int(wait_ms)))
    return messages.JobRefused(job.job_id, reason, retry_after_ms)
