"""A holder's link to one keeper."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from knapweedbeam_core import effects
from knapweedbeam_core.slots import deltas, held, messages

NEVER_MS = held.FOREVER_MS


class ReturnedKey(typing.NamedTuple):
    """Returned slots of an endpoint's run, as the key of a change to send."""

    endpoint: str
    incarnation: int


class DemandKey(typing.NamedTuple):
    """A member's demand for a service, as the key of a change to send."""

    service: str
    member: str


class HealthKey(typing.NamedTuple):
    """An endpoint's health, as the key of a change to send."""

    endpoint: str


Key = ReturnedKey | DemandKey | HealthKey


@dataclasses.dataclass(slots=True)
class Offer:
    """Free slots of one speed at a keeper, less those requested since."""

    service: str
    slots: int
    speed: float


@dataclasses.dataclass(slots=True, eq=False)
class KeeperLink:
    """State of one session with a keeper.

    `sent_demands` is the demand sent to the keeper, by service and member.
    `bounds` are the allotments that this process must come down to. `returned`
    has totals. `offers` are the keeper's free slots by its latest report.
    """

    lease: held.Lease
    stream: deltas.DeltaStream[Key] = dataclasses.field(
        default_factory=deltas.DeltaStream
    )
    applied: deltas.DeltaReceiver = dataclasses.field(
        default_factory=deltas.DeltaReceiver
    )
    sent_demands: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    held: dict[str, int] = dataclasses.field(default_factory=dict)
    bounds: dict[str, messages.Allotment] = dataclasses.field(default_factory=dict)
    returned: dict[ReturnedKey, int] = dataclasses.field(default_factory=dict)
    speeds: dict[str, int] = dataclasses.field(default_factory=dict)
    health_notes: dict[str, messages.HealthNote] = dataclasses.field(
        default_factory=dict
    )
    sent_ms: int = 0
    requested_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    pending: dict[str, int] = dataclasses.field(default_factory=dict)
    offers: dict[str, list[Offer]] = dataclasses.field(default_factory=dict)
    next_return_ms: int = NEVER_MS

    def get_sent_demand(self, service: str) -> int:
        """Return the demand for a service that was sent to the keeper."""
        return sum(self.sent_demands.get(service, {}).values())

    def get_rate(self, service: str) -> float:
        """Return the combined processing rate of the keeper's free slots."""
        return sum(offer.slots / offer.speed for offer in self.offers.get(service, []))

    def update_demand(
        self, service: str, demands: collections.abc.Mapping[str, int]
    ) -> None:
        """Set the members' demands for a service, to be sent where they changed."""
        sent = self.sent_demands.setdefault(service, {})
        for member in [*demands, *(m for m in sent if m not in demands)]:
            slots = demands.get(member, 0)
            if sent.get(member, 0) == slots:
                continue
            if slots:
                sent[member] = slots
            else:
                del sent[member]
            self.stream.mark(DemandKey(service, member))

    def build_delta(self, now_ms: int, resend: bool) -> effects.Send:
        """Build the delta that brings the keeper up to date."""
        stream = self.stream
        batch = stream.collect_unacked() if resend else stream.collect_unsent()
        self.sent_ms = now_ms
        returned = []
        demands = []
        notes = []
        for key in batch.keys:
            if isinstance(key, ReturnedKey):
                total = self.returned[key]
                speed = self.speeds.get(key.endpoint, 0)
                returned.append(
                    messages.Returned(key.endpoint, key.incarnation, total, speed)
                )
            elif isinstance(key, DemandKey):
                slots = self.sent_demands[key.service].get(key.member, 0)
                demands.append(messages.Demand(key.service, key.member, slots))
            elif key.endpoint in self.health_notes:
                notes.append(self.health_notes[key.endpoint])
        delta = messages.HolderDelta(
            self.lease.keeper.incarnation,
            self.lease.session,
            now_ms,
            batch.since,
            batch.version,
            tuple(returned),
            tuple(demands),
            tuple(notes),
        )
        return effects.Send(self.lease.keeper.name, delta)
