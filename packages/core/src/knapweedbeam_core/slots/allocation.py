"""How a keeper's slots are split: by member first, then by entry VM."""

from __future__ import annotations

import dataclasses
import typing

from knapweedbeam_core.slots import grants, kept, messages

BALANCE_MS = 200
SCARCE_MS = 400
LIFT_MS = 1_000
FOREVER_MS = 1 << 60
MIN_RECALL = 1
RECALL_SHARE = 0.1


class Granting(typing.Protocol):
    """What is needed of a keeper to split its slots."""

    sessions: dict[typing.Any, kept.HolderSession]
    standing: dict[str, float]

    def get_now_ms(self) -> int:
        """Return the time."""

    def grant(
        self, session: kept.HolderSession, known: kept.KeptEndpoint, count: int
    ) -> None:
        """Charge slots to a holder."""

    def mark(self, session: kept.HolderSession, key: kept.Key) -> None:
        """Have a holder learn of a change."""


@dataclasses.dataclass(slots=True)
class Part:
    """What one holder should have of a service."""

    session: kept.HolderSession
    slots: int = 0
    shares: dict[str, int] = dataclasses.field(default_factory=dict)


def serve(keeper: Granting, service: kept.KeptService) -> None:
    """Grant free slots to those who can use more of them."""
    name = service.service
    now_ms = keeper.get_now_ms()
    waiting = [s for s in keeper.sessions.values() if s.get_missing(name, now_ms)]
    missing = sum(session.get_missing(name, now_ms) for session in waiting)
    if missing <= service.free:
        for session in waiting:
            give(keeper, service, session, session.get_missing(name, now_ms))
        service.scarce_ms = FOREVER_MS
        if service.bounded and now_ms - service.balanced_ms >= LIFT_MS:
            lift_bounds(keeper, service)
        return
    service.scarce_ms = min(service.scarce_ms, now_ms)
    is_scarce = now_ms - service.scarce_ms >= SCARCE_MS
    if is_scarce and now_ms - service.balanced_ms >= BALANCE_MS:
        service.balanced_ms = now_ms
        set_bounds(keeper, service)
    if service.bounded:
        give_up_to_bounds(keeper, service, waiting)
    else:
        give_in_turn(keeper, service, waiting)


def give_in_turn(
    keeper: Granting, service: kept.KeptService, waiting: list[kept.HolderSession]
) -> None:
    """Grant what is free max-min, while it is not known whether slots are scarce."""
    if not service.free:
        return
    now_ms = keeper.get_now_ms()
    name = service.service
    wants = [grants.Want(session.get_missing(name, now_ms)) for session in waiting]
    for session, count in zip(waiting, grants.share(service.free, wants), strict=True):
        give(keeper, service, session, count)


def give(
    keeper: Granting, service: kept.KeptService, session: kept.HolderSession, count: int
) -> None:
    """Grant `count` slots, those of the fastest endpoints first."""
    while count > 0:
        known = service.get_best()
        if known is None:
            return
        free = min(count, service.counted[known.record.endpoint].slots)
        keeper.grant(session, known, free)
        count -= free


def give_up_to_bounds(
    keeper: Granting, service: kept.KeptService, waiting: list[kept.HolderSession]
) -> None:
    """Grant what is free to holders below their part, then to any that wait."""
    name = service.service
    now_ms = keeper.get_now_ms()
    for session in sorted(waiting, key=lambda s: get_fullness(s, name)):
        bound = session.bounds.get(name)
        if bound is None or not bound.bounded:
            continue
        room = bound.slots - session.held.get(name, 0)
        give(keeper, service, session, min(room, session.get_missing(name, now_ms)))
    for session in waiting:
        if not service.free:
            return
        give_beyond_bound(keeper, service, session)


def give_beyond_bound(
    keeper: Granting, service: kept.KeptService, session: kept.HolderSession
) -> None:
    """Grant slots that nobody below its part can use."""
    name = service.service
    now_ms = keeper.get_now_ms()
    missing = session.get_missing(name, now_ms)
    bound = session.bounds.get(name)
    if not missing or bound is None:
        return
    give(keeper, service, session, min(missing, service.free))
    slots = max(bound.slots, session.held.get(name, 0))
    session.bounds[name] = dataclasses.replace(bound, slots=slots)
    keeper.mark(session, kept.ServiceKey(name))


def get_fullness(session: kept.HolderSession, name: str) -> float:
    """Return how much of its part a holder has."""
    bound = session.bounds.get(name)
    if bound is None or not bound.slots:
        return 1.0
    return session.held.get(name, 0) / bound.slots


def lift_bounds(keeper: Granting, service: kept.KeptService) -> None:
    """Tell bounded holders that slots are plenty again."""
    if not service.bounded:
        return
    service.bounded = False
    name = service.service
    for session in keeper.sessions.values():
        bound = session.bounds.get(name)
        if bound is not None and bound.bounded:
            session.bounds[name] = messages.Allotment(name, False, 0, ())
            keeper.mark(session, kept.ServiceKey(name))


def set_bounds(keeper: Granting, service: kept.KeptService) -> None:
    """Work out every holder's part and tell those whose part changed."""
    service.bounded = True
    name = service.service
    capacity = service.get_capacity()
    parts = split(keeper, name, capacity)
    spare = capacity - sum(part.slots for part in parts)
    for index, part in enumerate(parts):
        extra = spare // len(parts) + (index < spare % len(parts))
        part.slots += max(0, extra)
        tell_bound(keeper, name, part)


def split(keeper: Granting, name: str, capacity: int) -> list[Part]:
    """Return every holder's part, by max-min over members, then over holders."""
    parts = [Part(session) for session in keeper.sessions.values()]
    demands: dict[str, list[tuple[Part, int]]] = {}
    for part in parts:
        for member, slots in part.session.demands.get(name, {}).items():
            demands.setdefault(member, []).append((part, slots))
    wants = [
        grants.Want(sum(slots for _, slots in by_part), get_standing(keeper, member))
        for member, by_part in demands.items()
    ]
    shares = grants.share(capacity, wants)
    for (member, by_part), share in zip(demands.items(), shares, strict=True):
        inner = grants.share(share, [grants.Want(slots) for _, slots in by_part])
        for (part, _), slots in zip(by_part, inner, strict=True):
            part.slots += slots
            part.shares[member] = slots
    return parts


def get_standing(keeper: Granting, member: str) -> float:
    """Return a member's weight beside the others."""
    return keeper.standing.get(member, 1.0)


def tell_bound(keeper: Granting, name: str, part: Part) -> None:
    """Tell a holder its part when that differs enough from what it knows."""
    session = part.session
    old = session.bounds.get(name)
    if old is not None and old.bounded:
        change = abs(part.slots - old.slots)
        if change <= max(MIN_RECALL, int(RECALL_SHARE * old.slots)):
            return
    shares = tuple(messages.Share(member, n) for member, n in part.shares.items())
    session.bounds[name] = messages.Allotment(name, True, part.slots, shares)
    keeper.mark(session, kept.ServiceKey(name))
