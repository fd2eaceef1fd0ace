"""The limits of one entry VM, and the log that they are shared through."""

from __future__ import annotations

import collections.abc
import typing

from knapweedbeam_core import clock, effects, ids
from knapweedbeam_core.bundles import model
from knapweedbeam_core.control import claiming, ledger, messages, pooling, spreading
from knapweedbeam_core.entry import parts
from knapweedbeam_core.limits import limiter
from knapweedbeam_core.log import replica

Handler = collections.abc.Callable[[ids.ProcessId, typing.Any], parts.Effects]


class Sharing:
    """Claims of shares and leases of pools, at both ends."""

    def __init__(
        self,
        me: ids.ProcessId,
        spread: spreading.Spread,
        state: ledger.Ledger,
        own: replica.Replica | None,
        timer: clock.Clock,
    ) -> None:
        self.me = me
        self.spread = spread
        self.ledger = state
        self.replica = own
        self.limiter = limiter.Limiter(me.name, timer)
        self.claimer = claiming.Claimer(me, self.limiter, spread, timer)
        self.holder = pooling.Holder(self.limiter, timer)
        self.pools: pooling.Pools | None = None
        if own is not None:
            self.pools = pooling.Pools(own, state, timer)
        self.handlers: dict[type, Handler] = {
            messages.ShareAsk: self.on_share_ask,
            messages.ShareReply: self.on_share_reply,
            messages.TokenAsks: self.on_token_asks,
            messages.TokenReply: self.on_token_reply,
            messages.TokenReturn: self.on_token_return,
        }

    def obey(self, bundle: model.Bundle) -> None:
        """Take the limits of a newer bundle."""
        self.limiter.apply_bundle(bundle)
        if self.pools is not None:
            self.pools.obey(bundle)

    def is_leader(self) -> bool:
        """Say whether this node leads and has applied everything."""
        return self.replica is not None and self.replica.is_caught_up

    def take(self, sender: ids.ProcessId, message: typing.Any) -> parts.Effects:
        """Take a message about limits."""
        return self.handlers[type(message)](sender, message)

    def tick(self) -> parts.Effects:
        """Claim shares, ask for what is lacking, and let go what lapsed."""
        produced: parts.Effects = []
        if self.claimer.tick():
            produced += self.claim_shares()
        if self.limiter.meters_by_member:
            produced += self.tell_leader(self.holder.collect_asks())
            produced += self.tell_leader(self.holder.collect_returns())
        if self.pools is not None:
            produced += self.pools.tick(self.is_leader())
        return produced

    def on_share_ask(
        self, sender: ids.ProcessId, ask: messages.ShareAsk
    ) -> parts.Effects:
        """Have the log note an entry VM's claim, if this is the leader."""
        if self.replica is None or not self.is_leader():
            return []
        return claiming.take_ask(self.replica, self.ledger, sender)

    def on_share_reply(
        self, sender: ids.ProcessId, reply: messages.ShareReply
    ) -> parts.Effects:
        """Learn whether an earlier run of this entry VM had shares."""
        self.claimer.take_reply(reply)
        return []

    def on_token_asks(
        self, sender: ids.ProcessId, asks: messages.TokenAsks
    ) -> parts.Effects:
        """Lease out parts of pools, if this is the leader."""
        if self.pools is None or not self.is_leader():
            return []
        return self.pools.take_asks(sender, asks)

    def on_token_reply(
        self, sender: ids.ProcessId, reply: messages.TokenReply
    ) -> parts.Effects:
        """Take what this run was granted."""
        if reply.incarnation == self.me.incarnation:
            self.holder.take_reply(reply)
        return []

    def on_token_return(
        self, sender: ids.ProcessId, returned: messages.TokenReturn
    ) -> parts.Effects:
        """Take back what was not used, if this is the leader."""
        if self.pools is None or not self.is_leader():
            return []
        return self.pools.take_return(sender, returned)

    def tell_leader(
        self, message: messages.TokenAsks | messages.TokenReturn | None
    ) -> parts.Effects:
        """Give a message to the leader, which may be this node."""
        leader = self.spread.leader.name
        if message is None or not leader:
            return []
        if leader == self.me.name:
            return self.take(self.me, message)
        return [effects.Send(leader, message)]

    def claim_shares(self) -> parts.Effects:
        """Ask the leader to note that this run uses its shares."""
        leader = self.spread.leader.name
        if leader == self.me.name:
            known = self.ledger.claims.get(self.me.name)
            if known is None or known.incarnation != self.me.incarnation:
                return self.on_share_ask(self.me, messages.ShareAsk())
            self.claimer.take_reply(
                messages.ShareReply(known.incarnation, known.is_first)
            )
            return []
        return [effects.Send(leader, messages.ShareAsk())] if leader else []

    def note_claim(self, claimed: ledger.ShareClaimed) -> parts.Effects:
        """Tell an entry VM that the log has its claim."""
        claim = claimed.claim
        reply = messages.ShareReply(claim.incarnation, claim.is_first)
        return self.reply_applied(claimed.holder, reply)

    def note_grant(self, grant: ledger.TokenGrant) -> parts.Effects:
        """Remember a grant that was made, and tell its holder."""
        if self.pools is not None:
            self.pools.note(grant)
        reply = messages.TokenReply(grant.incarnation, grant.number, grant.amount)
        return self.reply_applied(grant.holder, reply)

    def reply_applied(
        self, holder: str, reply: messages.ShareReply | messages.TokenReply
    ) -> parts.Effects:
        """Tell an entry VM what the log has for it, if this is the leader."""
        if not self.is_leader():
            return []
        if holder == self.me.name:
            return self.take(self.me, reply)
        return [effects.Send(holder, reply)]
