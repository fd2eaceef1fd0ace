"""What the committed commands build: accepted bundles and claims of shares."""

from __future__ import annotations

import dataclasses

import msgspec

DIGEST_BYTES = 32
DIGESTS_KEPT = 65_536
TEXTS_KEPT = 8
CLAIMS_KEPT = 4_096
GRANTS_KEPT = 65_536


GrantName = tuple[str, int, int]


class RollBundle(msgspec.Struct, frozen=True, array_like=True, tag="roll"):
    """Accept a checked bundle if it follows the newest one.

    `origin` names the call that brought it.
    """

    version: int
    digest: str
    text: str
    origin: str


class ClaimShare(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """One run of an entry VM starts to use its shares of the limits."""

    holder: str
    incarnation: int


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """Part of a limit's pool that one run may use up; `number` is that run's own.

    `pool` is what the pool holds, and the grant counts for `hold_ms`.
    """

    holder: str
    incarnation: int
    number: int
    member: str
    limit: str
    amount: int
    pool: int
    hold_ms: int

    @property
    def name(self) -> GrantName:
        """Return what no other grant is named by."""
        return (self.holder, self.incarnation, self.number)


class GrantTokens(msgspec.Struct, frozen=True, array_like=True, tag="grant"):
    """Lease out parts of pools, as far as they hold."""

    grants: list[TokenGrant]


class GrantUse(msgspec.Struct, frozen=True, array_like=True):
    """How much of a grant is to count from now on."""

    name: GrantName
    amount: int


class CountTokens(msgspec.Struct, frozen=True, array_like=True, tag="count"):
    """Take back what was not used, or what counts no more."""

    uses: list[GrantUse]


Command = RollBundle | ClaimShare | GrantTokens | CountTokens


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The newest claim of an entry VM; `is_first` when none came before."""

    incarnation: int
    is_first: bool


class State(msgspec.Struct, frozen=True, array_like=True):
    """The ledger in a snapshot; `digests` end at `version`, 32 bytes each."""

    version: int
    digests: bytes
    texts: list[RollBundle]
    claims: dict[str, Claim]
    grants: list[TokenGrant]


@dataclasses.dataclass(frozen=True, slots=True)
class BundleApplied:
    """A bundle was accepted."""

    bundle: RollBundle


@dataclasses.dataclass(frozen=True, slots=True)
class ShareClaimed:
    """A claim was taken."""

    holder: str
    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class TokensGranted:
    """A grant was made; its amount may be less than was asked for."""

    grant: TokenGrant


Event = BundleApplied | ShareClaimed | TokensGranted
ENCODER = msgspec.msgpack.Encoder()
COMMAND_DECODER = msgspec.msgpack.Decoder(Command)
STATE_DECODER = msgspec.msgpack.Decoder(State)


def encode(command: Command) -> bytes:
    """Return a command as the data of a log entry."""
    return ENCODER.encode(command)


class Ledger:
    """The replicated state; `take_events` returns what was applied since."""

    def __init__(self) -> None:
        self.version = 0
        self.digests = bytearray()
        self.texts: dict[int, RollBundle] = {}
        self.claims: dict[str, Claim] = {}
        self.grants: dict[GrantName, TokenGrant] = {}
        self.taken: dict[tuple[str, str], int] = {}
        self.events: list[Event] = []

    def apply(self, index: int, data: bytes) -> None:
        """Take one committed command."""
        command = COMMAND_DECODER.decode(data)
        match command:
            case RollBundle():
                self.roll(command)
            case ClaimShare():
                self.claim(command)
            case GrantTokens():
                for grant in command.grants:
                    self.grant(grant)
            case CountTokens():
                for use in command.uses:
                    self.count(use)

    def roll(self, bundle: RollBundle) -> None:
        """Accept a bundle, if it still follows the newest one."""
        if bundle.version != self.version + 1:
            return
        self.version = bundle.version
        self.digests += bytes.fromhex(bundle.digest)
        del self.digests[: -DIGESTS_KEPT * DIGEST_BYTES]
        self.texts[bundle.version] = bundle
        self.texts.pop(bundle.version - TEXTS_KEPT, None)
        self.events.append(BundleApplied(bundle))

    def claim(self, command: ClaimShare) -> None:
        """Note which run of an entry VM holds its shares."""
        known = self.claims.pop(command.holder, None)
        claim = Claim(command.incarnation, known is None)
        if known is not None and known.incarnation == command.incarnation:
            claim = known
        self.claims[command.holder] = claim
        if len(self.claims) > CLAIMS_KEPT:
            self.claims.pop(next(iter(self.claims)))
        self.events.append(ShareClaimed(command.holder, claim))

    def grant(self, asked: TokenGrant) -> None:
        """Lease out part of a pool; a repeated command changes nothing."""
        made = self.grants.get(asked.name)
        if made is None:
            left = asked.pool - self.taken.get((asked.member, asked.limit), 0)
            amount = max(0, min(asked.amount, left))
            if len(self.grants) >= GRANTS_KEPT:
                amount = 0
            made = msgspec.structs.replace(asked, amount=amount)
            if amount:
                self.keep_grant(made)
        self.events.append(TokensGranted(made))

    def keep_grant(self, grant: TokenGrant) -> None:
        """Count a grant against its pool."""
        key = (grant.member, grant.limit)
        self.grants[grant.name] = grant
        self.taken[key] = self.taken.get(key, 0) + grant.amount

    def count(self, use: GrantUse) -> None:
        """Let less of a grant count, or drop it."""
        known = self.grants.pop(use.name, None)
        if known is None:
            return
        key = (known.member, known.limit)
        self.taken[key] -= known.amount
        if not self.taken[key]:
            del self.taken[key]
        amount = min(use.amount, known.amount)
        if amount > 0:
            self.keep_grant(msgspec.structs.replace(known, amount=amount))

    def get_digest(self, version: int) -> str:
        """Return an accepted version's digest, empty when it is not kept."""
        end = len(self.digests) - (self.version - version) * DIGEST_BYTES
        if version < 1 or version > self.version or end < DIGEST_BYTES:
            return ""
        return self.digests[end - DIGEST_BYTES : end].hex()

    def take_events(self) -> list[Event]:
        """Return what was applied since the last call."""
        events, self.events = self.events, []
        return events

    def take_snapshot(self) -> bytes:
        """Return the whole state."""
        texts = list(self.texts.values())
        grants = list(self.grants.values())
        state = State(self.version, bytes(self.digests), texts, self.claims, grants)
        return ENCODER.encode(state)

    def restore(self, data: bytes) -> None:
        """Go on from a whole state."""
        state = STATE_DECODER.decode(data)
        self.version = state.version
        self.digests = bytearray(state.digests)
        self.texts = {bundle.version: bundle for bundle in state.texts}
        self.claims = dict(state.claims)
        self.grants = {}
        self.taken = {}
        for grant in state.grants:
            self.keep_grant(grant)
            self.events.append(TokensGranted(grant))
        if state.version in self.texts:
            self.events.append(BundleApplied(self.texts[state.version]))
