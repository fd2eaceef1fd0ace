"""The registrars of own keys: the first claim of a key wins.

The first process of a range's pair decides; it answers a claim once the second
one has recorded it too, and takes over what the second one recorded before.
"""

from __future__ import annotations

from knapweedbeam_core import clock, effects, ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import key_messages, ranges, roster

MAX_CLAIMS = 200_000
MAX_WAITING = 64


class Registrar:
    """Registers own keys of one failure domain for the ranges held here."""

    def __init__(
        self,
        me: ids.ProcessId,
        domain: str,
        time: clock.Clock,
        first: roster.Roster,
    ) -> None:
        self.me = me
        self.ranges = ranges.Ranges(me, domain, time, first)

    def on_roster(self, new: roster.Roster) -> None:
        """Seal the epoch in force and go over to a newer one."""
        self.ranges.change(new)

    def is_synced(self) -> bool:
        """Say whether this process knows which ranges are in use."""
        return self.ranges.opening.synced

    def find(self, epoch: int, digest: bytes) -> ranges.Range | None:
        """Return the range that serves a key under this epoch, or none."""
        if epoch != self.ranges.roster.epoch:
            return None
        held = self.ranges.held.get(roster.get_range(digest))
        return held if held is not None and held.complete else None

    def on_claim(
        self, sender: ids.ProcessId, message: key_messages.ClaimKey
    ) -> parts.Effects:
        """Claim a key for the sender's ticket, unless it has one already."""
        held = self.find(message.epoch, message.digest)
        if held is None or held.pair[0] != self.me.name:
            return []
        claim = held.claims.get(message.digest)
        if claim is None:
            if self.ranges.count_claims() >= MAX_CLAIMS:
                refused = key_messages.ClaimRefused(message.ticket)
                return [effects.Send(sender.name, refused)]
            claim = self.ranges.add_claim(held, message.digest, message.ticket)
        if claim.settled or len(held.pair) == 1:
            claim.settled = True
            claimed = key_messages.KeyClaimed(message.ticket, claim.ticket)
            return [effects.Send(sender.name, claimed)]
        # The claimant asks again, so that nothing is sent again from here.
        waiting = claim.waiting = claim.waiting or {}
        waiting[message.ticket] = sender.name
        if len(waiting) > MAX_WAITING:
            del waiting[next(iter(waiting))]
        record = key_messages.RecordClaim(message.epoch, message.digest, claim.ticket)
        return [effects.Send(held.pair[1], record)]

    def on_record(
        self, sender: ids.ProcessId, message: key_messages.RecordClaim
    ) -> parts.Effects:
        """Record a claim; an earlier one of the same key stands."""
        held = self.find(message.epoch, message.digest)
        if held is None or held.pair[0] != sender.name:
            return []
        claim = held.claims.get(message.digest)
        if claim is None:
            claim = self.ranges.add_claim(held, message.digest, message.ticket)
        recorded = key_messages.ClaimRecorded(
            message.epoch, message.digest, claim.ticket
        )
        return [effects.Send(sender.name, recorded)]

    def on_recorded(
        self, sender: ids.ProcessId, message: key_messages.ClaimRecorded
    ) -> parts.Effects:
        """Answer a claim that both registrars have recorded."""
        held = self.find(message.epoch, message.digest)
        if held is None or sender.name not in held.pair[1:]:
            return []
        claim = held.claims.get(message.digest)
        if claim is None or claim.settled:
            return []
        claim.ticket = message.ticket
        claim.settled = True
        waiting, claim.waiting = claim.waiting or {}, None
        return [
            effects.Send(name, key_messages.KeyClaimed(wanted, claim.ticket))
            for wanted, name in waiting.items()
        ]

    def tick(self) -> parts.Effects:
        """Drop expired claims and ask for ranges that are missing."""
        return self.ranges.tick()
