"""The limits of one entry VM, and their sharing through the log."""

from __future__ import annotations

import collections.abc
import typing

from knapweedbeam_core import clock, effects, ids
from knapweedbeam_core.bundles import model
from knapweedbeam_core.control import (
    distribution,
    ledger,
    messages,
    share_claims,
    token_leases,
)
from knapweedbeam_core.entry import parts
from knapweedbeam_core.limits import limiter
from knapweedbeam_core.log import replica

Handler = collections.abc.Callable[[ids.ProcessId, typing.Any], parts.Effects]


class LimitSharing:
    """Claims of shares and leases of tokens, for both entry VM and leader."""

    def __init__(
        self,
        me: ids.ProcessId,
        distributor: distribution.BundleDistributor,
        state: ledger.Ledger,
        own_replica: replica.Replica | None,
        timer: clock.Clock,
    ) -> None:
        self.me = me
        self.distributor = distributor
        self.ledger = state
        self.replica = own_replica
        self.limiter = limiter.Limiter(me.name, timer)
        self.claimer = share_claims.ShareClaimer(me, self.limiter, distributor, timer)
        self.holder = token_leases.LeaseHolder(self.limiter, timer)
        self.token_leases: token_leases.TokenLeases | None = None
        if own_replica is not None:
            self.token_leases = token_leases.TokenLeases(own_replica, state, timer)
        self.handlers: dict[type, Handler] = {
            messages.ShareAsk: self.on_share_ask,
            messages.ShareReply: self.on_share_reply,
            messages.TokenAsks: self.on_token_asks,
            messages.TokenReply: self.on_token_reply,
            messages.TokenReturn: self.on_token_return,
        }

    def apply_bundle(self, bundle: model.Bundle) -> None:
        """Apply the limits of a newer bundle."""
        self.limiter.apply_bundle(bundle)
        if self.token_leases is not None:
            self.token_leases.apply_bundle(bundle)

    def is_leader(self) -> bool:
        """Return whether this node leads and has applied all committed entries."""
        return self.replica is not None and self.replica.is_caught_up

    def handle_message(
        self, sender: ids.ProcessId, message: typing.Any
    ) -> parts.Effects:
        """Handle a message about limits."""
        return self.handlers[type(message)](sender, message)

    def tick(self) -> parts.Effects:
        """Claim shares, request missing tokens and return expired ones."""
        produced: parts.Effects = []
        if self.claimer.tick():
            produced += self.claim_shares()
        if self.limiter.meters_by_member:
            produced += self.send_to_leader(self.holder.build_requests())
            produced += self.send_to_leader(self.holder.build_return())
        if self.token_leases is not None:
            produced += self.token_leases.tick(self.is_leader())
        return produced

    def on_share_ask(
        self, sender: ids.ProcessId, request: messages.ShareAsk
    ) -> parts.Effects:
        """Record an entry VM's claim in the log, if this is the leader."""
        if self.replica is None or not self.is_leader():
            return []
        return share_claims.handle_claim(self.replica, self.ledger, sender)

    def on_share_reply(
        self, sender: ids.ProcessId, reply: messages.ShareReply
    ) -> parts.Effects:
        """Handle the reply on whether an earlier run of this entry VM had shares."""
        self.claimer.handle_reply(reply)
        return []

    def on_token_asks(
        self, sender: ids.ProcessId, requests: messages.TokenAsks
    ) -> parts.Effects:
        """Lease tokens to an entry VM, if this is the leader."""
        if self.token_leases is None or not self.is_leader():
            return []
        return self.token_leases.handle_requests(sender, requests)

    def on_token_reply(
        self, sender: ids.ProcessId, reply: messages.TokenReply
    ) -> parts.Effects:
        """Add the tokens granted to this run."""
        if reply.incarnation == self.me.incarnation:
            self.holder.handle_reply(reply)
        return []

    def on_token_return(
        self, sender: ids.ProcessId, returned: messages.TokenReturn
    ) -> parts.Effects:
        """Take back unused tokens, if this is the leader."""
        if self.token_leases is None or not self.is_leader():
            return []
        return self.token_leases.handle_return(sender, returned)

    def send_to_leader(
        self, message: messages.TokenAsks | messages.TokenReturn | None
    ) -> parts.Effects:
        """Send a message to the leader, which may be this node."""
        leader = self.distributor.leader.name
        if message is None or not leader:
            return []
        if leader == self.me.name:
            return self.handle_message(self.me, message)
        return [effects.Send(leader, message)]

    def claim_shares(self) -> parts.Effects:
        """Claim this run's shares at the leader, which may be this node."""
        leader = self.distributor.leader.name
        if leader == self.me.name:
            claim = self.ledger.claims.get(self.me.name)
            if claim is None or claim.incarnation != self.me.incarnation:
                return self.on_share_ask(self.me, messages.ShareAsk())
            self.claimer.handle_reply(
                messages.ShareReply(claim.incarnation, claim.is_first)
            )
            return []
        return [effects.Send(leader, messages.ShareAsk())] if leader else []

    def on_claim_applied(self, claimed: ledger.ShareClaimed) -> parts.Effects:
        """Reply to an entry VM whose claim is in the log."""
        claim = claimed.claim
        reply = messages.ShareReply(claim.incarnation, claim.is_first)
        return self.send_reply(claimed.holder, reply)

    def on_grant_applied(self, grant: ledger.TokenGrant) -> parts.Effects:
        """Record a grant that is in the log, and reply to its holder."""
        if self.token_leases is not None:
            self.token_leases.record_grant(grant)
        reply = messages.TokenReply(grant.incarnation, grant.number, grant.amount)
        return self.send_reply(grant.holder, reply)

    def send_reply(
        self, holder: str, reply: messages.ShareReply | messages.TokenReply
    ) -> parts.Effects:
        """Send an entry VM the result of its request, if this is the leader."""
        if not self.is_leader():
            return []
        if holder == self.me.name:
            return self.handle_message(self.me, reply)
        return [effects.Send(holder, reply)]
