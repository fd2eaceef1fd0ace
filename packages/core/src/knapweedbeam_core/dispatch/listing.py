"""Lists the endpoints known to a process, for operators."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core.dispatch import dispatcher, health
from knapweedbeam_core.entry import parts


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointListing:
    """One endpoint as this process knows it.

    `state` is `up`, `leaving` or `silent`; `running` counts the tasks that this
    process runs there.
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


def list_endpoints(process: dispatcher.Dispatcher) -> tuple[EndpointListing, ...]:
    """Return the endpoints that are kept here or whose slots are held here."""
    listings: dict[str, EndpointListing] = {}
    states = process.state.health.endpoints
    for pool in process.slot_manager.holder.pools.values():
        for name, held in pool.endpoints.items():
            keeper = held.lease.keeper.name
            listings[name] = build_listing(
                held.record, "up", states, held.running, keeper
            )
    for name, kept in process.slot_manager.keeper.endpoints.items():
        state = "up"
        if kept.is_unresponsive:
            state = "silent"
        if kept.record.leaving:
            state = "leaving"
        running = listings[name].running if name in listings else 0
        listings[name] = build_listing(
            kept.record, state, states, running, process.me.name
        )
    return tuple(listings[name] for name in sorted(listings))


def build_listing(
    record: parts.Announcement,
    state: str,
    states: dict[str, health.EndpointHealth],
    running: int,
    keeper: str,
) -> EndpointListing:
    """Build the listing of one endpoint."""
    health_entry = states.get(record.endpoint)
    return EndpointListing(
        endpoint=record.endpoint,
        service=record.service,
        domain=record.domain,
        worker=record.worker,
        state=state,
        health=health_entry.state if health_entry is not None else health.CHART.start,
        slots=record.slots,
        running=running,
        keeper=keeper,
    )
