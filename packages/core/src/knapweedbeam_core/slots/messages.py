"""Messages between those who keep endpoints and those who hold their slots.

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
    """What an entry VM thinks of an endpoint."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    TRIAL = "trial"


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """An announcement taken `age_ms` ago."""

    announcement: parts.Announcement
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refresh:
    """An announcement that repeats one which was forwarded whole."""

    endpoint: str
    incarnation: int
    sequence: int
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointsSeen:
    """Announcements for their keeper."""

    seen: tuple[Seen, ...]
    refreshes: tuple[Refresh, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLeft:
    """An endpoint said that it leaves: no older announcement counts again."""

    endpoint: str
    incarnation: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Returned:
    """How many slots of an endpoint were given back in this session.

    Its speed, as run time beside the average, is what the holder measured.
    """

    endpoint: str
    incarnation: int
    total: int
    speed_percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """How many slots a member's tasks could use here, running ones included."""

    service: str
    member: str
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class HealthNote:
    """What a holder saw of an endpoint; speed is run time beside the average."""

    endpoint: str
    incarnation: int
    health: Health
    speed_percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class HolderDelta:
    """What changed at a holder, for one keeper; it renews the lease too."""

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
    """The slots of an endpoint granted in this session, in total.

    `revoked` forbids further starts there; `trial` allows one task at a time.
    """

    announcement: parts.Announcement
    total: int
    revoked: bool
    trial: bool
    speed_percent: int


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A member's part of an allotment."""

    member: str
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Allotment:
    """How many slots of a service a holder should come down to.

    `bounded` is false when slots are plenty again.
    """

    service: str
    bounded: bool
    slots: int
    shares: tuple[Share, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperDelta:
    """What changed at a keeper, for one holder.

    `echo_ms` is the latest `sent_ms` that it took from the holder, and renews
    the lease when nothing before this delta is missing.
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
    """Slots held under a lease that has not lapsed."""

    announcement: parts.Announcement
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotsShown:
    """What a holder still holds of endpoints whose keeper has changed."""

    receiver_incarnation: int
    shown: tuple[HeldSlots, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """What a keeper keeps of one service.

    The sizes are those of its largest worker, 0 while any is unknown.
    """

    service: str
    endpoints: int
    slots: int
    cpu_millis: int
    memory_mib: int


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Everything that a keeper keeps, by service."""

    version: int
    services: tuple[ServiceCapacity, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageSeen:
    """Usage reports, from who took them."""

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
