"""The frames of a log file: magic, length, CRC32C, kind, payload.

Records that are synced together are in one frame, so only the last frame of a
file can be torn.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import struct

import google_crc32c

MAGIC = b"KWB1"
HEADER = struct.Struct(">4sIIB")
LENGTH = struct.Struct(">I")
INDEX = struct.Struct(">Q")
MAX_PAYLOAD_BYTES = 256 * 1024 * 1024


class Kind(enum.IntEnum):
    """The type of a frame's payload."""

    SNAPSHOT = 1
    RECORDS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """A frame that was read; `end` is the offset of the next one."""

    kind: int
    payload: bytes
    end: int


def get_crc(kind: int, payload: bytes) -> int:
    """Return the CRC32C of a frame's kind, length and payload."""
    head = bytes([kind]) + LENGTH.pack(len(payload))
    return int(google_crc32c.extend(google_crc32c.value(head), payload))


def build_frame(kind: Kind, payload: bytes) -> bytes:
    """Return the frame of a payload."""
    header = HEADER.pack(MAGIC, len(payload), get_crc(kind, payload), kind)
    return header + payload


def build_snapshot(snapshot: bytes, index: int) -> bytes:
    """Return the snapshot frame with which every log file starts."""
    return build_frame(Kind.SNAPSHOT, INDEX.pack(index) + snapshot)


def build_records(records: collections.abc.Iterable[bytes]) -> bytes:
    """Return one frame of records that are synced together."""
    packed = b"".join(LENGTH.pack(len(record)) + record for record in records)
    return build_frame(Kind.RECORDS, packed)


def split_records(payload: bytes) -> list[bytes]:
    """Return the records of a frame."""
    records = []
    offset = 0
    while offset < len(payload):
        (length,) = LENGTH.unpack_from(payload, offset)
        offset += LENGTH.size
        records.append(payload[offset : offset + length])
        offset += length
    return records


def read_frame(data: bytes, start: int) -> Frame | None:
    """Return the frame at `start`, or `None` when it is torn or corrupt."""
    if len(data) - start < HEADER.size:
        return None
    magic, length, crc, kind = HEADER.unpack_from(data, start)
    offset = start + HEADER.size
    end = offset + length
    if magic != MAGIC or length > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[offset:end]
    if get_crc(kind, payload) != crc:
        return None
    return Frame(kind, payload, end)


def has_frame_after(data: bytes, start: int) -> bool:
    """Return whether an intact frame follows the damaged one at `start`."""
    offset = data.find(MAGIC, start + 1)
    while offset >= 0:
        if read_frame(data, offset) is not None:
            return True
        offset = data.find(MAGIC, offset + 1)
    return False
