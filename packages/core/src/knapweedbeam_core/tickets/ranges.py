"""The ranges of own keys that a registrar holds, and how it comes to hold them.

A range is served only by a process that holds all its claims: it got them from
the other registrar of the range, or, when the epoch changed while it ran, from
a registrar of the epoch before that has sealed it. A range that nobody has ever
opened is opened empty (see `opening`); one whose registrars have both lost their
memory stays closed until all claims that may be lost have expired.
"""

from __future__ import annotations

import collections
import dataclasses

from knapweedbeam_core import clock, effects, ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import key_messages, opening, roster

KEEP_MS = clock.HOUR_MS
RETRY_MS = 300
MAX_RETRY_MS = 4 * clock.SECOND_MS
ARRIVING_MS = 2 * clock.SECOND_MS
PART_CLAIMS = 2_000


@dataclasses.dataclass(slots=True)
class Claim:
    """The ticket of a key; `settled` once both registrars have recorded it.

    `waiting` has the claimant of each ticket that waits until then.
    """

    ticket: str
    due_ms: int
    settled: bool = False
    waiting: dict[str, str] | None = None


@dataclasses.dataclass(slots=True)
class Arriving:
    """The parts of one hand-over that have arrived."""

    snapshot: int
    got: dict[int, tuple[key_messages.Claim, ...]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Range:
    """One range under one epoch; `complete` when all its claims are here."""

    pair: tuple[str, ...]
    claims: dict[bytes, Claim] = dataclasses.field(default_factory=dict)
    complete: bool = False
    opens: bool = False
    noted: set[str] = dataclasses.field(default_factory=set)
    arriving: dict[ids.ProcessId, Arriving] = dataclasses.field(default_factory=dict)
    arrived_ms: int | None = None


class Ranges:
    """All ranges of this process, under the epoch in force and the one before."""

    def __init__(
        self,
        me: ids.ProcessId,
        domain: str,
        time: clock.Clock,
        first: roster.Roster,
    ) -> None:
        self.me = me
        self.domain = domain
        self.clock = time
        self.started_ms = time.now_ms()
        self.due_ms = self.started_ms
        self.pause_ms = RETRY_MS
        self.steps_left = 0
        self.roster = first
        self.previous: roster.Roster | None = None
        self.opening = opening.Opening(me, first.get_names())
        self.held = self.build_ranges()
        self.sealed: dict[int, Range] = {}
        self.expiring: collections.deque[tuple[int, bytes]] = collections.deque()
        self.snapshots = 0

    def build_ranges(self) -> dict[int, Range]:
        """Return the ranges that this process registers under the roster."""
        pairs = {
            index: self.roster.get_pair(self.domain, index)
            for index in range(roster.RANGES)
        }
        return {i: Range(pair) for i, pair in pairs.items() if self.me.name in pair}

    def change(self, new: roster.Roster) -> None:
        """Seal the epoch in force and go over to a newer one, seen by this run."""
        if new.epoch <= self.roster.epoch:
            return
        follows = new.epoch == self.roster.epoch + 1
        self.previous = self.roster if follows else None
        self.sealed = self.held if follows else {}
        self.roster = new
        self.held = self.build_ranges()
        self.due_ms = self.clock.now_ms()
        self.steps_left = 0
        for index, before in self.sealed.items():
            current = self.held.get(index)
            if current is not None and before.complete:
                current.claims = before.claims
                current.complete = True

    def add_claim(self, held: Range, digest: bytes, ticket: str) -> Claim:
        """Hold a claim that this range has not had so far."""
        claim = Claim(ticket, self.clock.now_ms() + KEEP_MS)
        held.claims[digest] = claim
        self.expiring.append((claim.due_ms, digest))
        return claim

    def tick(self) -> parts.Effects:
        """Drop expired claims and ask for what is missing."""
        now_ms = self.clock.now_ms()
        while self.expiring and self.expiring[0][0] <= now_ms:
            self.drop_claim(self.expiring.popleft()[1], now_ms)
        if now_ms < self.due_ms:
            return []
        missing = {i: held for i, held in self.held.items() if not held.complete}
        steps_left = len(missing) + (not self.opening.synced)
        self.set_due(steps_left)
        return self.opening.ask() + self.fetch(missing) + self.open(missing)

    def set_due(self, steps_left: int) -> None:
        """Ask again soon, and less and less often while nothing comes of it."""
        doubled_ms = min(2 * self.pause_ms, MAX_RETRY_MS)
        self.pause_ms = RETRY_MS if steps_left != self.steps_left else doubled_ms
        self.steps_left = steps_left
        self.due_ms = self.clock.now_ms() + self.pause_ms

    def drop_claim(self, digest: bytes, now_ms: int) -> None:
        """Forget a claim that has expired, unless it came back since."""
        index = roster.get_range(digest)
        for ranges in (self.held, self.sealed):
            held = ranges.get(index)
            claim = held.claims.get(digest) if held is not None else None
            if held is not None and claim is not None and claim.due_ms <= now_ms:
                del held.claims[digest]

    def count_claims(self) -> int:
        """Return how many claims this process registers."""
        return sum(len(held.claims) for held in self.held.values())

    def fetch(self, missing: dict[int, Range]) -> parts.Effects:
        """Ask those who may hold the missing ranges for them."""
        wanted: dict[tuple[str, int], list[int]] = {}
        epoch = self.roster.epoch
        for index, held in missing.items():
            if self.is_arriving(held):
                continue
            for name in held.pair:
                wanted.setdefault((name, epoch), []).append(index)
            if self.previous is None:
                continue
            for name in self.previous.get_pair(self.domain, index):
                wanted.setdefault((name, epoch - 1), []).append(index)
        return [
            effects.Send(name, key_messages.FetchRanges(epoch, held_epoch, tuple(some)))
            for (name, held_epoch), some in wanted.items()
            if name != self.me.name
        ]

    def is_arriving(self, held: Range) -> bool:
        """Say whether parts of a range came in lately, so that more may come."""
        if held.arrived_ms is None:
            return False
        return self.clock.now_ms() - held.arrived_ms < ARRIVING_MS

    def on_fetch(
        self, sender: ids.ProcessId, message: key_messages.FetchRanges
    ) -> parts.Effects:
        """Hand over ranges that are held whole; epochs before must be sealed."""
        if message.epoch != self.roster.epoch:
            return []
        current = message.held_epoch == message.epoch
        ranges = self.held if current else self.sealed
        done: parts.Effects = []
        for index in message.ranges:
            held = ranges.get(index)
            if held is not None and held.complete:
                done += self.hand_over(sender, index, held)
        return done

    def hand_over(self, asker: ids.ProcessId, index: int, held: Range) -> parts.Effects:
        """Return the claims of one range in parts of bounded size."""
        self.snapshots += 1
        claims = [
            key_messages.Claim(digest, claim.ticket)
            for digest, claim in held.claims.items()
        ]
        chunks = [
            tuple(claims[start : start + PART_CLAIMS])
            for start in range(0, max(len(claims), 1), PART_CLAIMS)
        ]
        return [
            effects.Send(
                asker.name,
                key_messages.RangeHandedOver(
                    self.roster.epoch,
                    asker.incarnation,
                    index,
                    self.snapshots,
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
        """Take a part of a range; the last one completes it."""
        held = self.get_missing(message.epoch, message.asker, message.index)
        if held is None:
            return []
        arriving = held.arriving.get(sender)
        if arriving is None or arriving.snapshot < message.snapshot:
            arriving = held.arriving[sender] = Arriving(message.snapshot)
        if arriving.snapshot > message.snapshot:
            return []
        held.arrived_ms = self.clock.now_ms()
        arriving.got[message.part] = message.claims
        if len(arriving.got) < message.parts:
            return []
        held.arriving.clear()
        for claims in arriving.got.values():
            for claim in claims:
                self.add_claim(held, claim.digest, claim.ticket)
        held.complete = True
        return []

    def get_missing(self, epoch: int, asker: int, index: int) -> Range | None:
        """Return a range that this run still asks for, or none."""
        if epoch != self.roster.epoch or asker != self.me.incarnation:
            return None
        held = self.held.get(index)
        return None if held is None or held.complete else held

    def open(self, missing: dict[int, Range]) -> parts.Effects:
        """Open ranges that were never held by anybody, the noted ones first."""
        openable = []
        for index, held in missing.items():
            if self.previous is not None or held.pair[0] != self.me.name:
                continue
            if self.is_expired():
                held.complete = True
            elif self.opening.synced and self.is_unused(index, held):
                openable.append(index)
        return self.opening.send_notes(self.domain, tuple(openable))

    def is_unused(self, index: int, held: Range) -> bool:
        """Say whether nobody but this run has ever opened a range."""
        if not self.opening.is_noted(self.domain, index):
            held.opens = True
        return held.opens

    def is_expired(self) -> bool:
        """Say whether every claim made before this run has expired."""
        return self.clock.now_ms() - self.started_ms > KEEP_MS

    def on_noted(
        self, sender: ids.ProcessId, message: key_messages.OpenedNoted
    ) -> parts.Effects:
        """Open ranges that most of the roster has noted as opened."""
        if message.asker != self.me.incarnation:
            return []
        for index in message.ranges:
            held = self.held.get(index)
            if held is None or held.complete or not held.opens:
                continue
            held.noted.add(sender.name)
            if len(held.noted) + 1 >= self.opening.get_quorum():
                self.opening.add(self.domain, (index,))
                held.complete = True
        return []
