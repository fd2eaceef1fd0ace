"""What the committed commands build: accepted bundles and claims of shares."""

from __future__ import annotations

import dataclasses

import msgspec

DIGEST_BYTES = 32
DIGESTS_KEPT = 65_536
TEXTS_KEPT = 8
CLAIMS_KEPT = 4_096


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


Command = RollBundle | ClaimShare


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


@dataclasses.dataclass(frozen=True, slots=True)
class BundleApplied:
    """A bundle was accepted."""

    bundle: RollBundle


@dataclasses.dataclass(frozen=True, slots=True)
class ShareClaimed:
    """A claim was taken."""

    holder: str
    claim: Claim


Event = BundleApplied | ShareClaimed
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
        self.events: list[Event] = []

    def apply(self, index: int, data: bytes) -> None:
        """Take one committed command."""
        command = COMMAND_DECODER.decode(data)
        match command:
            case RollBundle():
                self.roll(command)
            case ClaimShare():
                self.claim(command)

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
        state = State(self.version, bytes(self.digests), texts, self.claims)
        return ENCODER.encode(state)

    def restore(self, data: bytes) -> None:
        """Go on from a whole state."""
        state = STATE_DECODER.decode(data)
        self.version = state.version
        self.digests = bytearray(state.digests)
        self.texts = {bundle.version: bundle for bundle in state.texts}
        self.claims = dict(state.claims)
        if state.version in self.texts:
            self.events.append(BundleApplied(self.texts[state.version]))
