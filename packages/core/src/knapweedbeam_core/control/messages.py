"""What entry VMs and control replicas tell each other of bundles."""

from __future__ import annotations

import dataclasses
import enum


class Verdict(enum.StrEnum):
    """A leader's answer to a proposal."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"
    SIGNATURES = "signatures"
    STALE = "stale"
    NO_QUORUM = "no_quorum"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class BundleAsk:
    """The sender has `version` in force and asks for a `BundleNotice`.

    `revision` is that of the newest `InForceTable` it holds.
    """

    version: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class BundleNotice:
    """What the sender has in force, and the leader that it knows of.

    Every entry VM that the bundles name has `settled` or a newer one in force.
    """

    version: int
    digest: str
    term: int
    leader: str
    settled: int


@dataclasses.dataclass(frozen=True, slots=True)
class BundleFetch:
    """The sender wants the text of `version` or a newer one.

    It holds the text with the digest `base`, or none.
    """

    version: int
    base: str


@dataclasses.dataclass(frozen=True, slots=True)
class BundleText:
    """The signed text of an accepted bundle, deflated.

    The text with the digest `base`, if any, is the dictionary.
    """

    version: int
    digest: str
    base: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeBundle:
    """A signed text for the leader of `term`.

    `attempt` grows with each message of one process, so that a late copy of a
    message that was answered is known.
    """

    call: int
    attempt: int
    term: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class InForceRow:
    """The newest version that one process is known to have in force."""

    name: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class InForceTable:
    """What the leader knows to be in force where."""

    revision: int
    rows: tuple[InForceRow, ...]
    unreachable_domains: tuple[str, ...]


NO_TABLE = InForceTable(0, (), ())


@dataclasses.dataclass(frozen=True, slots=True)
class BundleProposed:
    """The answer to one attempt; `NO_QUORUM` says that it changes nothing."""

    call: int
    attempt: int
    verdict: Verdict
    version: int = 0
    digest: str = ""
    again: bool = False
    detail: str = ""
    table: InForceTable = NO_TABLE


@dataclasses.dataclass(frozen=True, slots=True)
class ShareAsk:
    """The sender's run starts to use its shares of the limits."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShareReply:
    """The log has the claim; `is_first` when no earlier run had made one."""

    incarnation: int
    is_first: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TokenAsk:
    """One run needs more of a limit; `number` grows with each of its asks."""

    number: int
    member: str
    limit: str
    amount: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenAsks:
    """What the sender needs of the pools."""

    asks: tuple[TokenAsk, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TokenReply:
    """What was granted for one ask; it may be nothing."""

    incarnation: int
    number: int
    amount: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenUse:
    """How much of a grant was used when its lease lapsed."""

    number: int
    used: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenReturn:
    """The rest of these grants may go back to their pools."""

    uses: tuple[TokenUse, ...]


Message = (
    BundleAsk
    | BundleNotice
    | BundleFetch
    | BundleText
    | ProposeBundle
    | BundleProposed
    | InForceTable
    | ShareAsk
    | ShareReply
    | TokenAsks
    | TokenReply
    | TokenReturn
)
CLASSES: tuple[type, ...] = (
    BundleAsk,
    BundleNotice,
    BundleFetch,
    BundleText,
    ProposeBundle,
    BundleProposed,
    InForceTable,
    ShareAsk,
    ShareReply,
    TokenAsks,
    TokenReply,
    TokenReturn,
)
