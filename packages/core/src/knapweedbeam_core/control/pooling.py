"""How entry VMs lease parts of limits' pools through the log.

A holder uses a grant until its lease lapses by its own clock, counted from when
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

ASK_MS = 100
LAPSE_MS = 1_000
RECOUNT_MS = 5_000
MAX_ASKS = 256
MAX_COUNTED = 1_024


class Holder:
    """The asks, grants and returns of one run of an entry VM."""

    def __init__(self, own_limiter: limiter.Limiter, timer: clock.Clock) -> None:
        self.limiter = own_limiter
        self.clock = timer
        self.number = 0
        self.asked: dict[int, tokens.TokenAllowance] = {}
        self.ask_ms = timer.now_ms()
        self.lapse_ms = timer.now_ms()

    def collect_asks(self) -> messages.TokenAsks | None:
        """Return what is lacking now, for the leader."""
        now_ms = self.clock.now_ms()
        if not self.limiter.has_unmet_demand or now_ms < self.ask_ms:
            return None
        self.ask_ms = now_ms + ASK_MS
        self.limiter.has_unmet_demand = False
        asks = []
        for member, limit, allowance in self.limiter.get_allowances():
            ask = allowance.build_request(self.number + 1)
            if ask is None:
                continue
            self.number += 1
            self.asked[self.number] = allowance
            asks.append(messages.TokenAsk(self.number, member, limit, ask.amount))
            if len(asks) == MAX_ASKS:
                break
        return messages.TokenAsks(tuple(asks)) if asks else None

    def take_reply(self, reply: messages.TokenReply) -> None:
        """Take what the log granted."""
        allowance = self.asked.pop(reply.number, None)
        if allowance is not None:
            allowance.apply_reply(reply.number, reply.amount)

    def collect_returns(self) -> messages.TokenReturn | None:
        """Return what lapsed, for the leader."""
        now_ms = self.clock.now_ms()
        if now_ms < self.lapse_ms:
            return None
        self.lapse_ms = now_ms + LAPSE_MS
        uses = tuple(
            messages.TokenUse(token.number, token.used)
            for _, _, allowance in self.limiter.get_allowances()
            for token in allowance.remove_expired()
        )
        self.forget_asks()
        return messages.TokenReturn(uses) if uses else None

    def forget_asks(self) -> None:
        """Forget asks that newer ones replaced."""
        self.asked = {
            number: allowance
            for number, allowance in self.asked.items()
            if allowance.pending_request is not None
            and allowance.pending_request.number == number
        }


class Pools:
    """The leader's side: what to grant, and when grants count no more."""

    def __init__(
        self, own: replica.Replica, state: ledger.Ledger, timer: clock.Clock
    ) -> None:
        self.replica = own
        self.ledger = state
        self.clock = timer
        self.limits: dict[tuple[str, str], tuple[int, int]] = {}
        self.over: list[tuple[int, ledger.GrantName]] = []
        self.count_ms = timer.now_ms()

    def obey(self, bundle: model.Bundle) -> None:
        """Take the pools of a newer bundle."""
        units = {unit.name: unit for unit in bundle.units}
        self.limits = {
            (contract.member, limit.name): (
                shares.get_pool(limit, units[limit.unit]),
                limit.window_s * shares.MS_PER_S,
            )
            for contract in bundle.contracts
            for limit in contract.limits
        }

    def take_asks(
        self, sender: ids.ProcessId, asks: messages.TokenAsks
    ) -> parts.Effects:
        """Put into the log what a run asks for."""
        grants = [self.build_grant(sender, ask) for ask in asks.asks[:MAX_ASKS]]
        command = ledger.GrantTokens(grants)
        return self.replica.propose(ledger.encode(command))

    def build_grant(
        self, sender: ids.ProcessId, ask: messages.TokenAsk
    ) -> ledger.TokenGrant:
        """Return one ask with what bounds it."""
        pool, window_ms = self.limits.get((ask.member, ask.limit), (0, 0))
        lease_ms = tokens.get_lease_ms(window_ms)
        return ledger.TokenGrant(
            sender.name,
            sender.incarnation,
            ask.number,
            ask.member,
            ask.limit,
            ask.amount,
            pool - self.get_foreign(ask.member),
            windows.add_drift(lease_ms + window_ms),
        )

    def get_foreign(self, member: str) -> int:
        """Return what still counts of limits that the bundle has no more."""
        return sum(
            amount
            for key, amount in self.ledger.taken.items()
            if key[0] == member and key not in self.limits
        )

    def take_return(
        self, sender: ids.ProcessId, returned: messages.TokenReturn
    ) -> parts.Effects:
        """Let the unused rest of lapsed grants go back."""
        uses = [
            ledger.GrantUse((sender.name, sender.incarnation, use.number), use.used)
            for use in returned.uses[:MAX_COUNTED]
        ]
        return self.replica.propose(ledger.encode(ledger.CountTokens(uses)))

    def note(self, grant: ledger.TokenGrant) -> None:
        """Remember when a grant counts no more, by this replica's clock."""
        if grant.amount:
            over_ms = self.clock.now_ms() + grant.hold_ms
            heapq.heappush(self.over, (over_ms, grant.name))

    def count_over(self) -> list[ledger.GrantUse]:
        """Return the grants that count no more."""
        now_ms = self.clock.now_ms()
        over: list[ledger.GrantUse] = []
        while self.over and self.over[0][0] <= now_ms and len(over) < MAX_COUNTED:
            name = heapq.heappop(self.over)[1]
            if name in self.ledger.grants:
                over.append(ledger.GrantUse(name, 0))
        for use in over:
            heapq.heappush(self.over, (now_ms + RECOUNT_MS, use.name))
        return over

    def tick(self, is_leader: bool) -> parts.Effects:
        """Drop the grants that count no more, if this is the leader."""
        now_ms = self.clock.now_ms()
        if now_ms < self.count_ms:
            return []
        self.count_ms = now_ms + LAPSE_MS
        over = self.count_over()
        if not over or not is_leader:
            return []
        return self.replica.propose(ledger.encode(ledger.CountTokens(over)))
