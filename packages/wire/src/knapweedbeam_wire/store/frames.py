"""The frames of a log file: magic, length, CRC32C, kind, payload.

Everything that is synced at once stands in one frame, so that only the last
frame of a file can be torn.
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
    """What a frame holds."""

    SNAPSHOT = 1
    RECORDS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One frame that was read, and where the next one starts."""

    kind: int
    payload: bytes
    end: int


def get_crc(kind: int, payload: bytes) -> int:
    """Return the CRC32C of a frame's kind, length and payload."""
    head = bytes([kind]) + LENGTH.pack(len(payload))
    return int(google_crc32c.extend(google_crc32c.value(head), payload))


def build_frame(kind: Kind, payload: bytes) -> bytes:
    """Return a payload as a frame."""
    header = HEADER.pack(MAGIC, len(payload), get_crc(kind, payload), kind)
    return header + payload


def build_snapshot(snapshot: bytes, index: int) -> bytes:
    """Return the frame that every log file starts with."""
    return build_frame(Kind.SNAPSHOT, INDEX.pack(index) + snapshot)


def build_records(records: collections.abc.Iterable[bytes]) -> bytes:
    """Return records that are synced together as one frame."""
    packed = b"".join(LENGTH.pack(len(record)) + record for record in records)
    return build_frame(Kind.RECORDS, packed)


def split_records(payload: bytes) -> list[bytes]:
    """Return the records of a frame."""
    records = []
    place = 0
    while place < len(payload):
        (length,) = LENGTH.unpack_from(payload, place)
        place += LENGTH.size
        records.append(payload[place : place + length])
        place += length
    return records


def read_frame(data: bytes, start: int) -> Frame | None:
    """Return the frame at `start`, or none when it is torn or corrupt."""
    if len(data) - start < HEADER.size:
        return None
    magic, length, crc, kind = HEADER.unpack_from(data, start)
    place = start + HEADER.size
    end = place + length
    if magic != MAGIC or length > MAX_PAYLOAD_BYTES or end > len(data):
        return None
    payload = data[place:end]
    if get_crc(kind, payload) != crc:
        return None
    return Frame(kind, payload, end)


def has_frame_after(data: bytes, start: int) -> bool:
    """Say whether a whole frame stands anywhere after a broken one."""
    place = data.find(MAGIC, start + 1)
    while place >= 0:
        if read_frame(data, place) is not None:
            return True
        place = data.find(MAGIC, place + 1)
    return False
