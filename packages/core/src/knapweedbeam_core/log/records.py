"""What a control replica writes to its data folder, and reads back."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

from knapweedbeam_core.log import members


class EntryKind(enum.StrEnum):
    """What an entry of the log carries."""

    MEMBERS = "members"
    COMMAND = "command"


class HardState(msgspec.Struct, frozen=True, array_like=True, tag="state"):
    """The newest term seen and whom this replica voted for in it."""

    term: int
    vote: members.ReplicaId | None


class Founded(msgspec.Struct, frozen=True, array_like=True, tag="founded"):
    """The replicas that agreed to start a log together."""

    group: members.Members


class Committed(msgspec.Struct, frozen=True, array_like=True, tag="committed"):
    """Every entry up to `index` is committed."""

    index: int


class Entry(msgspec.Struct, frozen=True, array_like=True, tag="entry"):
    """One entry; it drops what stood at its index and after."""

    index: int
    term: int
    kind: EntryKind
    data: bytes


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The applied state after `index`, in place of the entries up to it."""

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
    """What the data folder holds: empty for a VM without one.

    `identity` names this folder for good; a folder that was lost and made anew
    has another. `records` follow `snapshot` in the order they were written.
    """

    identity: str = ""
    snapshot: bytes = b""
    snapshot_index: int = 0
    records: tuple[bytes, ...] = ()


def encode(record: Record | Snapshot | members.Members) -> bytes:
    """Return a record as bytes."""
    return ENCODER.encode(record)


def decode_record(data: bytes) -> Record:
    """Return the record that bytes stand for; raises `msgspec.MsgspecError`."""
    return RECORD_DECODER.decode(data)
