"""List the endpoints that a process knows, for operators."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core.dispatch import dispatcher, health
from knapweedbeam_core.entry import parts


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointListing:
    """One endpoint as this process knows it.

    `state` is `up`, `leaving` or `silent`; `running` counts the tasks that this
    process has there.
    """

    endpoint: str
    service: str
    domain: str
    worker: str
    state: str
    health: str
    slots: int
    running: int
    keeper: str


def list_endpoints(known: dispatcher.Dispatcher) -> tuple[EndpointListing, ...]:
    """Return the endpoints that are kept here, or that hold slots for this process."""
    found: dict[str, EndpointListing] = {}
    states = known.state.health.endpoints
    for pool in known.slot_manager.holder.pools.values():
        for name, held in pool.endpoints.items():
            keeper = held.lease.keeper.name
            found[name] = build_listing(held.record, "up", states, held.running, keeper)
    for name, kept in known.slot_manager.keeper.endpoints.items():
        state = "up"
        if kept.is_unresponsive:
            state = "silent"
        if kept.record.leaving:
            state = "leaving"
        running = found[name].running if name in found else 0
        found[name] = build_listing(kept.record, state, states, running, known.me.name)
    return tuple(found[name] for name in sorted(found))


def build_listing(
    record: parts.Announcement,
    state: str,
    states: dict[str, health.EndpointHealth],
    running: int,
    keeper: str,
) -> EndpointListing:
    """Return one listing."""
    judged = states.get(record.endpoint)
    return EndpointListing(
        endpoint=record.endpoint,
        service=record.service,
        domain=record.domain,
        worker=record.worker,
        state=state,
        health=judged.state if judged is not None else health.CHART.start,
        slots=record.slots,
        running=running,
        keeper=keeper,
    )
