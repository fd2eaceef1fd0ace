"""A holder's exchange with one keeper."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from knapweedbeam_core import effects
from knapweedbeam_core.slots import deltas, held, messages

NEVER_MS = held.FOREVER_MS


class ReturnedKey(typing.NamedTuple):
    """Slots of an endpoint's run given back, as news for a keeper."""

    endpoint: str
    incarnation: int


class DemandKey(typing.NamedTuple):
    """A member's demand for a service, as news for a keeper."""

    service: str
    member: str


class NoteKey(typing.NamedTuple):
    """An endpoint's health, as news for a keeper."""

    endpoint: str


Key = ReturnedKey | DemandKey | NoteKey


@dataclasses.dataclass(slots=True)
class Offer:
    """Free slots of one speed at a keeper, less those asked for since."""

    service: str
    slots: int
    speed: float


@dataclasses.dataclass(slots=True, eq=False)
class KeeperLink:
    """What was exchanged with one keeper in one session.

    `told` is the demand that the keeper knows, by service and member; `bounds`
    is what this process should come down to; `returned` is in total;
    `free` is what the keeper could grant when it last said so.
    """

    lease: held.Lease
    stream: deltas.DeltaStream[Key] = dataclasses.field(
        default_factory=deltas.DeltaStream
    )
    applied: deltas.Applied = dataclasses.field(default_factory=deltas.Applied)
    sent_demands: dict[str, dict[str, int]] = dataclasses.field(default_factory=dict)
    held: dict[str, int] = dataclasses.field(default_factory=dict)
    bounds: dict[str, messages.Allotment] = dataclasses.field(default_factory=dict)
    returned: dict[ReturnedKey, int] = dataclasses.field(default_factory=dict)
    speeds: dict[str, int] = dataclasses.field(default_factory=dict)
    notes: dict[str, messages.HealthNote] = dataclasses.field(default_factory=dict)
    sent_ms: int = 0
    asked_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    pending: dict[str, int] = dataclasses.field(default_factory=dict)
    free: dict[str, list[Offer]] = dataclasses.field(default_factory=dict)
    idle_ms: int = NEVER_MS

    def get_told(self, service: str) -> int:
        """Return the demand that the keeper knows of."""
        return sum(self.sent_demands.get(service, {}).values())

    def get_rate(self, service: str) -> float:
        """Return how much work the keeper's free slots can do at once."""
        return sum(offer.slots / offer.speed for offer in self.free.get(service, []))

    def tell(self, service: str, demands: collections.abc.Mapping[str, int]) -> None:
        """Have the keeper learn the members' demand for a service."""
        told = self.sent_demands.setdefault(service, {})
        for member in [*demands, *(m for m in told if m not in demands)]:
            slots = demands.get(member, 0)
            if told.get(member, 0) == slots:
                continue
            if slots:
                told[member] = slots
            else:
                del told[member]
            self.stream.mark(DemandKey(service, member))

    def build_delta(self, now_ms: int, resend: bool) -> effects.Send:
        """Build the message that brings the keeper up to date."""
        stream = self.stream
        batch = stream.take_unacked() if resend else stream.take_unsent()
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
            elif key.endpoint in self.notes:
                notes.append(self.notes[key.endpoint])
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
