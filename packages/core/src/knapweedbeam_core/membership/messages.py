"""Messages by which entry VMs know of each other."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FreeSlots:
    """How many slots of one speed a keeper could grant when it last looked.

    The speed is the run time there beside the average.
    """

    service: str
    slots: int
    speed_percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A sign of life that renews slot leases both ways and acknowledges deltas.

    `sent_ms` is the sender's monotonic time, and `echo_ms` the latest such time
    taken from the receiver's run `receiver_incarnation`; both are 0 when none
    was. The sender as a keeper gives `session` (of the receiver's lease with
    it), `required` (the version of its deltas that must be applied before the
    lease counts as renewed), `stalest_ms` (the age of the oldest announcement
    among its endpoints) and `returns_applied`. As a holder it gives
    `held_session` and `grants_applied`. `capacity_known` is the version of the
    receiver's capacity held here.
    """

    sequence: int
    sent_ms: int
    receiver_incarnation: int
    echo_ms: int
    session: int
    required: int
    stalest_ms: int
    returns_applied: int
    held_session: int
    grants_applied: int
    capacity_known: int
    free: tuple[FreeSlots, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """The sender stops: it keeps and witnesses nothing new from now on."""


CLASSES: tuple[type, ...] = (Heartbeat, Stopping)
