"""Usage within a time window, and when some of it becomes available again."""

from __future__ import annotations

import collections
import dataclasses
import typing

from knapweedbeam_core import clock

MAX_DRIFT_PER_MILLE = 1
BUCKET_COUNT = 64


@dataclasses.dataclass(slots=True)
class Bucket:
    """Usage in a part of a window; it stops counting at `expires_ms`."""

    expires_ms: int
    amount: int = 0
    opened_ms: int = 0


class Window(typing.Protocol):
    """Usage of one limit; a refund goes to the bucket that was charged."""

    def get_used(self) -> int:
        """Return the usage that counts now."""

    def charge(self, amount: int) -> Bucket:
        """Count an amount as used now and return its bucket."""

    def get_next_free_ms(self) -> int:
        """Return the earliest time at which less usage may count than now."""


def add_drift(length_ms: int) -> int:
    """Return a duration that is at least `length_ms` on a clock with drift.

    It is longer by the highest drift, `MAX_DRIFT_PER_MILLE`, rounded up.
    """
    return length_ms + -(-length_ms * MAX_DRIFT_PER_MILLE // 1_000)


class SlidingWindow:
    """Usage in the last `length_ms`, never less than the true amount.

    Usage is kept in buckets, each of which counts until a full window after its
    last charge.
    """

    def __init__(self, length_ms: int, timer: clock.Clock) -> None:
        self.clock = timer
        self.bucket_ms = max(1, length_ms // BUCKET_COUNT)
        self.lifetime_ms = add_drift(length_ms)
        self.buckets: collections.deque[Bucket] = collections.deque()

    def remove_expired(self, now_ms: int) -> None:
        """Remove buckets that no longer count."""
        while self.buckets and self.buckets[0].expires_ms <= now_ms:
            self.buckets.popleft()

    def get_used(self) -> int:
        """Return the usage in the window that ends now."""
        self.remove_expired(self.clock.now_ms())
        return sum(bucket.amount for bucket in self.buckets)

    def charge(self, amount: int) -> Bucket:
        """Count an amount as used now and return its bucket."""
        now_ms = self.clock.now_ms()
        newest = self.buckets[-1] if self.buckets else None
        if newest is None or now_ms - newest.opened_ms >= self.bucket_ms:
            newest = Bucket(0, 0, now_ms)
            self.buckets.append(newest)
        newest.amount += amount
        newest.expires_ms = now_ms + self.lifetime_ms
        return newest

    def get_next_free_ms(self) -> int:
        """Return when the oldest bucket stops counting."""
        now_ms = self.clock.now_ms()
        return self.buckets[0].expires_ms if self.buckets else now_ms


class AlignedWindow:
    """Usage since the start of a window that is aligned to the wall clock.

    If the clock steps back, the current window continues. If it steps forward,
    the next window starts, but no window starts before the length of the
    previous one, less clock drift, has passed.
    """

    def __init__(self, length_ms: int, timer: clock.Clock) -> None:
        self.clock = timer
        self.length_ms = length_ms
        self.min_length_ms = length_ms - (add_drift(length_ms) - length_ms)
        self.index = timer.wall_ms() // length_ms
        self.start_ms = timer.now_ms() - timer.wall_ms() % length_ms
        self.bucket = Bucket(0)

    def advance(self) -> None:
        """Start the next window if it is due."""
        wall_ms = self.clock.wall_ms()
        now_ms = self.clock.now_ms()
        index = wall_ms // self.length_ms
        if index <= self.index or now_ms - self.start_ms < self.min_length_ms:
            return
        self.index = index
        self.start_ms = now_ms - wall_ms % self.length_ms
        self.bucket = Bucket(0)

    def get_used(self) -> int:
        """Return the usage in the current window."""
        self.advance()
        return self.bucket.amount

    def charge(self, amount: int) -> Bucket:
        """Count an amount as used now and return its bucket."""
        self.advance()
        self.bucket.amount += amount
        return self.bucket

    def get_next_free_ms(self) -> int:
        """Return when the next window starts, in this process's monotonic time."""
        self.advance()
        now_ms = self.clock.now_ms()
        left_ms = (self.index + 1) * self.length_ms - self.clock.wall_ms()
        return max(now_ms + 1, now_ms + left_ms, self.start_ms + self.min_length_ms)
