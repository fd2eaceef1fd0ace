"""Parts of a limit's pool that this run may use up before their leases lapse."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock

SHORTEST_LEASE_MS = 60_000
LEASE_PARTS = 4
REFUSED_MS = 1_000
ASK_MS = 100
ASK_LOST_MS = 2_000
SMALL_PARTS = 64


def get_lease_ms(window_ms: int) -> int:
    """Return how long a run may use what it was granted."""
    return max(SHORTEST_LEASE_MS, window_ms // LEASE_PARTS)


@dataclasses.dataclass(slots=True)
class Token:
    """A grant in use; `left` is neither reserved nor used."""

    number: int
    left: int
    until_ms: int
    used: int = 0


@dataclasses.dataclass(slots=True)
class TokenReservation:
    """What a job has reserved of a token."""

    token: Token
    amount: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """An ask under way; the lease counts from when it was sent."""

    number: int
    amount: int
    sent_ms: int


class TokenAllowance:
    """The tokens of one limit at this run."""

    def __init__(self, pool: int, window_ms: int, timer: clock.Clock) -> None:
        self.clock = timer
        self.pool = pool
        self.lease_ms = get_lease_ms(window_ms)
        self.tokens: list[Token] = []
        self.wanted = 0
        self.pending_request: TokenRequest | None = None
        self.ask_ms = 0

    def get_left(self, due_ms: int) -> int:
        """Return what a job may reserve that starts its tasks until `due_ms`."""
        return sum(token.left for token in self.tokens if token.until_ms > due_ms)

    def take(self, amount: int, due_ms: int) -> list[TokenReservation]:
        """Reserve an amount that is there."""
        taken = []
        for token in self.tokens:
            part = min(amount, token.left)
            if part and token.until_ms > due_ms:
                token.left -= part
                amount -= part
                taken.append(TokenReservation(token, part))
        return taken

    def want(self, amount: int) -> int:
        """Note what is lacking; return when to look again."""
        self.wanted = max(self.wanted, amount)
        return max(self.clock.now_ms() + ASK_MS, self.ask_ms)

    def build_request(self, number: int) -> TokenRequest | None:
        """Return the ask that is due now, or none."""
        now_ms = self.clock.now_ms()
        if not self.wanted or now_ms < self.ask_ms:
            return None
        amount = min(max(self.wanted, self.pool // SMALL_PARTS), self.pool)
        self.wanted = 0
        self.ask_ms = now_ms + ASK_LOST_MS
        self.pending_request = TokenRequest(number, amount, now_ms)
        return self.pending_request

    def apply_reply(self, number: int, amount: int) -> None:
        """Take what was granted for the ask under way."""
        ask = self.pending_request
        if ask is None or ask.number != number:
            return
        self.pending_request = None
        self.ask_ms = self.clock.now_ms() + (0 if amount else REFUSED_MS)
        if amount:
            self.tokens.append(Token(number, amount, ask.sent_ms + self.lease_ms))

    def remove_expired(self) -> list[Token]:
        """Return the tokens whose leases lapsed, and use them no more."""
        now_ms = self.clock.now_ms()
        lapsed = [token for token in self.tokens if token.until_ms <= now_ms]
        if lapsed:
            self.tokens = [token for token in self.tokens if token.until_ms > now_ms]
        return lapsed
