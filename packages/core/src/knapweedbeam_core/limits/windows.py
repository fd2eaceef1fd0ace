"""What was used in a window, and when some of it is free again."""

from __future__ import annotations

import collections
import dataclasses
import typing

from knapweedbeam_core import clock

DRIFT_PER_MILLE = 1
BUCKETS = 64


@dataclasses.dataclass(slots=True)
class Bucket:
    """What was used in a part of a window; `over_ms` is when it counts no more."""

    over_ms: int
    amount: int = 0
    first_ms: int = 0


class Window(typing.Protocol):
    """The use of one limit; a refund goes to the bucket that was charged."""

    def get_used(self) -> int:
        """Return what counts now."""

    def charge(self, amount: int) -> Bucket:
        """Use an amount now."""

    def get_next_free_ms(self) -> int:
        """Return when less may count than now."""


def add_drift(length_ms: int) -> int:
    """Return a time that is not shorter than `length_ms` on any clock."""
    return length_ms + -(-length_ms * DRIFT_PER_MILLE // 1_000)


class SlidingWindow:
    """Counts what was used in the last `length_ms`, never too little."""

    def __init__(self, length_ms: int, timer: clock.Clock) -> None:
        self.clock = timer
        self.bucket_ms = max(1, length_ms // BUCKETS)
        self.kept_ms = add_drift(length_ms)
        self.buckets: collections.deque[Bucket] = collections.deque()

    def drop_old(self, now_ms: int) -> None:
        """Forget buckets that count no more."""
        while self.buckets and self.buckets[0].over_ms <= now_ms:
            self.buckets.popleft()

    def get_used(self) -> int:
        """Return what was used in the window that ends now."""
        self.drop_old(self.clock.now_ms())
        return sum(bucket.amount for bucket in self.buckets)

    def charge(self, amount: int) -> Bucket:
        """Use an amount now."""
        now_ms = self.clock.now_ms()
        newest = self.buckets[-1] if self.buckets else None
        if newest is None or now_ms - newest.first_ms >= self.bucket_ms:
            newest = Bucket(0, 0, now_ms)
            self.buckets.append(newest)
        newest.amount += amount
        newest.over_ms = now_ms + self.kept_ms
        return newest

    def get_next_free_ms(self) -> int:
        """Return when the oldest bucket counts no more."""
        now_ms = self.clock.now_ms()
        return self.buckets[0].over_ms if self.buckets else now_ms


class AlignedWindow:
    """Counts what was used since the window began by the wall clock.

    A clock that steps back goes on with the window; one that steps forward gets
    the next window, and no other one before its length is over.
    """

    def __init__(self, length_ms: int, timer: clock.Clock) -> None:
        self.clock = timer
        self.length_ms = length_ms
        self.shortest_ms = length_ms - (add_drift(length_ms) - length_ms)
        self.index = timer.wall_ms() // length_ms
        self.start_ms = timer.now_ms() - timer.wall_ms() % length_ms
        self.bucket = Bucket(0)

    def move(self) -> None:
        """Start the next window when its time has come."""
        wall_ms = self.clock.wall_ms()
        now_ms = self.clock.now_ms()
        index = wall_ms // self.length_ms
        if index <= self.index or now_ms - self.start_ms < self.shortest_ms:
            return
        self.index = index
        self.start_ms = now_ms - wall_ms % self.length_ms
        self.bucket = Bucket(0)

    def get_used(self) -> int:
        """Return what was used in this window."""
        self.move()
        return self.bucket.amount

    def charge(self, amount: int) -> Bucket:
        """Use an amount now."""
        self.move()
        self.bucket.amount += amount
        return self.bucket

    def get_next_free_ms(self) -> int:
        """Return when the next window starts, by this process's own time."""
        self.move()
        now_ms = self.clock.now_ms()
        left_ms = (self.index + 1) * self.length_ms - self.clock.wall_ms()
        return max(now_ms + 1, now_ms + left_ms, self.start_ms + self.shortest_ms)
