"""Splitting limits over failure domains and entry VMs without a remainder."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core.bundles import explain, model

MS_PER_S = 1_000
PERCENT = 100
MIN_POOLED_WINDOW_S = 240


@dataclasses.dataclass(frozen=True, slots=True)
class LimitKey:
    """Identity of a limit across bundle versions."""

    name: str
    dimension: model.Dimension
    window_ms: int
    alignment: model.Alignment


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """One entry VM's share of a limit, with the limit's total and its pool.

    The pool is the part of the limit that is leased out on request instead of
    being divided among the entry VMs.
    """

    key: LimitKey
    amount: int
    total: int
    pool: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SharePosition:
    """Position of an entry VM in the order in which limits are divided.

    Its failure domain has `weight` of `total_weight`, after `preceding_weight` of
    the domains listed before it. The VM is at `index` of the `count` entry VMs of
    that domain.
    """

    preceding_weight: int
    weight: int
    total_weight: int
    index: int
    count: int


def find_position(bundle: model.Bundle, vm: str) -> SharePosition | None:
    """Return an entry VM's position, or none if the bundle does not name it."""
    total_weight = sum(domain.share for domain in bundle.failure_domains)
    preceding_weight = 0
    for domain in bundle.failure_domains:
        if vm in domain.entry_vms and total_weight:
            index = domain.entry_vms.index(vm)
            return SharePosition(
                preceding_weight,
                domain.share,
                total_weight,
                index,
                len(domain.entry_vms),
            )
        preceding_weight += domain.share
    return None


def get_share_amount(position: SharePosition | None, total: int) -> int:
    """Return the part of `total` at a position; all parts add up to it exactly."""
    if position is None:
        return 0
    cumulative = (
        total * (position.preceding_weight + position.weight) // position.total_weight
    )
    domain_amount = (
        cumulative - total * position.preceding_weight // position.total_weight
    )
    return (
        domain_amount * (position.index + 1) // position.count
        - domain_amount * position.index // position.count
    )


def get_shares(bundle: model.Bundle, vm: str) -> dict[str, tuple[Share, ...]]:
    """Return an entry VM's share of every limit, by member."""
    units = {unit.name: unit for unit in bundle.units}
    position = find_position(bundle, vm)
    return {
        contract.member: tuple(
            build_share(position, limit, units[limit.unit]) for limit in contract.limits
        )
        for contract in bundle.contracts
    }


def build_share(
    position: SharePosition | None, limit: model.Limit, unit: model.Unit
) -> Share:
    """Return an entry VM's share of one limit."""
    total = explain.get_amount(limit, unit)
    window_ms = limit.window_s * MS_PER_S
    key = LimitKey(limit.name, unit.dimension, window_ms, limit.alignment)
    pool = get_pool(limit, unit)
    return Share(key, get_share_amount(position, total - pool), total, pool)


def get_pool(limit: model.Limit, unit: model.Unit) -> int:
    """Return the part of a limit that is leased out, 0 for a short window."""
    if limit.window_s < MIN_POOLED_WINDOW_S:
        return 0
    total = explain.get_amount(limit, unit)
    return total - total * limit.floor_percent // PERCENT
