"""Messages of a keeper about its endpoints, to holders and to all entry VMs."""

from __future__ import annotations

import typing

from knapweedbeam_core import effects
from knapweedbeam_core.dispatch import usage
from knapweedbeam_core.membership import messages as membership_messages
from knapweedbeam_core.slots import kept, messages

if typing.TYPE_CHECKING:
    from knapweedbeam_core.slots import keeper


def build_delta(
    owner: keeper.Keeper, session: kept.HolderSession, resend: bool
) -> effects.Send:
    """Build the message that brings a holder up to date."""
    stream = session.stream
    batch = stream.collect_unacked() if resend else stream.collect_unsent()
    session.sent_ms = owner.clock.now_ms()
    grants = []
    allotments = []
    for key in batch.keys:
        if isinstance(key, kept.EndpointKey):
            if key in session.leases:
                grants.append(build_grant(owner, session.leases[key], key))
        else:
            allotments.append(session.bounds[key.service])
    delta = messages.KeeperDelta(
        session.holder.incarnation,
        session.number,
        session.echo_ms,
        owner.stalest_ms,
        batch.since,
        batch.version,
        tuple(grants),
        tuple(allotments),
        get_free(owner),
    )
    return effects.Send(session.holder.name, delta)


def build_grant(
    owner: keeper.Keeper, lease: kept.LeasedSlots, key: kept.EndpointKey
) -> messages.Grant:
    """Build the grant that describes one endpoint's state to a holder."""
    entry = owner.endpoints.get(key.endpoint)
    if entry is None or entry.key != key:
        return messages.Grant(lease.record, lease.granted, True, False, 100)
    lease.record = entry.record
    return messages.Grant(
        entry.record,
        lease.granted,
        is_revoked(owner, entry),
        entry.is_ejected or entry.is_suspect,
        round(entry.speed * 100),
    )


def is_revoked(owner: keeper.Keeper, entry: kept.KeptEndpoint) -> bool:
    """Return whether holders must not start tasks at an endpoint now."""
    if not entry.capacity:
        return True
    return entry.is_ejected and owner.clock.now_ms() < entry.open_ms


def get_capacities(
    owner: keeper.Keeper, sizes: usage.Usage
) -> tuple[messages.ServiceCapacity, ...]:
    """Return the capacity kept here, by service."""
    return tuple(build_capacity(service, sizes) for service in owner.services.values())


def get_free(owner: keeper.Keeper) -> tuple[membership_messages.FreeSlots, ...]:
    """Return the free slots of each service, by speed."""
    return tuple(
        membership_messages.FreeSlots(
            service.service, slots, kept.get_step_percent(step)
        )
        for service in owner.services.values()
        for step, slots in service.by_speed.items()
        if slots
    )


def build_capacity(
    service: kept.KeptService, sizes: usage.Usage
) -> messages.ServiceCapacity:
    """Return the capacity of one service, with the size of its largest worker.

    The sizes are 0 while any worker's size is unknown.
    """
    live = [entry for entry in service.endpoints.values() if entry.capacity]
    reports = [sizes.get_report(entry.record.worker) for entry in live]
    known_sizes = [report for report in reports if report is not None]
    complete = bool(live) and len(known_sizes) == len(live)
    return messages.ServiceCapacity(
        service.service,
        len(live),
        sum(entry.capacity for entry in live),
        max(report.cpu_millis for report in known_sizes) if complete else 0,
        max(report.memory_mib for report in known_sizes) if complete else 0,
    )
