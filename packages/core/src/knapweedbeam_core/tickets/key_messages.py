"""The messages about callers' own keys.

Messages about claims and ranges carry the epoch of the range assignment. Replies
that are valid only for the incarnation that asked carry it back as `asker`.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Claim a key for a ticket of the sender."""

    epoch: int
    digest: bytes
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeyClaimed:
    """The key whose claim named the ticket `wanted` is claimed for `ticket`."""

    wanted: str
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The registrar cannot hold another key."""

    wanted: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordClaim:
    """Request that the second registrar records a claim."""

    epoch: int
    digest: bytes
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecorded:
    """The second registrar has recorded the key for `ticket`."""

    epoch: int
    digest: bytes
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The digest of a key and the ticket that holds the key."""

    digest: bytes
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class FetchRanges:
    """Request the ranges that a process holds completely under `held_epoch`."""

    epoch: int
    held_epoch: int
    ranges: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RangeHandedOver:
    """One part of the claims of a range, in reply to `FetchRanges`."""

    epoch: int
    asker: int
    index: int
    snapshot: int
    part: int
    parts: int
    claims: tuple[Claim, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AskNotes:
    """Request the ranges noted as opened; `turn` numbers the sender's rounds."""

    turn: int


@dataclasses.dataclass(frozen=True, slots=True)
class OpenedRanges:
    """Ranges of a failure domain that have been opened."""

    domain: str
    ranges: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NotesTold:
    """All ranges that the sender has noted as opened.

    `synced` is set if the sender knows of every opened range, `concluded` if it has
    concluded that this is the first start.
    """

    asker: int
    turn: int
    synced: bool
    notes: tuple[OpenedRanges, ...]
    concluded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NoteOpened:
    """The sender is opening ranges of its failure domain; note them as opened."""

    domain: str
    ranges: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OpenedNoted:
    """The sender has noted the ranges as opened."""

    asker: int
    ranges: tuple[int, ...]
