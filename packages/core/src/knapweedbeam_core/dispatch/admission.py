"""Admission control: refuses jobs that cannot run or cannot end in time."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import jobs, outcomes, reasons
from knapweedbeam_core.dispatch import usage
from knapweedbeam_core.slots import directory

MIN_RETRY_MS = 100
MAX_RETRY_MS = 30_000
NO_ENDPOINT_RETRY_MS = 1_000
MAX_QUEUED_TASKS = 200_000
MAX_QUEUED_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class LoadEstimate:
    """The load and run times that a job of a member can expect.

    `slots` is the number of slots that the member can expect to use at once.
    `has_run_times` is false until enough tasks of the job's class have ended.
    Times are in milliseconds.
    """

    total: directory.CapacityTotal
    slots: float
    queued_ms: float
    longest_task_ms: float
    work_ms: float
    has_run_times: bool
    queued_tasks: int
    queued_bytes: int


def check(
    job: jobs.Job, need: usage.Need, estimate: LoadEstimate, now_ms: int
) -> outcomes.NotRun | None:
    """Return why a job is refused, or None if it is accepted.

    The expected finish is compared with the deadline only once run times have
    been measured.
    """
    total = estimate.total
    if not total.endpoints:
        return outcomes.NotRun(reasons.Reason.NO_ENDPOINT, NO_ENDPOINT_RETRY_MS)
    if 0 < total.cpu_millis < need.cpu_millis:
        return outcomes.NotRun(reasons.Reason.NEVER_FITS)
    if 0 < total.memory_mib < need.memory_mib:
        return outcomes.NotRun(reasons.Reason.NEVER_FITS)
    if estimate.queued_tasks + len(job.tasks) > MAX_QUEUED_TASKS:
        return outcomes.NotRun(reasons.Reason.OVERLOADED, get_retry_ms(estimate))
    if estimate.queued_bytes + job.size_bytes > MAX_QUEUED_BYTES:
        return outcomes.NotRun(reasons.Reason.MEMORY, get_retry_ms(estimate))
    left_ms = job.due_ms - now_ms
    if left_ms <= 0:
        return outcomes.NotRun(reasons.Reason.DEADLINE)
    if not estimate.has_run_times:
        return None
    expected_ms = get_wait_ms(estimate) + get_run_ms(estimate)
    if expected_ms > left_ms:
        return outcomes.NotRun(reasons.Reason.DEADLINE, get_retry_ms(estimate))
    return None


def get_wait_ms(estimate: LoadEstimate) -> float:
    """Return the expected wait until the job's first task starts."""
    return estimate.queued_ms / max(1.0, estimate.slots)


def get_run_ms(estimate: LoadEstimate) -> float:
    """Return the expected time from the first start to the last end."""
    return max(estimate.longest_task_ms, estimate.work_ms / max(1.0, estimate.slots))


def get_retry_ms(estimate: LoadEstimate) -> int:
    """Return the delay before a retry: half the expected wait, within bounds."""
    return int(min(MAX_RETRY_MS, max(MIN_RETRY_MS, get_wait_ms(estimate) / 2)))
