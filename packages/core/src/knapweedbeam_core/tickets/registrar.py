"""The registrars of own keys: the first claim of a key wins.

A range has up to two registrars. The first one decides: it answers a claim once the
second one has recorded it too. If the second one had recorded an earlier claim of the
same key, the first one adopts that claim.
"""

from __future__ import annotations

from knapweedbeam_core import clock, effects, ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import key_messages, range_assignment, ranges

MAX_CLAIMS = 200_000
MAX_WAITING_CLAIMANTS = 64


class Registrar:
    """Registers the own keys of this failure domain in the ranges held here."""

    def __init__(
        self,
        me: ids.ProcessId,
        domain: str,
        time: clock.Clock,
        assignment: range_assignment.RangeAssignment,
    ) -> None:
        self.me = me
        self.ranges = ranges.Ranges(me, domain, time, assignment)

    def on_assignment(self, new: range_assignment.RangeAssignment) -> None:
        """Seal the current epoch and switch to a newer one."""
        self.ranges.apply_assignment(new)

    def is_synced(self) -> bool:
        """Return whether this process knows of every range that was opened."""
        return self.ranges.opened_ranges.synced

    def find_range(self, epoch: int, digest: bytes) -> ranges.Range | None:
        """Return the range that contains a key, or none if it is not served here."""
        if epoch != self.ranges.assignment.epoch:
            return None
        key_range = self.ranges.held.get(range_assignment.get_range(digest))
        return key_range if key_range is not None and key_range.complete else None

    def on_claim_key(
        self, sender: ids.ProcessId, message: key_messages.ClaimKey
    ) -> parts.Effects:
        """Claim a key for the sender's ticket, unless another ticket holds it."""
        key_range = self.find_range(message.epoch, message.digest)
        if key_range is None or key_range.registrars[0] != self.me.name:
            return []
        claim = key_range.claims.get(message.digest)
        if claim is None:
            if self.ranges.count_claims() >= MAX_CLAIMS:
                refused = key_messages.ClaimRefused(message.ticket)
                return [effects.Send(sender.name, refused)]
            claim = self.ranges.add_claim(key_range, message.digest, message.ticket)
        if claim.settled or len(key_range.registrars) == 1:
            claim.settled = True
            claimed = key_messages.KeyClaimed(message.ticket, claim.ticket)
            return [effects.Send(sender.name, claimed)]
        # The claimant retries, so this message needs no retry of its own.
        waiting = claim.waiting = claim.waiting or {}
        waiting[message.ticket] = sender.name
        if len(waiting) > MAX_WAITING_CLAIMANTS:
            del waiting[next(iter(waiting))]
        record = key_messages.RecordClaim(message.epoch, message.digest, claim.ticket)
        return [effects.Send(key_range.registrars[1], record)]

    def on_record_claim(
        self, sender: ids.ProcessId, message: key_messages.RecordClaim
    ) -> parts.Effects:
        """Record a claim, unless an earlier claim of the same key exists."""
        key_range = self.find_range(message.epoch, message.digest)
        if key_range is None or key_range.registrars[0] != sender.name:
            return []
        claim = key_range.claims.get(message.digest)
        if claim is None:
            claim = self.ranges.add_claim(key_range, message.digest, message.ticket)
        recorded = key_messages.ClaimRecorded(
            message.epoch, message.digest, claim.ticket
        )
        return [effects.Send(sender.name, recorded)]

    def on_claim_recorded(
        self, sender: ids.ProcessId, message: key_messages.ClaimRecorded
    ) -> parts.Effects:
        """Answer the claimants of a key that both registrars have recorded."""
        key_range = self.find_range(message.epoch, message.digest)
        if key_range is None or sender.name not in key_range.registrars[1:]:
            return []
        claim = key_range.claims.get(message.digest)
        if claim is None or claim.settled:
            return []
        claim.ticket = message.ticket
        claim.settled = True
        waiting, claim.waiting = claim.waiting or {}, None
        return [
            effects.Send(name, key_messages.KeyClaimed(requested, claim.ticket))
            for requested, name in waiting.items()
        ]

    def tick(self) -> parts.Effects:
        """Remove expired claims and request missing ranges."""
        return self.ranges.tick()
