"""What endpoints said last, so that nothing late counts."""

from __future__ import annotations

import collections
import dataclasses

from knapweedbeam_core import clock

TOMBSTONE_MS = 5 * clock.MINUTE_MS
MAX_TOMBSTONES = 16_384


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Version:
    """The order of one endpoint's announcements."""

    incarnation: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Mark:
    """When a leaver may be forgotten."""

    due_ms: int
    endpoint: str
    version: Version


class Leavers:
    """The endpoints that left: announcements up to their last are void."""

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.versions: dict[str, Version] = {}
        self.ages: collections.deque[Mark] = collections.deque()

    def add(self, endpoint: str, version: Version) -> bool:
        """Note a leaver; false when that is known already."""
        known = self.versions.get(endpoint)
        if known is not None and known >= version:
            return False
        self.versions[endpoint] = version
        due_ms = self.clock.now_ms() + TOMBSTONE_MS
        self.ages.append(Mark(due_ms, endpoint, version))
        self.expire()
        return True

    def expire(self) -> None:
        """Forget what is old, and the oldest above the limit."""
        now_ms = self.clock.now_ms()
        while self.ages and (
            self.ages[0].due_ms <= now_ms or len(self.ages) > MAX_TOMBSTONES
        ):
            mark = self.ages.popleft()
            if self.versions.get(mark.endpoint) == mark.version:
                del self.versions[mark.endpoint]

    def has_left(self, endpoint: str, version: Version) -> bool:
        """Say whether an announcement is by a leaver.

        A leaver comes back only as a new incarnation.
        """
        known = self.versions.get(endpoint)
        if known is None:
            return False
        return version.incarnation <= known.incarnation
