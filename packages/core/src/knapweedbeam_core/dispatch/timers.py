"""Points in time at which something is due."""

from __future__ import annotations

import heapq
import typing

Payload = typing.TypeVar("Payload")


class Timers(typing.Generic[Payload]):
    """A heap of payloads by due time; one that lost its meaning is skipped late."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Payload]] = []
        self.sequence = 0

    def add(self, due_ms: int, payload: Payload) -> None:
        """Have `payload` returned once `due_ms` has come."""
        self.sequence += 1
        heapq.heappush(self.heap, (due_ms, self.sequence, payload))

    def pop_due(self, now_ms: int) -> list[Payload]:
        """Return and forget what is due, in order of time."""
        due = []
        while self.heap and self.heap[0][0] <= now_ms:
            due.append(heapq.heappop(self.heap)[2])
        return due
