"""Endpoints that have left, kept so that late announcements are ignored."""

from __future__ import annotations

import collections
import dataclasses

from knapweedbeam_core import clock

TOMBSTONE_MS = 5 * clock.MINUTE_MS
MAX_TOMBSTONES = 16_384


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Version:
    """Position of an announcement in the order of one endpoint's announcements."""

    incarnation: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Tombstone:
    """Record of an endpoint that left, with the time at which it is removed."""

    due_ms: int
    endpoint: str
    version: Version


class DepartedEndpoints:
    """The endpoints that left, by the version of their last announcement."""

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.versions: dict[str, Version] = {}
        self.tombstones: collections.deque[Tombstone] = collections.deque()

    def add(self, endpoint: str, version: Version) -> bool:
        """Record an endpoint that left; return false if it is recorded already."""
        recorded = self.versions.get(endpoint)
        if recorded is not None and recorded >= version:
            return False
        self.versions[endpoint] = version
        due_ms = self.clock.now_ms() + TOMBSTONE_MS
        self.tombstones.append(Tombstone(due_ms, endpoint, version))
        self.expire()
        return True

    def expire(self) -> None:
        """Remove expired records, and the oldest ones above the limit."""
        now_ms = self.clock.now_ms()
        while self.tombstones and (
            self.tombstones[0].due_ms <= now_ms or len(self.tombstones) > MAX_TOMBSTONES
        ):
            tombstone = self.tombstones.popleft()
            if self.versions.get(tombstone.endpoint) == tombstone.version:
                del self.versions[tombstone.endpoint]

    def has_left(self, endpoint: str, version: Version) -> bool:
        """Return whether an announcement is by an endpoint that has left.

        An endpoint that left can come back only as a new incarnation.
        """
        recorded = self.versions.get(endpoint)
        if recorded is None:
            return False
        return version.incarnation <= recorded.incarnation
