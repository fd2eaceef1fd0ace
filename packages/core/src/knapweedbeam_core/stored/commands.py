"""Commands of the replicated log: manifests, evacuations, changes of stored jobs."""

from __future__ import annotations

import msgspec

from knapweedbeam_core.evacuations import machine as evacuation_machine
from knapweedbeam_core.manifests import machine
from knapweedbeam_core.pool import messages as pool_messages
from knapweedbeam_core.stored import messages


class Accept(msgspec.Struct, frozen=True, array_like=True, tag="accept"):
    """Store a job."""

    job: messages.StoredJob


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Cancel a job, unless it has ended."""

    job_id: str


class RecordEnds(msgspec.Struct, frozen=True, array_like=True, tag="ends"):
    """Record the ends of attempts seen by the dispatcher with the token `fence`."""

    fence: int
    ends: tuple[messages.NotedEnd, ...]


class RecordCrashes(msgspec.Struct, frozen=True, array_like=True, tag="crashes"):
    """Record, or retract, crashes under tasks, whichever dispatcher saw them."""

    crashes: tuple[pool_messages.TaskCrash, ...]
    is_retracted: bool = False


class RegisterDispatcher(msgspec.Struct, frozen=True, array_like=True, tag="office"):
    """Register the dispatcher that places stored jobs from now on.

    `fence` is its fencing token, `asked_ms` the time of its request by its own clock.
    """

    fence: int
    asked_ms: int = 0


Command = (
    machine.StoredManifest
    | evacuation_machine.EvacuationOrder
    | Accept
    | Cancel
    | RecordEnds
    | RecordCrashes
    | RegisterDispatcher
)


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Commands written as one log entry; `wall_ms` is the leader's wall-clock time."""

    wall_ms: int
    commands: tuple[Command, ...]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Batch)
