"""Timers: payloads ordered by due time."""

from __future__ import annotations

import heapq
import typing

Payload = typing.TypeVar("Payload")


class Timers(typing.Generic[Payload]):
    """A heap of payloads ordered by due time.

    There is no cancellation: the receiver ignores a payload that is outdated.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Payload]] = []
        self.sequence = 0

    def add(self, due_ms: int, payload: Payload) -> None:
        """Add a payload that `pop_due` returns once `due_ms` is reached."""
        self.sequence += 1
        heapq.heappush(self.heap, (due_ms, self.sequence, payload))

    def pop_due(self, now_ms: int) -> list[Payload]:
        """Remove and return the payloads that are due, ordered by time."""
        due = []
        while self.heap and self.heap[0][0] <= now_ms:
            due.append(heapq.heappop(self.heap)[2])
        return due
