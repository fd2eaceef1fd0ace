"""Claims by which an entry VM learns whether an earlier run had shares of limits.

An earlier run may have used its whole shares, so a later one waits until that
is out of the windows. Only the log knows that there was none.
"""

from __future__ import annotations

from knapweedbeam_core import clock, effects, ids
from knapweedbeam_core.control import distribution, ledger, messages
from knapweedbeam_core.entry import parts
from knapweedbeam_core.limits import limiter
from knapweedbeam_core.log import replica

CLAIM_RETRY_MS = 500
SHARE_UPDATE_INTERVAL_MS = 1_000


def handle_claim(
    own: replica.Replica, state: ledger.Ledger, sender: ids.ProcessId
) -> parts.Effects:
    """Reply to a claim that the log has already, else propose it to the log."""
    claim = state.claims.get(sender.name)
    if claim is not None and claim.incarnation == sender.incarnation:
        reply = messages.ShareReply(claim.incarnation, claim.is_first)
        return [effects.Send(sender.name, reply)]
    command = ledger.ClaimShare(sender.name, sender.incarnation)
    return own.propose(ledger.encode(command))


class ShareClaimer:
    """Claims this run's shares, once the bundle in force has contracts."""

    def __init__(
        self,
        me: ids.ProcessId,
        own_limiter: limiter.Limiter,
        distributor: distribution.BundleDistributor,
        timer: clock.Clock,
    ) -> None:
        self.me = me
        self.limiter = own_limiter
        self.distributor = distributor
        self.clock = timer
        self.is_answered = False
        self.next_claim_ms = timer.now_ms()
        self.next_update_ms = timer.now_ms()

    def tick(self) -> bool:
        """Let shares grow where allowed; return whether a claim is due now."""
        now_ms = self.clock.now_ms()
        if not self.limiter.meters_by_member:
            return False
        if now_ms >= self.next_update_ms:
            self.next_update_ms = now_ms + SHARE_UPDATE_INTERVAL_MS
            self.limiter.set_oldest_version(self.distributor.settled_version)
        if self.is_answered or now_ms < self.next_claim_ms:
            return False
        self.next_claim_ms = now_ms + CLAIM_RETRY_MS
        return True

    def handle_reply(self, reply: messages.ShareReply) -> None:
        """Use the whole shares at once if no earlier run had any."""
        current = self.distributor.current
        if reply.incarnation != self.me.incarnation or current is None:
            return
        if reply.is_first and not self.is_answered:
            self.limiter.start_first_run(current.bundle)
        self.is_answered = True
