"""Messages between keepers of endpoints and holders of their slots.

Totals only grow within one session, and all other values are absolute, so a
delta may be lost, repeated or reordered. `since` and `version` number the
deltas of one session; see `deltas.DeltaStream`.
"""

from __future__ import annotations

import dataclasses
import enum

from knapweedbeam_core.entry import parts
from knapweedbeam_core.membership import messages as membership_messages


class Health(enum.StrEnum):
    """Health of an endpoint as judged by an entry VM."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    TRIAL = "trial"


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """An announcement that was received `age_ms` ago."""

    announcement: parts.Announcement
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refresh:
    """A repeated announcement, after the first was forwarded in full."""

    endpoint: str
    incarnation: int
    sequence: int
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointsSeen:
    """Announcements forwarded to their endpoints' keeper."""

    seen: tuple[Seen, ...]
    refreshes: tuple[Refresh, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLeft:
    """An endpoint has announced that it leaves.

    Older announcements of it no longer count.
    """

    endpoint: str
    incarnation: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Returned:
    """Total number of slots of an endpoint returned in this session.

    The speed is the run time that the holder measured, relative to the average.
    """

    endpoint: str
    incarnation: int
    total: int
    speed_percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Number of slots that a member's tasks could use, including running ones."""

    service: str
    member: str
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class HealthNote:
    """A holder's report of an endpoint's health.

    The speed is the run time there, relative to the average.
    """

    endpoint: str
    incarnation: int
    health: Health
    speed_percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class HolderDelta:
    """Changes at a holder, for one keeper; it also renews the lease."""

    receiver_incarnation: int
    session: int
    sent_ms: int
    since: int
    version: int
    returned: tuple[Returned, ...]
    demands: tuple[Demand, ...]
    notes: tuple[HealthNote, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Total number of slots of an endpoint granted in this session.

    `revoked` forbids further starts there; `trial` allows one task at a time.
    """

    announcement: parts.Announcement
    total: int
    revoked: bool
    trial: bool
    speed_percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A member's share of an allotment."""

    member: str
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Allotment:
    """Number of slots of a service that a holder should come down to.

    `bounded` is false when slots are no longer scarce.
    """

    service: str
    bounded: bool
    slots: int
    shares: tuple[Share, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperDelta:
    """Changes at a keeper, for one holder.

    `echo_ms` is the latest `sent_ms` received from the holder. It renews the
    lease if no earlier delta is missing.
    """

    receiver_incarnation: int
    session: int
    echo_ms: int
    stalest_ms: int
    since: int
    version: int
    grants: tuple[Grant, ...]
    allotments: tuple[Allotment, ...]
    free: tuple[membership_messages.FreeSlots, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSlots:
    """Slots held under a lease that has not expired."""

    announcement: parts.Announcement
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotsShown:
    """Slots that a holder still holds of endpoints whose keeper has changed."""

    receiver_incarnation: int
    shown: tuple[HeldSlots, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """Capacity of one service at a keeper.

    The sizes are those of its largest worker, 0 while any is unknown.
    """

    service: str
    endpoints: int
    slots: int
    cpu_millis: int
    memory_mib: int


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Capacity of a keeper, by service."""

    version: int
    services: tuple[ServiceCapacity, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageSeen:
    """Usage reports forwarded by the entry VM that received them."""

    reports: tuple[parts.UsageReport, ...]


CLASSES: tuple[type, ...] = (
    EndpointsSeen,
    EndpointLeft,
    HolderDelta,
    KeeperDelta,
    SlotsShown,
    Capacity,
    UsageSeen,
)
