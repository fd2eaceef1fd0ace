"""Finds the endpoints that an event concerns without a search through all of them."""

from __future__ import annotations


class EndpointIndex:
    """The endpoints that run tasks of each job, and those that changed.

    `changed` holds the names of endpoints whose speed or free resources changed since
    the last placement, `with_unacked_ends` those that may list ends which must not be
    acknowledged yet, `with_hidden_ends` those whose lists may not have held all ends.
    `evacuated` are the evacuated failure domains.
    """

    def __init__(self) -> None:
        self.changed: set[str] = set()
        self.with_unacked_ends: set[str] = set()
        self.evacuated: frozenset[str] = frozenset()
        self.with_hidden_ends: set[str] = set()
        self.attempts_by_job: dict[str, dict[str, int]] = {}

    def mark_changed(self, endpoint: str) -> None:
        """Record that an endpoint's speed or free resources changed."""
        self.changed.add(endpoint)

    def add_attempt(self, endpoint: str, job_id: str) -> None:
        """Record an attempt of a job on an endpoint."""
        counts = self.attempts_by_job.setdefault(job_id, {})
        counts[endpoint] = counts.get(endpoint, 0) + 1
        self.changed.add(endpoint)

    def remove_attempt(self, endpoint: str, job_id: str) -> None:
        """Record that an attempt of a job is no longer on an endpoint."""
        counts = self.attempts_by_job[job_id]
        counts[endpoint] -= 1
        if not counts[endpoint]:
            del counts[endpoint]
        if not counts:
            del self.attempts_by_job[job_id]
        self.changed.add(endpoint)

    def find_endpoints(self, job_id: str) -> list[str]:
        """Return the names of the endpoints with attempts of a job."""
        return list(self.attempts_by_job.get(job_id, ()))
