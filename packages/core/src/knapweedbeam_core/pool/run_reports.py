"""Builds the log events that tell apart why a task ran more than once."""

from __future__ import annotations

import collections.abc
import typing

from knapweedbeam_core.pool import calls, endpoints, jobs, log_events

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher

NO_NAMES = "none"
UNKNOWN_NAME = "unknown"


def describe_names(names: collections.abc.Iterable[str]) -> str:
    """Return the names of dispatchers as one field."""
    return " ".join(name or UNKNOWN_NAME for name in names) or NO_NAMES


def build_endpoint_lost(
    owner: dispatcher.Dispatcher, endpoint: endpoints.Endpoint, why: str
) -> log_events.EndpointLost:
    """Return the event for an endpoint that is about to be lost."""
    name = endpoint.announcement.endpoint
    reading = endpoint.reading
    reading_age_ms, lease_left_ms = -1, 0
    if reading is not None:
        now_ms = owner.clock.now_ms()
        reading_age_ms = now_ms - reading.received_ms
        lease_left_ms = endpoint.lease_until_ms - reading.get_earliest_ms(now_ms)
    users = owner.takeover.predecessors.list_users(name)
    return log_events.EndpointLost(
        name,
        why,
        len(endpoint.attempts),
        endpoint.contact.state.value,
        owner.fence,
        reading_age_ms,
        lease_left_ms,
        describe_names(users),
    )


def build_placed(
    owner: dispatcher.Dispatcher,
    job: jobs.Job,
    starts: collections.abc.Sequence[calls.Start],
    now_ms: int,
) -> log_events.TasksPlaced:
    """Return the event for tasks of a job that were just started."""
    prefix = f"{job.job_id}."
    return log_events.TasksPlaced(
        job.job_id,
        " ".join(start.target.endpoint for start in starts),
        len(job.waiting),
        now_ms - job.born_ms,
        job.due_ms - now_ms,
        owner.shard,
        owner.fence,
        " ".join(
            f"{start.task.removeprefix(prefix)}#{start.number}" for start in starts
        ),
    )


def report_stop(
    owner: dispatcher.Dispatcher,
    endpoint: endpoints.Endpoint,
    attempt: endpoints.Attempt,
    reason: log_events.StopReason,
) -> list[log_events.AttemptStopped]:
    """Return the event for a stop, none if the job of the attempt has ended."""
    if attempt.owner is not None and attempt.owner.job.is_cancelled:
        return []
    return [
        log_events.AttemptStopped(
            attempt.task,
            attempt.number,
            endpoint.announcement.endpoint,
            reason.value,
            owner.fence,
        )
    ]


def build_claimed(
    owner: dispatcher.Dispatcher,
    endpoint: endpoints.Endpoint,
    attempt: endpoints.Attempt,
    job: jobs.Job,
) -> log_events.AttemptClaimed:
    """Return the event for an attempt that a job claims."""
    return log_events.AttemptClaimed(
        attempt.task,
        attempt.number,
        endpoint.announcement.endpoint,
        job.attempt_base,
        describe_names(job.former),
        owner.fence,
    )


def report_taken(
    owner: dispatcher.Dispatcher, job: jobs.Job
) -> list[log_events.JobTakenOver]:
    """Return the event for a new job that may have run before, else nothing."""
    holders = owner.list_endpoints_of_job(job.job_id)
    if not job.attempt_base and not job.former and not holders:
        return []
    runs = sum(
        jobs.get_key(name) == job.key
        for endpoint in holders
        for name in endpoint.attempts
    )
    return [
        log_events.JobTakenOver(
            job.job_id,
            job.entry,
            job.attempt_base,
            describe_names(job.former),
            runs,
            max(0, job.not_before_ms - owner.clock.now_ms()),
            owner.fence,
        )
    ]
