"""What a keeper tells holders, and all entry VMs, of its endpoints."""

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
    batch = stream.take_unacked() if resend else stream.take_unsent()
    session.sent_ms = owner.clock.now_ms()
    grants = []
    allotments = []
    for key in batch.keys:
        if isinstance(key, kept.EndpointKey):
            if key in session.charges:
                grants.append(build_grant(owner, session.charges[key], key))
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
    owner: keeper.Keeper, charge: kept.Charge, key: kept.EndpointKey
) -> messages.Grant:
    """Build what a holder must know of one endpoint."""
    known = owner.endpoints.get(key.endpoint)
    if known is None or known.key != key:
        return messages.Grant(charge.record, charge.granted, True, False, 100)
    charge.record = known.record
    return messages.Grant(
        known.record,
        charge.granted,
        is_stopped(owner, known),
        known.doubtful or known.suspect,
        round(known.speed * 100),
    )


def is_stopped(owner: keeper.Keeper, known: kept.KeptEndpoint) -> bool:
    """Say whether holders must start nothing at an endpoint now."""
    if not known.capacity:
        return True
    return known.doubtful and owner.clock.now_ms() < known.open_ms


def get_capacities(
    owner: keeper.Keeper, sizes: usage.Usage
) -> tuple[messages.ServiceCapacity, ...]:
    """Return what is kept here, by service."""
    return tuple(build_capacity(service, sizes) for service in owner.services.values())


def get_free(owner: keeper.Keeper) -> tuple[membership_messages.FreeSlots, ...]:
    """Return how many slots of each service could be granted now."""
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
    """Return what is kept of one service, with its largest worker."""
    live = [known for known in service.endpoints.values() if known.capacity]
    reports = [sizes.get_report(known.record.worker) for known in live]
    known_sizes = [report for report in reports if report is not None]
    complete = bool(live) and len(known_sizes) == len(live)
    return messages.ServiceCapacity(
        service.service,
        len(live),
        sum(known.capacity for known in live),
        max(report.cpu_millis for report in known_sizes) if complete else 0,
        max(report.memory_mib for report in known_sizes) if complete else 0,
    )
