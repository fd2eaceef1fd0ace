"""The state built from committed commands: accepted bundles, share claims, grants."""

from __future__ import annotations

import dataclasses

import msgspec

DIGEST_BYTES = 32
MAX_DIGESTS = 65_536
MAX_TEXTS = 8
MAX_CLAIMS = 4_096
MAX_GRANTS = 65_536


GrantName = tuple[str, int, int]


class RollBundle(msgspec.Struct, frozen=True, array_like=True, tag="roll"):
    """Accept a checked bundle if it follows the newest one.

    `origin` identifies the call that proposed it.
    """

    version: int
    digest: str
    text: str
    origin: str


class ClaimShare(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Record that one run of an entry VM starts to use its shares of the limits."""

    holder: str
    incarnation: int


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """Part of a limit's pool that one run may use; `number` is unique in that run.

    `pool` is the size of the pool, and the grant counts for `hold_ms`.
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
        """Return the unique name of the grant."""
        return (self.holder, self.incarnation, self.number)


class GrantTokens(msgspec.Struct, frozen=True, array_like=True, tag="grant"):
    """Lease parts of pools, as far as they are available."""

    grants: list[TokenGrant]


class GrantUsage(msgspec.Struct, frozen=True, array_like=True):
    """The amount of a grant that counts from now on."""

    name: GrantName
    amount: int


class ReduceGrants(msgspec.Struct, frozen=True, array_like=True, tag="count"):
    """Take back the unused parts of grants, or grants that no longer count."""

    uses: list[GrantUsage]


Command = RollBundle | ClaimShare | GrantTokens | ReduceGrants


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The newest claim of an entry VM; `is_first` if there was no earlier one."""

    incarnation: int
    is_first: bool


class State(msgspec.Struct, frozen=True, array_like=True):
    """The ledger in a snapshot.

    `digests` holds 32 bytes for each version, the last one for `version`.
    """

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
    """A claim was recorded."""

    holder: str
    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class TokensGranted:
    """A grant was made; its amount may be less than requested."""

    grant: TokenGrant


Event = BundleApplied | ShareClaimed | TokensGranted
ENCODER = msgspec.msgpack.Encoder()
COMMAND_DECODER = msgspec.msgpack.Decoder(Command)
STATE_DECODER = msgspec.msgpack.Decoder(State)


def encode(command: Command) -> bytes:
    """Return a command as the data of a log entry."""
    return ENCODER.encode(command)


class Ledger:
    """The replicated state; `take_events` returns what was newly applied."""

    def __init__(self) -> None:
        self.version = 0
        self.digests = bytearray()
        self.texts: dict[int, RollBundle] = {}
        self.claims: dict[str, Claim] = {}
        self.grants: dict[GrantName, TokenGrant] = {}
        self.granted_amounts: dict[tuple[str, str], int] = {}
        self.events: list[Event] = []

    def apply(self, index: int, data: bytes) -> None:
        """Apply one committed command."""
        command = COMMAND_DECODER.decode(data)
        match command:
            case RollBundle():
                self.apply_bundle(command)
            case ClaimShare():
                self.apply_claim(command)
            case GrantTokens():
                for grant in command.grants:
                    self.apply_grant(grant)
            case ReduceGrants():
                for usage in command.uses:
                    self.reduce_grant(usage)

    def apply_bundle(self, bundle: RollBundle) -> None:
        """Accept a bundle if it still follows the newest one."""
        if bundle.version != self.version + 1:
            return
        self.version = bundle.version
        self.digests += bytes.fromhex(bundle.digest)
        del self.digests[: -MAX_DIGESTS * DIGEST_BYTES]
        self.texts[bundle.version] = bundle
        self.texts.pop(bundle.version - MAX_TEXTS, None)
        self.events.append(BundleApplied(bundle))

    def apply_claim(self, command: ClaimShare) -> None:
        """Record which run of an entry VM uses its shares."""
        earlier = self.claims.pop(command.holder, None)
        claim = Claim(command.incarnation, earlier is None)
        if earlier is not None and earlier.incarnation == command.incarnation:
            claim = earlier
        self.claims[command.holder] = claim
        if len(self.claims) > MAX_CLAIMS:
            self.claims.pop(next(iter(self.claims)))
        self.events.append(ShareClaimed(command.holder, claim))

    def apply_grant(self, requested: TokenGrant) -> None:
        """Lease part of a pool; a repeated command changes nothing."""
        made = self.grants.get(requested.name)
        if made is None:
            available = requested.pool - self.granted_amounts.get(
                (requested.member, requested.limit), 0
            )
            amount = max(0, min(requested.amount, available))
            if len(self.grants) >= MAX_GRANTS:
                amount = 0
            made = msgspec.structs.replace(requested, amount=amount)
            if amount:
                self.add_grant(made)
        self.events.append(TokensGranted(made))

    def add_grant(self, grant: TokenGrant) -> None:
        """Count a grant against its pool."""
        key = (grant.member, grant.limit)
        self.grants[grant.name] = grant
        self.granted_amounts[key] = self.granted_amounts.get(key, 0) + grant.amount

    def reduce_grant(self, usage: GrantUsage) -> None:
        """Reduce the amount that counts of a grant, or drop the grant."""
        current = self.grants.pop(usage.name, None)
        if current is None:
            return
        key = (current.member, current.limit)
        self.granted_amounts[key] -= current.amount
        if not self.granted_amounts[key]:
            del self.granted_amounts[key]
        amount = min(usage.amount, current.amount)
        if amount > 0:
            self.add_grant(msgspec.structs.replace(current, amount=amount))

    def get_digest(self, version: int) -> str:
        """Return the digest of an accepted version, empty if it is not kept."""
        end = len(self.digests) - (self.version - version) * DIGEST_BYTES
        if version < 1 or version > self.version or end < DIGEST_BYTES:
            return ""
        return self.digests[end - DIGEST_BYTES : end].hex()

    def take_events(self) -> list[Event]:
        """Return and clear the events since the last call."""
        events, self.events = self.events, []
        return events

    def take_snapshot(self) -> bytes:
        """Return the entire state in encoded form."""
        texts = list(self.texts.values())
        grants = list(self.grants.values())
        state = State(self.version, bytes(self.digests), texts, self.claims, grants)
        return ENCODER.encode(state)

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        state = STATE_DECODER.decode(data)
        self.version = state.version
        self.digests = bytearray(state.digests)
        self.texts = {bundle.version: bundle for bundle in state.texts}
        self.claims = dict(state.claims)
        self.grants = {}
        self.granted_amounts = {}
        for grant in state.grants:
            self.add_grant(grant)
            self.events.append(TokensGranted(grant))
        if state.version in self.texts:
            self.events.append(BundleApplied(self.texts[state.version]))
