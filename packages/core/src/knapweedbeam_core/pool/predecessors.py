"""The endpoints that other dispatchers used, as far as this process has heard.

A successor may start a task at once only if it knows every endpoint on which an earlier
dispatcher may have started it. Its own list may lack some: a process that started just
before it was cut off has not heard of all endpoints.
"""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core import clock

# Lists are sent every second, and the loss of a dispatcher is noticed within another.
FRESH_MS = 3_000
# Stands for dispatchers that this process has not heard of.
UNKNOWN = ("",)


@dataclasses.dataclass(slots=True)
class UsedEndpoints:
    """The endpoints that a dispatcher used when it sent its newest list."""

    names: set[str]
    received_ms: int


class Predecessors:
    """The newest list of each dispatcher that may have had jobs before."""

    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.lists: dict[str, UsedEndpoints] = {}

    def record(self, sender: str, names: collections.abc.Iterable[str]) -> None:
        """Record a dispatcher's list, and drop those that are no longer of use."""
        now_ms = self.clock.now_ms()
        self.lists = {
            name: used
            for name, used in self.lists.items()
            if now_ms - used.received_ms <= FRESH_MS
        }
        self.lists[sender] = UsedEndpoints(set(names), now_ms)

    def forget(self, endpoint: str) -> None:
        """Drop an endpoint that has ended."""
        for used in self.lists.values():
            used.names.discard(endpoint)

    def list_users(self, endpoint: str) -> list[str]:
        """Return the dispatchers whose newest list, fresh or not, has an endpoint."""
        return sorted(
            name for name, used in self.lists.items() if endpoint in used.names
        )

    def may_miss_endpoints(
        self, former: collections.abc.Iterable[str], known: collections.abc.Set[str]
    ) -> bool:
        """Return whether a former dispatcher may have used an endpoint not in `known`.

        That is so if there is no fresh list of it.
        """
        return any(
            self.is_stale(name) or not self.lists[name].names <= known
            for name in former
        )

    def is_stale(self, name: str) -> bool:
        """Return whether a dispatcher has sent no list lately."""
        used = self.lists.get(name)
        return used is None or self.clock.now_ms() - used.received_ms > FRESH_MS

    def list_fresh(self) -> tuple[str, ...]:
        """Return the dispatchers that have sent a list lately."""
        return tuple(name for name in self.lists if not self.is_stale(name))
