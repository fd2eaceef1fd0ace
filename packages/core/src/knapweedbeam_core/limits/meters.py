"""Meters that track the usage of one limit at one entry VM."""

from __future__ import annotations

import dataclasses
import heapq

from knapweedbeam_core import clock
from knapweedbeam_core.bundles import model
from knapweedbeam_core.limits import shares, tokens, windows

POLL_MS = 50


@dataclasses.dataclass(slots=True)
class TemporaryCap:
    """Upper bound on a grown share while an older bundle may still be in force.

    `release_ms` is when the bound ends, or none while a bundle older than
    `version` may be in force at some entry VM.
    """

    amount: int
    version: int
    release_ms: int | None = None


class EffectiveShare:
    """A share that shrinks at once and grows only when no older share is in use.

    It grows after every entry VM has the newer bundle in force and earlier usage
    has left the window.
    """

    def __init__(self, share: shares.Share, timer: clock.Clock) -> None:
        self.clock = timer
        self.share = share
        self.cap: TemporaryCap | None = None

    def apply_share(self, share: shares.Share, version: int) -> None:
        """Apply the share of a newer bundle, capped at the current amount."""
        if share == self.share:
            return
        amount = min(self.get_amount(), share.amount)
        self.share = share
        self.cap = TemporaryCap(amount, version)

    def set_oldest_version(self, oldest_version: int, window_ms: int) -> None:
        """Remove the cap one window after its bundle is in force everywhere.

        `oldest_version` is the oldest bundle version in force at any entry VM.
        """
        cap = self.cap
        if cap is None or oldest_version < cap.version:
            return
        now_ms = self.clock.now_ms()
        if cap.release_ms is None:
            cap.release_ms = now_ms + windows.add_drift(window_ms)
        if now_ms >= cap.release_ms:
            self.cap = None

    def get_amount(self) -> int:
        """Return the amount that may be used now."""
        if self.cap is None:
            return self.share.amount
        return min(self.cap.amount, self.share.amount)


class Meter:
    """Tracks the reserved amount of a share and its usage in the window."""

    def __init__(self, share: shares.Share, timer: clock.Clock) -> None:
        self.clock = timer
        self.effective_share = EffectiveShare(share, timer)
        self.reserved = 0
        self.window: windows.Window = build_window(share.key, timer)
        self.allowance = tokens.TokenAllowance(share.pool, share.key.window_ms, timer)

    def apply_share(self, share: shares.Share, version: int) -> None:
        """Apply the share and the pool of a newer bundle."""
        self.effective_share.apply_share(share, version)
        self.allowance.pool = share.pool

    def get_available(self) -> int:
        """Return the amount of the share that is neither reserved nor used."""
        used = self.reserved + self.window.get_used()
        return max(0, self.effective_share.get_amount() - used)

    def get_used(self) -> int:
        """Return the reserved and used amounts of the share and of current tokens."""
        leased = sum(token.used for token in self.allowance.tokens)
        return self.reserved + self.window.get_used() + leased

    def get_retry_at_ms(self, amount: int, due_ms: int) -> int:
        """Return when to try again to reserve an amount, 0 if it is available now.

        The missing amount is requested from the pool if the limit has one.
        """
        missing = amount - self.get_available() - self.allowance.get_available(due_ms)
        if missing <= 0:
            return 0
        if self.allowance.pool:
            return self.allowance.record_demand(missing)
        now_ms = self.clock.now_ms()
        return max(now_ms + POLL_MS, self.window.get_next_free_ms())

    def consume_reserved(self, amount: int) -> windows.Bucket:
        """Move an amount from reserved to used and return its bucket."""
        self.reserved -= amount
        return self.window.charge(amount)

    def exhaust(self) -> None:
        """Count the entire share as used now, as an earlier run may have used it."""
        remaining = self.effective_share.share.amount - self.window.get_used()
        if remaining > 0:
            self.window.charge(remaining)


def build_window(key: shares.LimitKey, timer: clock.Clock) -> windows.Window:
    """Return the window of a limit."""
    if key.alignment == model.Alignment.ALIGNED:
        return windows.AlignedWindow(key.window_ms, timer)
    return windows.SlidingWindow(key.window_ms, timer)


class ConcurrencyMeter:
    """Counts tasks that run, or may still run at their workers.

    `expiring` is a heap of (end time, count) of tasks that count until then.
    """

    def __init__(self, share: shares.Share, timer: clock.Clock) -> None:
        self.clock = timer
        self.effective_share = EffectiveShare(share, timer)
        self.running = 0
        self.expiring: list[tuple[int, int]] = []

    def get_used(self) -> int:
        """Return the number of tasks that count against the share now."""
        now_ms = self.clock.now_ms()
        while self.expiring and self.expiring[0][0] <= now_ms:
            self.running -= heapq.heappop(self.expiring)[1]
        return self.running

    def start(self) -> bool:
        """Count one more task and return true, if the share allows it."""
        if self.get_used() >= self.effective_share.get_amount():
            return False
        self.running += 1
        return True

    def end(self, lease_left_ms: int) -> None:
        """Stop counting a task after the remaining `lease_left_ms` of its lease."""
        if lease_left_ms <= 0:
            self.running -= 1
            return
        self.expire_later(1, lease_left_ms)

    def expire_later(self, count: int, lease_left_ms: int) -> None:
        """Stop counting tasks once their leases have expired, allowing for drift."""
        expires_ms = self.clock.now_ms() + windows.add_drift(lease_left_ms)
        heapq.heappush(self.expiring, (expires_ms, count))

    def exhaust(self, for_ms: int) -> None:
        """Count the entire share as running, as tasks of an earlier run may be."""
        remaining = self.effective_share.share.amount - self.get_used()
        if remaining > 0:
            self.running += remaining
            self.expire_later(remaining, for_ms)
