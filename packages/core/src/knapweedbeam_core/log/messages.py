"""Messages between control replicas.

Except for hellos, which have no recipient, every message identifies its sender and
recipient including their data folders, so that a replica with a new folder never
answers for the old one.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core.log import members


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaHello:
    """A replica that is not a member announces itself."""

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
    """The reply to a `PreVote` for `term`."""

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
    """The reply to a `Vote`; `term` is the newest term that its sender knows."""

    sender: members.ReplicaId
    to: members.ReplicaId
    term: int
    granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LeadGivenUp:
    """The leader of `term` leads no more; the successor should be elected at once."""

    sender: members.ReplicaId
    to: members.ReplicaId
    term: int
    is_successor: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AppendEntries:
    """Entries that follow `prev_index`; a heartbeat has none."""

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
    """The reply to `AppendEntries`.

    If `accepted`, entries up to `match` are synced; otherwise the leader should retry
    after index `match`.
    """

    sender: members.ReplicaId
    to: members.ReplicaId
    term: int
    accepted: bool
    match: int
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A chunk of a snapshot that has `size` bytes in total."""

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
    """The snapshot is received up to `offset`; all of it is synced if `done`."""

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
    | LeadGivenUp
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
    LeadGivenUp,
    AppendEntries,
    AppendReply,
    SnapshotChunk,
    SnapshotReply,
)
