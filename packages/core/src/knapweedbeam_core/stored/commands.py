"""What the replicated log carries: manifests and changes of stored jobs."""

from __future__ import annotations

import msgspec

from knapweedbeam_core.manifests import machine
from knapweedbeam_core.stored import messages


class Accept(msgspec.Struct, frozen=True, array_like=True, tag="accept"):
    """A job is kept from now on."""

    job: messages.StoredJob


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """A job is cancelled, unless it has ended."""

    job_id: str


class RecordEnds(msgspec.Struct, frozen=True, array_like=True, tag="ends"):
    """Ends that the dispatcher of a token saw."""

    fence: int
    ends: tuple[messages.NotedEnd, ...]


class RegisterDispatcher(msgspec.Struct, frozen=True, array_like=True, tag="office"):
    """A dispatcher with this token places stored jobs from now on."""

    fence: int
    asked_ms: int = 0


Command = machine.StoredManifest | Accept | Cancel | RecordEnds | RegisterDispatcher


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Commands that are written together; `wall_ms` is the leader's time of day."""

    wall_ms: int
    commands: tuple[Command, ...]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Batch)
