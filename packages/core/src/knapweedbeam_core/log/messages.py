"""What control replicas tell each other.

Every message names the replicas that it goes between, data folder included, so
that a replica with a new folder never answers for the old one.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core.log import members


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaHello:
    """A replica outside the group says that it is there."""

    sender: members.ReplicaId
    founded: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PreVote:
    """The sender asks whether `to` would vote for it in `term`."""

    sender: members.ReplicaId
    to: members.ReplicaId
    term: int
    last_index: int
    last_term: int


@dataclasses.dataclass(frozen=True, slots=True)
class PreVoteReply:
    """The answer to a `PreVote` for `term`."""

    sender: members.ReplicaId
    to: members.ReplicaId
    term: int
    granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Vote:
    """The sender asks for a vote in `term`."""

    sender: members.ReplicaId
    to: members.ReplicaId
    term: int
    last_index: int
    last_term: int


@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """The answer to a `Vote`; `term` is the newest that its sender knows."""

    sender: members.ReplicaId
    to: members.ReplicaId
    term: int
    granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AppendEntries:
    """Entries that follow `prev_index`; none in a heartbeat."""

    sender: members.ReplicaId
    to: members.ReplicaId
    term: int
    prev_index: int
    prev_term: int
    commit: int
    sent_ms: int
    entries: tuple[bytes, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """Entries up to `match` are synced, or `match` is where to try again."""

    sender: members.ReplicaId
    to: members.ReplicaId
    term: int
    accepted: bool
    match: int
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A part of a snapshot that is `size` bytes long."""

    sender: members.ReplicaId
    to: members.ReplicaId
    term: int
    index: int
    size: int
    offset: int
    data: bytes
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotReply:
    """The snapshot is there up to `offset`; all of it is synced when `done`."""

    sender: members.ReplicaId
    to: members.ReplicaId
    term: int
    index: int
    offset: int
    done: bool
    sent_ms: int


Message = (
    ReplicaHello
    | PreVote
    | PreVoteReply
    | Vote
    | VoteReply
    | AppendEntries
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
)
CLASSES: tuple[type, ...] = (
    ReplicaHello,
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    AppendEntries,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
)
