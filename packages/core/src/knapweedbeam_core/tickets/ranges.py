"""The ranges of own keys that a registrar holds, and their transfer between registrars.

A range is served only by a process that holds all its claims. It gets them from the
other registrar of the range or, if the epoch changed while it was running, from a
registrar of the previous epoch that has sealed the range. A range that was never
opened is opened empty (see `opened_ranges`). If both registrars of a range restarted
and lost its claims, the range stays closed until all claims that may have been lost
have expired.
"""

from __future__ import annotations

import collections
import dataclasses

from knapweedbeam_core import clock, effects, ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import key_messages, opened_ranges, range_assignment

CLAIM_RETENTION_MS = clock.HOUR_MS
RETRY_MS = 300
MAX_RETRY_MS = 4 * clock.SECOND_MS
TRANSFER_TIMEOUT_MS = 2 * clock.SECOND_MS
CLAIMS_PER_PART = 2_000


@dataclasses.dataclass(slots=True)
class HeldClaim:
    """The ticket that holds a key.

    `settled` is set once both registrars have recorded the claim. `waiting` maps each
    ticket that waits for this to the name of its claimant.
    """

    ticket: str
    expires_ms: int
    settled: bool = False
    waiting: dict[str, str] | None = None


@dataclasses.dataclass(slots=True)
class Transfer:
    """The parts of a range received from one process."""

    snapshot: int
    received_parts: dict[int, tuple[key_messages.Claim, ...]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Range:
    """A range in one epoch; `complete` is set once all its claims are held."""

    registrars: tuple[str, ...]
    claims: dict[bytes, HeldClaim] = dataclasses.field(default_factory=dict)
    complete: bool = False
    is_opening: bool = False
    noted_by: set[str] = dataclasses.field(default_factory=set)
    transfers: dict[ids.ProcessId, Transfer] = dataclasses.field(default_factory=dict)
    last_part_ms: int | None = None


class Ranges:
    """The ranges of this process in the current and the previous epoch."""

    def __init__(
        self,
        me: ids.ProcessId,
        domain: str,
        time: clock.Clock,
        assignment: range_assignment.RangeAssignment,
    ) -> None:
        self.me = me
        self.domain = domain
        self.clock = time
        self.started_ms = time.now_ms()
        self.next_request_ms = self.started_ms
        self.retry_ms = RETRY_MS
        self.pending_steps = 0
        self.assignment = assignment
        self.previous: range_assignment.RangeAssignment | None = None
        self.opened_ranges = opened_ranges.OpenedRangeTracker(
            me, assignment.get_vm_names()
        )
        self.held = self.build_ranges()
        self.sealed: dict[int, Range] = {}
        self.expiring: collections.deque[tuple[int, bytes]] = collections.deque()
        self.snapshot_count = 0

    def build_ranges(self) -> dict[int, Range]:
        """Return the ranges that are assigned to this process."""
        registrars_by_index = {
            index: self.assignment.get_registrars(self.domain, index)
            for index in range(range_assignment.RANGE_COUNT)
        }
        return {
            i: Range(registrars)
            for i, registrars in registrars_by_index.items()
            if self.me.name in registrars
        }

    def apply_assignment(self, new: range_assignment.RangeAssignment) -> None:
        """Seal the current epoch and switch to a newer one.

        Claims are taken over only if the new epoch directly follows the current one.
        """
        if new.epoch <= self.assignment.epoch:
            return
        follows = new.epoch == self.assignment.epoch + 1
        self.previous = self.assignment if follows else None
        self.sealed = self.held if follows else {}
        self.assignment = new
        self.held = self.build_ranges()
        self.next_request_ms = self.clock.now_ms()
        self.pending_steps = 0
        for index, before in self.sealed.items():
            current = self.held.get(index)
            if current is not None and before.complete:
                current.claims = before.claims
                current.complete = True

    def add_claim(self, key_range: Range, digest: bytes, ticket: str) -> HeldClaim:
        """Add a claim to a range that has none for this key."""
        claim = HeldClaim(ticket, self.clock.now_ms() + CLAIM_RETENTION_MS)
        key_range.claims[digest] = claim
        self.expiring.append((claim.expires_ms, digest))
        return claim

    def tick(self) -> parts.Effects:
        """Remove expired claims and request what is missing."""
        now_ms = self.clock.now_ms()
        while self.expiring and self.expiring[0][0] <= now_ms:
            self.drop_claim(self.expiring.popleft()[1], now_ms)
        if now_ms < self.next_request_ms:
            return []
        missing = {
            i: key_range for i, key_range in self.held.items() if not key_range.complete
        }
        pending_steps = len(missing) + (not self.opened_ranges.synced)
        self.schedule_next_request(pending_steps)
        return (
            self.opened_ranges.request_notes()
            + self.fetch(missing)
            + self.open_unused(missing)
        )

    def schedule_next_request(self, pending_steps: int) -> None:
        """Schedule the next requests, backing off while no step completes."""
        doubled_ms = min(2 * self.retry_ms, MAX_RETRY_MS)
        self.retry_ms = RETRY_MS if pending_steps != self.pending_steps else doubled_ms
        self.pending_steps = pending_steps
        self.next_request_ms = self.clock.now_ms() + self.retry_ms

    def drop_claim(self, digest: bytes, now_ms: int) -> None:
        """Remove an expired claim, unless it was added again meanwhile."""
        index = range_assignment.get_range(digest)
        for ranges in (self.held, self.sealed):
            key_range = ranges.get(index)
            claim = key_range.claims.get(digest) if key_range is not None else None
            if (
                key_range is not None
                and claim is not None
                and claim.expires_ms <= now_ms
            ):
                del key_range.claims[digest]

    def count_claims(self) -> int:
        """Return the number of claims in the current epoch."""
        return sum(len(key_range.claims) for key_range in self.held.values())

    def fetch(self, missing: dict[int, Range]) -> parts.Effects:
        """Request missing ranges from the processes that may hold them."""
        requests: dict[tuple[str, int], list[int]] = {}
        epoch = self.assignment.epoch
        for index, key_range in missing.items():
            if self.is_transferring(key_range):
                continue
            for name in key_range.registrars:
                requests.setdefault((name, epoch), []).append(index)
            if self.previous is None:
                continue
            for name in self.previous.get_registrars(self.domain, index):
                requests.setdefault((name, epoch - 1), []).append(index)
        return [
            effects.Send(name, key_messages.FetchRanges(epoch, held_epoch, tuple(some)))
            for (name, held_epoch), some in requests.items()
            if name != self.me.name
        ]

    def is_transferring(self, key_range: Range) -> bool:
        """Return whether a part of a range arrived within `TRANSFER_TIMEOUT_MS`."""
        if key_range.last_part_ms is None:
            return False
        return self.clock.now_ms() - key_range.last_part_ms < TRANSFER_TIMEOUT_MS

    def on_fetch_ranges(
        self, sender: ids.ProcessId, message: key_messages.FetchRanges
    ) -> parts.Effects:
        """Send complete ranges of the current epoch or of the sealed previous one."""
        if message.epoch != self.assignment.epoch:
            return []
        current = message.held_epoch == message.epoch
        ranges = self.held if current else self.sealed
        produced: parts.Effects = []
        for index in message.ranges:
            key_range = ranges.get(index)
            if key_range is not None and key_range.complete:
                produced += self.hand_over(sender, index, key_range)
        return produced

    def hand_over(
        self, requester: ids.ProcessId, index: int, key_range: Range
    ) -> parts.Effects:
        """Return the messages with the claims of a range, in parts of bounded size."""
        self.snapshot_count += 1
        claims = [
            key_messages.Claim(digest, claim.ticket)
            for digest, claim in key_range.claims.items()
        ]
        chunks = [
            tuple(claims[start : start + CLAIMS_PER_PART])
            for start in range(0, max(len(claims), 1), CLAIMS_PER_PART)
        ]
        return [
            effects.Send(
                requester.name,
                key_messages.RangeHandedOver(
                    self.assignment.epoch,
                    requester.incarnation,
                    index,
                    self.snapshot_count,
                    part,
                    len(chunks),
                    chunk,
                ),
            )
            for part, chunk in enumerate(chunks)
        ]

    def on_handed_over(
        self, sender: ids.ProcessId, message: key_messages.RangeHandedOver
    ) -> parts.Effects:
        """Store a part of a range; the last missing part completes the range."""
        key_range = self.find_missing(message.epoch, message.asker, message.index)
        if key_range is None:
            return []
        transfer = key_range.transfers.get(sender)
        if transfer is None or transfer.snapshot < message.snapshot:
            transfer = key_range.transfers[sender] = Transfer(message.snapshot)
        if transfer.snapshot > message.snapshot:
            return []
        key_range.last_part_ms = self.clock.now_ms()
        transfer.received_parts[message.part] = message.claims
        if len(transfer.received_parts) < message.parts:
            return []
        key_range.transfers.clear()
        for claims in transfer.received_parts.values():
            for claim in claims:
                self.add_claim(key_range, claim.digest, claim.ticket)
        key_range.complete = True
        return []

    def find_missing(self, epoch: int, incarnation: int, index: int) -> Range | None:
        """Return a range that this incarnation is still requesting, or none."""
        if epoch != self.assignment.epoch or incarnation != self.me.incarnation:
            return None
        key_range = self.held.get(index)
        return None if key_range is None or key_range.complete else key_range

    def open_unused(self, missing: dict[int, Range]) -> parts.Effects:
        """Open missing ranges that can have no claims and that this process decides on.

        After `CLAIM_RETENTION_MS` any earlier claims have expired and a range opens at
        once. Before that, only a range that was never opened qualifies, and a quorum
        must note the opening first. Nothing opens if the previous epoch is known.
        """
        openable = []
        for index, key_range in missing.items():
            if self.previous is not None or key_range.registrars[0] != self.me.name:
                continue
            if self.is_retention_over():
                key_range.complete = True
            elif self.opened_ranges.synced and self.start_opening(index, key_range):
                openable.append(index)
        return self.opened_ranges.send_note_opened(self.domain, tuple(openable))

    def start_opening(self, index: int, key_range: Range) -> bool:
        """Mark a range as being opened here if no process has noted it as opened.

        Return whether the range is marked.
        """
        if not self.opened_ranges.is_noted(self.domain, index):
            key_range.is_opening = True
        return key_range.is_opening

    def is_retention_over(self) -> bool:
        """Return whether every claim made before this process started has expired."""
        return self.clock.now_ms() - self.started_ms > CLAIM_RETENTION_MS

    def on_opened_noted(
        self, sender: ids.ProcessId, message: key_messages.OpenedNoted
    ) -> parts.Effects:
        """Open the ranges whose opening a quorum of the entry VMs has noted."""
        if message.asker != self.me.incarnation:
            return []
        for index in message.ranges:
            key_range = self.held.get(index)
            if key_range is None or key_range.complete or not key_range.is_opening:
                continue
            key_range.noted_by.add(sender.name)
            if len(key_range.noted_by) + 1 >= self.opened_ranges.get_quorum():
                self.opened_ranges.add(self.domain, (index,))
                key_range.complete = True
        return []
