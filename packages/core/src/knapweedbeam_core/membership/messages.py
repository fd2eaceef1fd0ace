"""Messages for failure detection between entry VMs."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class FreeSlots:
    """The number of slots of one speed that a keeper could grant when sending.

    The speed is the run time there relative to the average, in percent.
    """

    service: str
    slots: int
    speed_percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat that renews slot leases both ways and acknowledges deltas.

    `sent_ms` is the sender's monotonic time. `echo_ms` is the latest `sent_ms`
    received from the receiver's incarnation `receiver_incarnation`; both are 0 if
    there was none. As a keeper the sender gives `session` (of the receiver's
    lease with it), `required` (the version of its deltas that must be applied
    before the lease counts as renewed), `stalest_ms` (the age of the oldest
    announcement among its endpoints) and `returns_applied`. As a holder it gives
    `held_session` and `grants_applied`. `capacity_known` is the version of the
    receiver's capacity that the sender has.
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
    """The sender stops: it becomes keeper or witness of nothing new."""


CLASSES: tuple[type, ...] = (Heartbeat, Stopping)
