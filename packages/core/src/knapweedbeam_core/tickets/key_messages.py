"""The messages about callers' own keys.

Each names the roster epoch that it is for. Answers that only count for the run
that asked carry its incarnation back as `asker`.
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
    """The key that was to be claimed for `wanted` stands for `ticket`."""

    wanted: str
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRefused:
    """The registrar has no room for another key."""

    wanted: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordClaim:
    """Ask the second registrar to record a claim."""

    epoch: int
    digest: bytes
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRecorded:
    """The second registrar holds the key for `ticket`."""

    epoch: int
    digest: bytes
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A key and the ticket that it stands for."""

    digest: bytes
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class FetchRanges:
    """Ask a process for the claims that it holds whole under `held_epoch`."""

    epoch: int
    held_epoch: int
    ranges: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RangeHandedOver:
    """One part of the claims of one range, in answer to `FetchRanges`."""

    epoch: int
    asker: int
    index: int
    snapshot: int
    part: int
    parts: int
    claims: tuple[Claim, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AskNotes:
    """Ask which ranges are noted as opened; `turn` counts the sender's rounds."""

    turn: int


@dataclasses.dataclass(frozen=True, slots=True)
class OpenedRanges:
    """Ranges of one failure domain that have been opened."""

    domain: str
    ranges: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NotesTold:
    """All that the sender has noted; `synced` when that is all there is."""

    asker: int
    turn: int
    synced: bool
    notes: tuple[OpenedRanges, ...]
    concluded: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NoteOpened:
    """Note that the sender opens ranges of its failure domain."""

    domain: str
    ranges: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OpenedNoted:
    """The sender has noted that the ranges are opened."""

    asker: int
    ranges: tuple[int, ...]
