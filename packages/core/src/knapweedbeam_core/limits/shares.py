"""How a limit is split over failure domains and entry VMs, without a remainder."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core.bundles import explain, model

MS_PER_S = 1_000
PERCENT = 100
SHORTEST_POOLED_S = 240


@dataclasses.dataclass(frozen=True, slots=True)
class LimitKey:
    """What makes two versions of a limit the same one."""

    name: str
    dimension: model.Dimension
    window_ms: int
    alignment: model.Alignment


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """What one entry VM may use of one limit, the whole limit, and its pool.

    The pool is the part that no entry VM owns: it is leased out.
    """

    key: LimitKey
    amount: int
    total: int
    pool: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where an entry VM stands among all that a limit is divided among.

    Its failure domain has `weight` of `whole`, after `before` of earlier ones; the
    VM is the one at `index` of `count`.
    """

    before: int
    weight: int
    whole: int
    index: int
    count: int


def find_place(bundle: model.Bundle, vm: str) -> Place | None:
    """Return an entry VM's place, none where the bundle does not name it."""
    whole = sum(domain.share for domain in bundle.failure_domains)
    before = 0
    for domain in bundle.failure_domains:
        if vm in domain.entry_vms and whole:
            index = domain.entry_vms.index(vm)
            return Place(before, domain.share, whole, index, len(domain.entry_vms))
        before += domain.share
    return None


def get_part(place: Place | None, total: int) -> int:
    """Return a place's part of a whole number; all parts add up to it exactly."""
    if place is None:
        return 0
    reached = total * (place.before + place.weight) // place.whole
    own = reached - total * place.before // place.whole
    return own * (place.index + 1) // place.count - own * place.index // place.count


def get_shares(bundle: model.Bundle, vm: str) -> dict[str, tuple[Share, ...]]:
    """Return an entry VM's share of every limit, by member."""
    units = {unit.name: unit for unit in bundle.units}
    place = find_place(bundle, vm)
    return {
        contract.member: tuple(
            build_share(place, limit, units[limit.unit]) for limit in contract.limits
        )
        for contract in bundle.contracts
    }


def build_share(place: Place | None, limit: model.Limit, unit: model.Unit) -> Share:
    """Return an entry VM's share of one limit."""
    total = explain.get_amount(limit, unit)
    window_ms = limit.window_s * MS_PER_S
    key = LimitKey(limit.name, unit.dimension, window_ms, limit.alignment)
    pool = get_pool(limit, unit)
    return Share(key, get_part(place, total - pool), total, pool)


def get_pool(limit: model.Limit, unit: model.Unit) -> int:
    """Return the part of a limit that is leased out; short windows have none."""
    if limit.window_s < SHORTEST_POOLED_S:
        return 0
    total = explain.get_amount(limit, unit)
    return total - total * limit.floor_percent // PERCENT
