"""Finds the endpoints that an event concerns without a search through all of them."""

from __future__ import annotations

import bisect
import collections.abc

# Endpoints whose speeds differ by less than this count as equally fast.
SPEED_STEP = 0.2

# Speed step (negative, so that the fastest come first), free processor capacity, name.
Entry = tuple[int, int, str]


class EndpointIndex:
    """The endpoints that run tasks of each job, and those that changed.

    `changed` holds the names of endpoints whose speed or free resources changed since
    the last placement, `with_unacked_ends` those that may list ends which must not be
    acknowledged yet.
    """

    def __init__(self) -> None:
        self.changed: set[str] = set()
        self.with_unacked_ends: set[str] = set()
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


class PlacementOrder:
    """The endpoints of one service in the order in which tasks prefer them.

    The fastest come first, and among equally fast ones those with the least free
    processor capacity, which leaves space for wide tasks.
    """

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.by_name: dict[str, Entry] = {}

    def update(self, name: str, speed: float, free_millis: int) -> None:
        """Add an endpoint or move it to its new place."""
        entry = (-round(speed / SPEED_STEP), free_millis, name)
        if self.by_name.get(name) == entry:
            return
        self.remove(name)
        self.by_name[name] = entry
        bisect.insort(self.entries, entry)

    def remove(self, name: str) -> None:
        """Remove an endpoint if it is there."""
        entry = self.by_name.pop(name, None)
        if entry is not None:
            del self.entries[bisect.bisect_left(self.entries, entry)]

    def iterate(self, cpu_millis: float) -> collections.abc.Iterator[str]:
        """Return the endpoints with at least this much free processor capacity."""
        return (name for _, free, name in self.entries if free >= cpu_millis)
