"""Tokens: leased amounts of a limit's pool that expire with their lease."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock

MIN_LEASE_MS = 60_000
LEASES_PER_WINDOW = 4
REFUSAL_RETRY_MS = 1_000
REQUEST_INTERVAL_MS = 100
REQUEST_TIMEOUT_MS = 2_000
MIN_REQUEST_DIVISOR = 64


def get_lease_ms(window_ms: int) -> int:
    """Return how long a run may use a token, for a limit's window."""
    return max(MIN_LEASE_MS, window_ms // LEASES_PER_WINDOW)


@dataclasses.dataclass(slots=True)
class Token:
    """A granted amount; `available` is the part neither reserved nor used."""

    number: int
    available: int
    expires_ms: int
    used: int = 0


@dataclasses.dataclass(slots=True)
class TokenReservation:
    """Amount that a job has reserved of a token."""

    token: Token
    amount: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """A request for tokens that is in flight.

    The lease of the token counts from `sent_ms`, so that it ends here no later
    than where it was granted.
    """

    number: int
    amount: int
    sent_ms: int


class TokenAllowance:
    """The tokens of one limit held by this run of the entry VM.

    `demand` is the largest missing amount since the last request.
    """

    def __init__(self, pool: int, window_ms: int, timer: clock.Clock) -> None:
        self.clock = timer
        self.pool = pool
        self.lease_ms = get_lease_ms(window_ms)
        self.tokens: list[Token] = []
        self.demand = 0
        self.pending_request: TokenRequest | None = None
        self.next_request_ms = 0

    def get_available(self, due_ms: int) -> int:
        """Return the available amount of tokens that expire after `due_ms`."""
        return sum(
            token.available for token in self.tokens if token.expires_ms > due_ms
        )

    def reserve_tokens(self, amount: int, due_ms: int) -> list[TokenReservation]:
        """Reserve an available amount from tokens that expire after `due_ms`."""
        reservations = []
        for token in self.tokens:
            reserved = min(amount, token.available)
            if reserved and token.expires_ms > due_ms:
                token.available -= reserved
                amount -= reserved
                reservations.append(TokenReservation(token, reserved))
        return reservations

    def record_demand(self, amount: int) -> int:
        """Record a missing amount and return when to try again."""
        self.demand = max(self.demand, amount)
        return max(self.clock.now_ms() + REQUEST_INTERVAL_MS, self.next_request_ms)

    def build_request(self, number: int) -> TokenRequest | None:
        """Return a request for the recorded demand, or none if none is due."""
        now_ms = self.clock.now_ms()
        if not self.demand or now_ms < self.next_request_ms:
            return None
        amount = min(max(self.demand, self.pool // MIN_REQUEST_DIVISOR), self.pool)
        self.demand = 0
        self.next_request_ms = now_ms + REQUEST_TIMEOUT_MS
        self.pending_request = TokenRequest(number, amount, now_ms)
        return self.pending_request

    def apply_reply(self, number: int, amount: int) -> None:
        """Add the amount granted for the request in flight; 0 means refused."""
        request = self.pending_request
        if request is None or request.number != number:
            return
        self.pending_request = None
        self.next_request_ms = self.clock.now_ms() + (0 if amount else REFUSAL_RETRY_MS)
        if amount:
            self.tokens.append(Token(number, amount, request.sent_ms + self.lease_ms))

    def remove_expired(self) -> list[Token]:
        """Remove the tokens whose leases have expired and return them."""
        now_ms = self.clock.now_ms()
        expired = [token for token in self.tokens if token.expires_ms <= now_ms]
        if expired:
            self.tokens = [token for token in self.tokens if token.expires_ms > now_ms]
        return expired
