"""Records that a control replica writes to its data folder and reads back."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

from knapweedbeam_core.log import members


class EntryKind(enum.StrEnum):
    """The content of a log entry."""

    MEMBERS = "members"
    COMMAND = "command"


class HardState(msgspec.Struct, frozen=True, array_like=True, tag="state"):
    """The newest term seen, and the candidate that got this replica's vote in it."""

    term: int
    vote: members.ReplicaId | None


class Founded(msgspec.Struct, frozen=True, array_like=True, tag="founded"):
    """The replicas that bootstrapped the log together."""

    group: members.Members


class Committed(msgspec.Struct, frozen=True, array_like=True, tag="committed"):
    """All entries up to `index` are committed."""

    index: int


class Entry(msgspec.Struct, frozen=True, array_like=True, tag="entry"):
    """A log entry; it replaces the entries at its index and after."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state after applying the entries up to `index`, which it replaces."""

    index: int
    term: int
    group: members.Members
    state: bytes


Record = HardState | Founded | Committed | Entry

ENCODER = msgspec.msgpack.Encoder()
RECORD_DECODER = msgspec.msgpack.Decoder(Record)
ENTRY_DECODER = msgspec.msgpack.Decoder(Entry)
SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)
MEMBERS_DECODER = msgspec.msgpack.Decoder(members.Members)


@dataclasses.dataclass(frozen=True, slots=True)
class RestoredState:
    """The contents of the data folder; empty for a VM without one.

    `identity` identifies the folder permanently; a folder that was lost and created
    again has another one. `records` follow `snapshot` in the order of writing.
    """

    identity: str = ""
    snapshot: bytes = b""
    snapshot_index: int = 0
    records: tuple[bytes, ...] = ()


def encode(record: Record | Snapshot | members.Members) -> bytes:
    """Return a record as bytes."""
    return ENCODER.encode(record)


def decode_record(data: bytes) -> Record:
    """Decode a record; raises `msgspec.MsgspecError` for invalid data."""
    return RECORD_DECODER.decode(data)
