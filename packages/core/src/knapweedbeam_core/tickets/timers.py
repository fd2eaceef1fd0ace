"""Timers by key, in the order in which they expire."""

from __future__ import annotations

import heapq
import typing

Key = typing.TypeVar("Key")


class Timers(typing.Generic[Key]):
    """One deadline per key; the cost of a tick depends only on the due deadlines."""

    def __init__(self) -> None:
        self.due_ms: dict[Key, tuple[int, int]] = {}
        self.heap: list[tuple[int, int, Key]] = []
        self.sequence = 0

    def set(self, key: Key, due_ms: int) -> None:
        """Set or move the deadline of `key`."""
        self.sequence += 1
        self.due_ms[key] = (due_ms, self.sequence)
        heapq.heappush(self.heap, (due_ms, self.sequence, key))
        if len(self.heap) > 64 + 2 * len(self.due_ms):
            self.compact()

    def drop(self, key: Key) -> None:
        """Remove the deadline of `key`, if there is one."""
        self.due_ms.pop(key, None)

    def pop_due(self, now_ms: int) -> list[Key]:
        """Remove and return the keys that are due, the earliest first."""
        due = []
        while self.heap and self.heap[0][0] <= now_ms:
            due_ms, sequence, key = heapq.heappop(self.heap)
            if self.due_ms.get(key) == (due_ms, sequence):
                del self.due_ms[key]
                due.append(key)
        return due

    def compact(self) -> None:
        """Remove heap entries of deadlines that were moved or removed."""
        self.heap = [
            (due, sequence, key) for key, (due, sequence) in self.due_ms.items()
        ]
        heapq.heapify(self.heap)
