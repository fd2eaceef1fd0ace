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


def split(total: int, weights: tuple[int, ...]) -> tuple[int, ...]:
    """Split a whole number by weights; the parts add up to it exactly."""
    whole = sum(weights)
    parts = []
    passed = 0
    given = 0
    for weight in weights:
        passed += weight
        reached = total * passed // whole if whole else 0
        parts.append(reached - given)
        given = reached
    return tuple(parts)


def get_part(bundle: model.Bundle, vm: str, total: int) -> int:
    """Return what an entry VM gets of a whole number."""
    domains = bundle.failure_domains
    parts = split(total, tuple(domain.share for domain in domains))
    for domain, part in zip(domains, parts, strict=True):
        if vm in domain.entry_vms:
            own = split(part, (1,) * len(domain.entry_vms))
            return own[domain.entry_vms.index(vm)]
    return 0


def get_shares(bundle: model.Bundle, vm: str) -> dict[str, tuple[Share, ...]]:
    """Return an entry VM's share of every limit, by member."""
    units = {unit.name: unit for unit in bundle.units}
    return {
        contract.member: tuple(
            build_share(bundle, vm, limit, units[limit.unit])
            for limit in contract.limits
        )
        for contract in bundle.contracts
    }


def build_share(
    bundle: model.Bundle, vm: str, limit: model.Limit, unit: model.Unit
) -> Share:
    """Return an entry VM's share of one limit."""
    total = explain.get_amount(limit, unit)
    window_ms = limit.window_s * MS_PER_S
    key = LimitKey(limit.name, unit.dimension, window_ms, limit.alignment)
    pool = get_pool(limit, unit)
    return Share(key, get_part(bundle, vm, total - pool), total, pool)


def get_pool(limit: model.Limit, unit: model.Unit) -> int:
    """Return the part of a limit that is leased out; short windows have none."""
    if limit.window_s < SHORTEST_POOLED_S:
        return 0
    total = explain.get_amount(limit, unit)
    return total - total * limit.floor_percent // PERCENT
