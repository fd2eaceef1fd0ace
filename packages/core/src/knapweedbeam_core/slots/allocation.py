"""Allocation of a keeper's slots, by member first and then by entry VM."""

from __future__ import annotations

import dataclasses
import typing

from knapweedbeam_core.slots import grants, kept, messages

REBALANCE_INTERVAL_MS = 200
SCARCE_MS = 400
UNBOUND_DELAY_MS = 1_000
FOREVER_MS = 1 << 60
MIN_BOUND_CHANGE = 1
BOUND_CHANGE_SHARE = 0.1


class SlotKeeper(typing.Protocol):
    """Interface of a keeper that allocation needs."""

    sessions: dict[typing.Any, kept.HolderSession]
    standing: dict[str, float]

    def get_now_ms(self) -> int:
        """Return the monotonic time."""

    def grant(
        self, session: kept.HolderSession, entry: kept.KeptEndpoint, count: int
    ) -> None:
        """Grant slots of an endpoint to a holder."""

    def mark(self, session: kept.HolderSession, key: kept.Key) -> None:
        """Send a change to a holder with the next delta."""


@dataclasses.dataclass(slots=True)
class HolderShare:
    """The slots of a service that one holder should have, also by member."""

    session: kept.HolderSession
    slots: int = 0
    shares: dict[str, int] = dataclasses.field(default_factory=dict)


def allocate(keeper: SlotKeeper, service: kept.KeptService) -> None:
    """Grant a service's free slots to holders with unmet demand.

    If slots have been scarce for `SCARCE_MS`, bound every holder to its fair
    share. Lift the bounds when the demand can be met again.
    """
    name = service.service
    now_ms = keeper.get_now_ms()
    waiting = [s for s in keeper.sessions.values() if s.get_missing(name, now_ms)]
    missing = sum(session.get_missing(name, now_ms) for session in waiting)
    if missing <= service.free:
        for session in waiting:
            grant_fastest(keeper, service, session, session.get_missing(name, now_ms))
        service.scarce_since_ms = FOREVER_MS
        if service.is_bounded and now_ms - service.balanced_ms >= UNBOUND_DELAY_MS:
            lift_bounds(keeper, service)
        return
    service.scarce_since_ms = min(service.scarce_since_ms, now_ms)
    is_scarce = now_ms - service.scarce_since_ms >= SCARCE_MS
    if is_scarce and now_ms - service.balanced_ms >= REBALANCE_INTERVAL_MS:
        service.balanced_ms = now_ms
        set_bounds(keeper, service)
    if service.is_bounded:
        grant_up_to_bounds(keeper, service, waiting)
    else:
        grant_max_min(keeper, service, waiting)


def grant_max_min(
    keeper: SlotKeeper, service: kept.KeptService, waiting: list[kept.HolderSession]
) -> None:
    """Grant free slots by max-min fairness while slots are not yet known as scarce."""
    if not service.free:
        return
    now_ms = keeper.get_now_ms()
    name = service.service
    weighted_demands = [
        grants.Demand(session.get_missing(name, now_ms)) for session in waiting
    ]
    for session, count in zip(
        waiting, grants.split(service.free, weighted_demands), strict=True
    ):
        grant_fastest(keeper, service, session, count)


def grant_fastest(
    keeper: SlotKeeper,
    service: kept.KeptService,
    session: kept.HolderSession,
    count: int,
) -> None:
    """Grant up to `count` slots, those of the fastest endpoints first."""
    while count > 0:
        entry = service.get_best()
        if entry is None:
            return
        free = min(count, service.counted[entry.record.endpoint].slots)
        keeper.grant(session, entry, free)
        count -= free


def grant_up_to_bounds(
    keeper: SlotKeeper, service: kept.KeptService, waiting: list[kept.HolderSession]
) -> None:
    """Grant free slots to holders below their bound, then to any that wait."""
    name = service.service
    now_ms = keeper.get_now_ms()
    for session in sorted(waiting, key=lambda s: get_fill_ratio(s, name)):
        bound = session.bounds.get(name)
        if bound is None or not bound.bounded:
            continue
        headroom = bound.slots - session.held.get(name, 0)
        grant_fastest(
            keeper, service, session, min(headroom, session.get_missing(name, now_ms))
        )
    for session in waiting:
        if not service.free:
            return
        grant_beyond_bound(keeper, service, session)


def grant_beyond_bound(
    keeper: SlotKeeper, service: kept.KeptService, session: kept.HolderSession
) -> None:
    """Grant slots that no holder below its bound can use, and raise the bound."""
    name = service.service
    now_ms = keeper.get_now_ms()
    missing = session.get_missing(name, now_ms)
    bound = session.bounds.get(name)
    if not missing or bound is None:
        return
    grant_fastest(keeper, service, session, min(missing, service.free))
    slots = max(bound.slots, session.held.get(name, 0))
    session.bounds[name] = dataclasses.replace(bound, slots=slots)
    keeper.mark(session, kept.ServiceKey(name))


def get_fill_ratio(session: kept.HolderSession, name: str) -> float:
    """Return the fraction of its bound that a holder has, 1.0 without a bound."""
    bound = session.bounds.get(name)
    if bound is None or not bound.slots:
        return 1.0
    return session.held.get(name, 0) / bound.slots


def lift_bounds(keeper: SlotKeeper, service: kept.KeptService) -> None:
    """Remove the holders' bounds, as slots are no longer scarce."""
    if not service.is_bounded:
        return
    service.is_bounded = False
    name = service.service
    for session in keeper.sessions.values():
        bound = session.bounds.get(name)
        if bound is not None and bound.bounded:
            session.bounds[name] = messages.Allotment(name, False, 0, ())
            keeper.mark(session, kept.ServiceKey(name))


def set_bounds(keeper: SlotKeeper, service: kept.KeptService) -> None:
    """Compute every holder's bound and send those that changed."""
    service.is_bounded = True
    name = service.service
    capacity = service.get_capacity()
    parts = split_capacity(keeper, name, capacity)
    unclaimed = capacity - sum(part.slots for part in parts)
    for index, part in enumerate(parts):
        extra = unclaimed // len(parts) + (index < unclaimed % len(parts))
        part.slots += max(0, extra)
        update_bound(keeper, name, part)


def split_capacity(keeper: SlotKeeper, name: str, capacity: int) -> list[HolderShare]:
    """Divide a capacity by max-min over members, then over each one's holders."""
    parts = [HolderShare(session) for session in keeper.sessions.values()]
    demands: dict[str, list[tuple[HolderShare, int]]] = {}
    for part in parts:
        for member, slots in part.session.demands.get(name, {}).items():
            demands.setdefault(member, []).append((part, slots))
    weighted_demands = [
        grants.Demand(
            sum(slots for _, slots in holder_demands), get_weight(keeper, member)
        )
        for member, holder_demands in demands.items()
    ]
    shares = grants.split(capacity, weighted_demands)
    for (member, holder_demands), share in zip(demands.items(), shares, strict=True):
        slots_by_holder = grants.split(
            share, [grants.Demand(slots) for _, slots in holder_demands]
        )
        for (part, _), slots in zip(holder_demands, slots_by_holder, strict=True):
            part.slots += slots
            part.shares[member] = slots
    return parts


def get_weight(keeper: SlotKeeper, member: str) -> float:
    """Return a member's weight relative to the others."""
    return keeper.standing.get(member, 1.0)


def update_bound(keeper: SlotKeeper, name: str, part: HolderShare) -> None:
    """Send a holder its bound if that differs enough from the last one sent."""
    session = part.session
    old = session.bounds.get(name)
    if old is not None and old.bounded:
        change = abs(part.slots - old.slots)
        if change <= max(MIN_BOUND_CHANGE, int(BOUND_CHANGE_SHARE * old.slots)):
            return
    shares = tuple(messages.Share(member, n) for member, n in part.shares.items())
    session.bounds[name] = messages.Allotment(name, True, part.slots, shares)
    keeper.mark(session, kept.ServiceKey(name))
