"""How an entry VM learns whether an earlier run of it had shares of the limits.

An earlier run may have used its whole shares, so a later one waits until that
is out of the windows. Only the log knows that there was none.
"""

from __future__ import annotations

from knapweedbeam_core import clock, effects, ids
from knapweedbeam_core.control import ledger, messages, spreading
from knapweedbeam_core.entry import parts
from knapweedbeam_core.limits import limiter
from knapweedbeam_core.log import replica

CLAIM_RETRY_MS = 500
SETTLE_MS = 1_000


def take_ask(
    own: replica.Replica, state: ledger.Ledger, sender: ids.ProcessId
) -> parts.Effects:
    """Answer a claim that the log has, else put it into the log."""
    known = state.claims.get(sender.name)
    if known is not None and known.incarnation == sender.incarnation:
        reply = messages.ShareReply(known.incarnation, known.is_first)
        return [effects.Send(sender.name, reply)]
    command = ledger.ClaimShare(sender.name, sender.incarnation)
    return own.propose(ledger.encode(command))


class Claimer:
    """Claims this run's shares, once the bundle in force has contracts."""

    def __init__(
        self,
        me: ids.ProcessId,
        own_limiter: limiter.Limiter,
        spread: spreading.Spread,
        timer: clock.Clock,
    ) -> None:
        self.me = me
        self.limiter = own_limiter
        self.spread = spread
        self.clock = timer
        self.is_answered = False
        self.ask_ms = timer.now_ms()
        self.settle_ms = timer.now_ms()

    def tick(self) -> bool:
        """Let shares grow where they may; say whether to claim now."""
        now_ms = self.clock.now_ms()
        if not self.limiter.meters_by_member:
            return False
        if now_ms >= self.settle_ms:
            self.settle_ms = now_ms + SETTLE_MS
            self.limiter.set_oldest_version(self.spread.settled)
        if self.is_answered or now_ms < self.ask_ms:
            return False
        self.ask_ms = now_ms + CLAIM_RETRY_MS
        return True

    def take_reply(self, reply: messages.ShareReply) -> None:
        """Use the whole shares at once if no earlier run had any."""
        current = self.spread.current
        if reply.incarnation != self.me.incarnation or current is None:
            return
        if reply.is_first and not self.is_answered:
            self.limiter.start_first_run(current.bundle)
        self.is_answered = True
