"""The endpoints that a process knew last, kept in its data folder for its next start.

Nothing relies on the file: what it lacks is learned from announcements.
"""

from __future__ import annotations

import os
import pathlib

import msgspec

from knapweedbeam_core.pool import messages

FILE = "endpoints"
TEMPORARY_FILE = "endpoints.new"
FILE_MODE = 0o600
MAX_BYTES = 4 * 1024 * 1024


class KnownEndpoints(msgspec.Struct, frozen=True, array_like=True):
    """The newest announcements, their ages and the number of shards at `saved_ms`.

    `saved_ms` is in Unix milliseconds. `endpoints_per_shard` is the setting that the
    division followed.
    """

    saved_ms: int
    shard_count: int
    endpoints_per_shard: int
    endpoints: tuple[messages.EndpointNews, ...]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(KnownEndpoints)


def read(folder: pathlib.Path) -> KnownEndpoints | None:
    """Return what the file holds, None if it is missing, torn or unreadable."""
    try:
        with (folder / FILE).open("rb") as file:
            return DECODER.decode(file.read(MAX_BYTES))
    except (OSError, msgspec.DecodeError):
        return None


def write(folder: pathlib.Path, known: KnownEndpoints) -> bool:
    """Replace the file; return whether that succeeded. Blocks on the disk."""
    temporary = folder / TEMPORARY_FILE
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
    try:
        descriptor = os.open(temporary, flags, FILE_MODE)
        with os.fdopen(descriptor, "wb") as file:
            file.write(ENCODER.encode(known))
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(folder / FILE)
    except OSError:
        return False
    return True
