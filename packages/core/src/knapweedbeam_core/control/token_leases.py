"""Leases of parts of limits' pools, granted to entry VMs through the log.

A holder uses a grant until its lease expires by its own clock, counted from when
it asked. The log counts the grant for the lease and a window longer, counted
from when it was made.
"""

from __future__ import annotations

import heapq

from knapweedbeam_core import clock, ids
from knapweedbeam_core.bundles import model
from knapweedbeam_core.control import ledger, messages
from knapweedbeam_core.entry import parts
from knapweedbeam_core.limits import limiter, shares, tokens, windows
from knapweedbeam_core.log import replica

REQUEST_INTERVAL_MS = 100
EXPIRY_INTERVAL_MS = 1_000
EXPIRY_RETRY_MS = 5_000
MAX_ASKS = 256
MAX_GRANT_UPDATES = 1_024


class LeaseHolder:
    """The token requests, grants and returns of this run of an entry VM."""

    def __init__(self, own_limiter: limiter.Limiter, timer: clock.Clock) -> None:
        self.limiter = own_limiter
        self.clock = timer
        self.number = 0
        self.requested: dict[int, tokens.TokenAllowance] = {}
        self.next_request_ms = timer.now_ms()
        self.next_expiry_ms = timer.now_ms()

    def build_requests(self) -> messages.TokenAsks | None:
        """Return the requests for missing tokens, to be sent to the leader."""
        now_ms = self.clock.now_ms()
        if not self.limiter.has_unmet_demand or now_ms < self.next_request_ms:
            return None
        self.next_request_ms = now_ms + REQUEST_INTERVAL_MS
        self.limiter.has_unmet_demand = False
        asks = []
        for member, limit, allowance in self.limiter.get_allowances():
            ask = allowance.build_request(self.number + 1)
            if ask is None:
                continue
            self.number += 1
            self.requested[self.number] = allowance
            asks.append(messages.TokenAsk(self.number, member, limit, ask.amount))
            if len(asks) == MAX_ASKS:
                break
        return messages.TokenAsks(tuple(asks)) if asks else None

    def handle_reply(self, reply: messages.TokenReply) -> None:
        """Add the tokens that the log granted."""
        allowance = self.requested.pop(reply.number, None)
        if allowance is not None:
            allowance.apply_reply(reply.number, reply.amount)

    def build_return(self) -> messages.TokenReturn | None:
        """Return the usage of expired tokens, to be sent to the leader."""
        now_ms = self.clock.now_ms()
        if now_ms < self.next_expiry_ms:
            return None
        self.next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
        uses = tuple(
            messages.TokenUse(token.number, token.used)
            for _, _, allowance in self.limiter.get_allowances()
            for token in allowance.remove_expired()
        )
        self.remove_replaced_requests()
        return messages.TokenReturn(uses) if uses else None

    def remove_replaced_requests(self) -> None:
        """Remove requests that newer ones have replaced."""
        self.requested = {
            number: allowance
            for number, allowance in self.requested.items()
            if allowance.pending_request is not None
            and allowance.pending_request.number == number
        }


class TokenLeases:
    """The leader's side: what to grant, and when grants no longer count."""

    def __init__(
        self, own: replica.Replica, state: ledger.Ledger, timer: clock.Clock
    ) -> None:
        self.replica = own
        self.ledger = state
        self.clock = timer
        self.limits: dict[tuple[str, str], tuple[int, int]] = {}
        self.expiries: list[tuple[int, ledger.GrantName]] = []
        self.next_expiry_ms = timer.now_ms()

    def apply_bundle(self, bundle: model.Bundle) -> None:
        """Apply the pools of a newer bundle."""
        units = {unit.name: unit for unit in bundle.units}
        self.limits = {
            (contract.member, limit.name): (
                shares.get_pool(limit, units[limit.unit]),
                limit.window_s * shares.MS_PER_S,
            )
            for contract in bundle.contracts
            for limit in contract.limits
        }

    def handle_requests(
        self, sender: ids.ProcessId, asks: messages.TokenAsks
    ) -> parts.Effects:
        """Propose to the log the grants that a run requests."""
        grants = [self.build_grant(sender, ask) for ask in asks.asks[:MAX_ASKS]]
        command = ledger.GrantTokens(grants)
        return self.replica.propose(ledger.encode(command))

    def build_grant(
        self, sender: ids.ProcessId, ask: messages.TokenAsk
    ) -> ledger.TokenGrant:
        """Return the grant for one request, with the pool that bounds it."""
        pool, window_ms = self.limits.get((ask.member, ask.limit), (0, 0))
        lease_ms = tokens.get_lease_ms(window_ms)
        return ledger.TokenGrant(
            sender.name,
            sender.incarnation,
            ask.number,
            ask.member,
            ask.limit,
            ask.amount,
            pool - self.get_removed_amount(ask.member),
            windows.add_drift(lease_ms + window_ms),
        )

    def get_removed_amount(self, member: str) -> int:
        """Return the amount still counted for limits that the bundle no longer has."""
        return sum(
            amount
            for key, amount in self.ledger.granted_amounts.items()
            if key[0] == member and key not in self.limits
        )

    def handle_return(
        self, sender: ids.ProcessId, returned: messages.TokenReturn
    ) -> parts.Effects:
        """Propose to the log that only the used part of expired grants counts."""
        uses = [
            ledger.GrantUsage((sender.name, sender.incarnation, use.number), use.used)
            for use in returned.uses[:MAX_GRANT_UPDATES]
        ]
        return self.replica.propose(ledger.encode(ledger.ReduceGrants(uses)))

    def record_grant(self, grant: ledger.TokenGrant) -> None:
        """Record when a grant stops counting, by this replica's clock."""
        if grant.amount:
            expires_ms = self.clock.now_ms() + grant.hold_ms
            heapq.heappush(self.expiries, (expires_ms, grant.name))

    def pop_expired(self) -> list[ledger.GrantUsage]:
        """Return the grants that no longer count, as reductions to zero.

        They are due again after `EXPIRY_RETRY_MS`, in case the log doesn't drop them.
        """
        now_ms = self.clock.now_ms()
        expired: list[ledger.GrantUsage] = []
        while (
            self.expiries
            and self.expiries[0][0] <= now_ms
            and len(expired) < MAX_GRANT_UPDATES
        ):
            name = heapq.heappop(self.expiries)[1]
            if name in self.ledger.grants:
                expired.append(ledger.GrantUsage(name, 0))
        for usage in expired:
            heapq.heappush(self.expiries, (now_ms + EXPIRY_RETRY_MS, usage.name))
        return expired

    def tick(self, is_leader: bool) -> parts.Effects:
        """Drop the grants that no longer count, if this is the leader."""
        now_ms = self.clock.now_ms()
        if now_ms < self.next_expiry_ms:
            return []
        self.next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
        expired = self.pop_expired()
        if not expired or not is_leader:
            return []
        return self.replica.propose(ledger.encode(ledger.ReduceGrants(expired)))
