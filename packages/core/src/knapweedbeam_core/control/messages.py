"""Messages about bundles and limits between entry VMs and control replicas."""

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
    """Request for a `BundleNotice`; the sender has `version` in force.

    `revision` is that of its newest `InForceTable`.
    """

    version: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class BundleNotice:
    """The bundle that the sender has in force, and the leader known to it.

    All entry VMs have version `settled` or a newer one in force.
    """

    version: int
    digest: str
    term: int
    leader: str
    settled: int


@dataclasses.dataclass(frozen=True, slots=True)
class BundleFetch:
    """Request for the text of `version` or a newer one.

    The sender has the text with the digest `base`, or none.
    """

    version: int
    base: str


@dataclasses.dataclass(frozen=True, slots=True)
class BundleText:
    """The signed text of an accepted bundle, compressed with deflate.

    The text with the digest `base`, if any, is the dictionary.
    """

    version: int
    digest: str
    base: str
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeBundle:
    """A proposed signed text for the leader of `term`.

    `attempt` grows with each message of one process, so that a late copy of an
    answered message is recognised.
    """

    call: int
    attempt: int
    term: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class InForceRow:
    """The newest version known to be in force at one process."""

    name: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class InForceTable:
    """The versions in force at each process, as known to the leader."""

    revision: int
    rows: tuple[InForceRow, ...]
    unreachable_domains: tuple[str, ...]


NO_TABLE = InForceTable(0, (), ())


@dataclasses.dataclass(frozen=True, slots=True)
class BundleProposed:
    """The reply to one attempt; `NO_QUORUM` means that it changed nothing."""

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
    """Claim: the sender's run starts to use its shares of the limits."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShareReply:
    """The claim is in the log; `is_first` if no earlier run made one."""

    incarnation: int
    is_first: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TokenAsk:
    """Request for more of a limit; `number` grows with each request of a run."""

    number: int
    member: str
    limit: str
    amount: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenAsks:
    """The sender's requests for tokens of the pools."""

    asks: tuple[TokenAsk, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TokenReply:
    """The amount granted for one request, which may be 0."""

    incarnation: int
    number: int
    amount: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenUse:
    """The used part of a grant whose lease has expired."""

    number: int
    used: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenReturn:
    """Return of the unused parts of expired grants to their pools."""

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
