"""The account of one limit at one entry VM."""

from __future__ import annotations

import dataclasses
import heapq

from knapweedbeam_core import clock
from knapweedbeam_core.bundles import model
from knapweedbeam_core.limits import shares, tokens, windows

POLL_MS = 50


@dataclasses.dataclass(slots=True)
class Floor:
    """A smaller share that holds until older bundles are gone everywhere."""

    amount: int
    version: int
    release_ms: int | None = None


class ShareHolder:
    """A share that grows only once nobody uses an older bundle's share.

    It shrinks at once. It grows when every entry VM has the newer bundle in
    force and what was used before has left the window.
    """

    def __init__(self, share: shares.Share, timer: clock.Clock) -> None:
        self.clock = timer
        self.share = share
        self.floor: Floor | None = None

    def change(self, share: shares.Share, version: int) -> None:
        """Take the share of a newer bundle."""
        if share == self.share:
            return
        amount = min(self.get_amount(), share.amount)
        self.share = share
        self.floor = Floor(amount, version)

    def set_oldest_version(self, settled: int, window_ms: int) -> None:
        """Learn the oldest version that is in force anywhere."""
        floor = self.floor
        if floor is None or settled < floor.version:
            return
        now_ms = self.clock.now_ms()
        if floor.release_ms is None:
            floor.release_ms = now_ms + windows.add_drift(window_ms)
        if now_ms >= floor.release_ms:
            self.floor = None

    def get_amount(self) -> int:
        """Return what may be used now."""
        if self.floor is None:
            return self.share.amount
        return min(self.floor.amount, self.share.amount)


class Meter:
    """What of a share is reserved by jobs, and used in the window."""

    def __init__(self, share: shares.Share, timer: clock.Clock) -> None:
        self.clock = timer
        self.holder = ShareHolder(share, timer)
        self.reserved = 0
        self.window: windows.Window = build_window(share.key, timer)
        self.allowance = tokens.TokenAllowance(share.pool, share.key.window_ms, timer)

    def change(self, share: shares.Share, version: int) -> None:
        """Take the share and the pool of a newer bundle."""
        self.holder.change(share, version)
        self.allowance.pool = share.pool

    def get_left(self) -> int:
        """Return what of the share is neither reserved nor used."""
        used = self.reserved + self.window.get_used()
        return max(0, self.holder.get_amount() - used)

    def get_used(self) -> int:
        """Return what is reserved or used, of the share and of current leases."""
        leased = sum(token.used for token in self.allowance.tokens)
        return self.reserved + self.window.get_used() + leased

    def find_wait_ms(self, need: int, due_ms: int) -> int:
        """Return when to ask again for what is not there, 0 when it is."""
        lacking = need - self.get_left() - self.allowance.get_left(due_ms)
        if lacking <= 0:
            return 0
        if self.allowance.pool:
            return self.allowance.want(lacking)
        now_ms = self.clock.now_ms()
        return max(now_ms + POLL_MS, self.window.get_next_free_ms())

    def start(self, amount: int) -> windows.Bucket:
        """Turn a reserved amount into a used one."""
        self.reserved -= amount
        return self.window.charge(amount)

    def exhaust(self) -> None:
        """Count the whole share as used now: an earlier run may have used it."""
        left = self.holder.share.amount - self.window.get_used()
        if left > 0:
            self.window.charge(left)


def build_window(key: shares.LimitKey, timer: clock.Clock) -> windows.Window:
    """Return the window of a limit."""
    if key.alignment == model.Alignment.ALIGNED:
        return windows.AlignedWindow(key.window_ms, timer)
    return windows.SlidingWindow(key.window_ms, timer)


class ConcurrencyMeter:
    """How many tasks of a share run, or may still run at their workers."""

    def __init__(self, share: shares.Share, timer: clock.Clock) -> None:
        self.clock = timer
        self.holder = ShareHolder(share, timer)
        self.running = 0
        self.lapsing: list[tuple[int, int]] = []

    def get_used(self) -> int:
        """Return how many tasks count now."""
        now_ms = self.clock.now_ms()
        while self.lapsing and self.lapsing[0][0] <= now_ms:
            self.running -= heapq.heappop(self.lapsing)[1]
        return self.running

    def start(self) -> bool:
        """Count one more task, if the share allows it."""
        if self.get_used() >= self.holder.get_amount():
            return False
        self.running += 1
        return True

    def end(self, lease_left_ms: int) -> None:
        """Count a task no more, after what is left of its lease."""
        if lease_left_ms <= 0:
            self.running -= 1
            return
        self.lapse(1, lease_left_ms)

    def lapse(self, count: int, lease_left_ms: int) -> None:
        """Count tasks no more once their leases have lapsed on any clock."""
        over_ms = self.clock.now_ms() + windows.add_drift(lease_left_ms)
        heapq.heappush(self.lapsing, (over_ms, count))

    def exhaust(self, for_ms: int) -> None:
        """Count the whole share as running: an earlier run's tasks may be."""
        left = self.holder.share.amount - self.get_used()
        if left > 0:
            self.running += left
            self.lapse(left, for_ms)
