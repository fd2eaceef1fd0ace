"""The holder, which manages the slots that this entry VM leases from keepers."""

from __future__ import annotations

import dataclasses
import typing

from knapweedbeam_core import clock, effects, ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.slots import departures, held, lease_times, links, messages

MAX_LINKS = 1_024
RESEND_MS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """The part of a keeper's heartbeat that renews a lease.

    `sent_ms` is when the acknowledged message was sent from here, 0 for none.
    `required` is the version of the keeper's deltas that must be applied before
    the lease counts as renewed.
    """

    session: int
    sent_ms: int
    required: int
    stalest_ms: int
    returns_applied: int


class HolderListener(typing.Protocol):
    """Listener for changes of held slots."""

    def endpoint_changed(
        self, pool: held.SlotPool, endpoint: held.HeldEndpoint
    ) -> None:
        """Handle a change of an endpoint's free slots."""

    def shares_changed(self, service: str) -> None:
        """Handle a change of the members' shares of a service."""

    def handle_grant(self, endpoint: held.HeldEndpoint, grant: messages.Grant) -> None:
        """Handle a grant, with the endpoint's health and speed at its keeper."""

    def worker_reported(self, worker: str) -> None:
        """Handle a newer usage report of a worker."""


class Holder:
    """Applies grants, returns slots and stops using leases that have ended."""

    def __init__(
        self,
        me: ids.ProcessId,
        clock: clock.Clock,
        listener: HolderListener,
        departed: departures.DepartedEndpoints,
    ) -> None:
        self.me = me
        self.departed = departed
        self.clock = clock
        self.listener = listener
        self.links: dict[ids.ProcessId, links.KeeperLink] = {}
        self.pools: dict[str, held.SlotPool] = {}
        self.dirty: dict[ids.ProcessId, links.KeeperLink] = {}

    def get_pool(self, service: str) -> held.SlotPool:
        """Return the pool of a service, created if needed."""
        pool = self.pools.get(service)
        if pool is None:
            pool = self.pools[service] = held.SlotPool(service)
        return pool

    # Leases.

    def open_link(self, keeper: ids.ProcessId, session: int) -> links.KeeperLink | None:
        """Return the link of a session, created if needed.

        A newer session ends the older one. Return none for an older session or
        if there are too many links.
        """
        link = self.links.get(keeper)
        if link is not None:
            if link.lease.session == session:
                return link
            if link.lease.session > session:
                return None
            self.end_link(link)
        elif len(self.links) >= MAX_LINKS:
            return None
        is_expired = keeper != self.me
        until_ms = 0 if is_expired else held.FOREVER_MS
        lease = held.Lease(keeper, session, until_ms, is_expired)
        link = self.links[keeper] = links.KeeperLink(lease)
        return link

    def renew(self, keeper: ids.ProcessId, renewal: Renewal) -> None:
        """Renew a lease by a keeper's heartbeat and take its acknowledgement."""
        link = self.open_link(keeper, renewal.session)
        if link is None:
            return
        link.stream.ack(renewal.returns_applied)
        if renewal.sent_ms and link.applied.version >= renewal.required:
            self.extend(link, renewal.sent_ms, renewal.stalest_ms)

    def extend(self, link: links.KeeperLink, sent_ms: int, stalest_ms: int) -> None:
        """Extend a lease, counted from when the renewal was requested."""
        lease = link.lease
        until_ms = lease_times.get_holder_end_ms(sent_ms, stalest_ms)
        lease.until_ms = max(lease.until_ms, until_ms)
        if lease.is_expired and lease.until_ms > self.clock.now_ms():
            lease.is_expired = False
            for endpoint in lease.endpoints.values():
                self.update_endpoint(endpoint)

    def expire_link(self, link: links.KeeperLink) -> None:
        """Stop using a link's lease, which has ended by this process's clock."""
        self.expire_lease(link.lease)

    def expire_lease(self, lease: held.Lease) -> None:
        """Stop using a lease that has ended, possibly between two ticks."""
        lease.is_expired = True
        for endpoint in lease.endpoints.values():
            self.update_endpoint(endpoint)

    def end_link(self, link: links.KeeperLink) -> None:
        """Give up all slots of a link and remove it; running tasks continue."""
        link.lease.is_expired = True
        for endpoint in list(link.lease.endpoints.values()):
            self.detach(endpoint)
            self.remove_unused(endpoint)
        del self.links[link.lease.keeper]
        self.dirty.pop(link.lease.keeper, None)

    def end_keeper(self, keeper: ids.ProcessId) -> None:
        """Give up all slots of a keeper that is certainly gone."""
        link = self.links.get(keeper)
        if link is not None:
            self.end_link(link)

    def get_link(self, endpoint: held.HeldEndpoint) -> links.KeeperLink | None:
        """Return the link of an endpoint's lease, or none if it has ended."""
        link = self.links.get(endpoint.lease.keeper)
        return link if link is not None and link.lease is endpoint.lease else None

    def detach(self, endpoint: held.HeldEndpoint) -> None:
        """Give up an endpoint's slots and count them as returned."""
        link = self.get_link(endpoint)
        if link is not None:
            self.record_returned(link, endpoint, endpoint.held)
        endpoint.lease.endpoints.pop(endpoint.record.endpoint, None)
        endpoint.granted = endpoint.returned = 0
        self.update_endpoint(endpoint)

    def remove_unused(self, endpoint: held.HeldEndpoint) -> None:
        """Remove an endpoint with no held slots and no running tasks."""
        record = endpoint.record
        if endpoint.running or endpoint.held:
            return
        pool = self.get_pool(record.service)
        if pool.endpoints.get(record.endpoint) is endpoint:
            del pool.endpoints[record.endpoint]
        endpoint.lease.endpoints.pop(record.endpoint, None)

    def record_returned(
        self, link: links.KeeperLink, endpoint: held.HeldEndpoint, count: int
    ) -> None:
        """Record slots to be returned to their keeper with the next message."""
        if count <= 0:
            return
        record = endpoint.record
        endpoint.returned += count
        link.held[record.service] -= count
        self.get_pool(record.service).held -= count
        key = links.ReturnedKey(record.endpoint, record.incarnation)
        link.returned[key] = endpoint.returned
        link.speeds[record.endpoint] = round(endpoint.speed * 100)
        link.stream.mark(key)

    def update_endpoint(self, endpoint: held.HeldEndpoint) -> None:
        """Update the pool's free list after a change and notify the listener."""
        pool = self.get_pool(endpoint.record.service)
        pool.update(endpoint)
        self.listener.endpoint_changed(pool, endpoint)

    # Grants.

    def apply_delta(self, keeper: ids.ProcessId, delta: messages.KeeperDelta) -> None:
        """Apply a keeper's grants, revocations and allotments."""
        link = self.open_link(keeper, delta.session)
        if link is None:
            return
        link.applied.advance(delta.since, delta.version)
        link.pending.clear()
        for grant in delta.grants:
            self.apply_grant(link, grant)
        if delta.echo_ms and link.applied.version >= delta.version:
            self.extend(link, delta.echo_ms, delta.stalest_ms)
        for allotment in delta.allotments:
            link.bounds[allotment.service] = allotment
            self.listener.shares_changed(allotment.service)
            self.release_surplus(link, allotment.service)

    def apply_grant(self, link: links.KeeperLink, grant: messages.Grant) -> None:
        """Apply the latest state of one endpoint's slots."""
        record = grant.announcement
        key = links.ReturnedKey(record.endpoint, record.incarnation)
        returned = link.returned.get(key, 0)
        pool = self.get_pool(record.service)
        endpoint = pool.endpoints.get(record.endpoint)
        if endpoint is not None and endpoint.record.incarnation > record.incarnation:
            return
        if endpoint is not None and endpoint.record.incarnation < record.incarnation:
            self.detach(endpoint)
            endpoint = None
        if endpoint is None or endpoint.lease is not link.lease:
            if grant.total <= returned:
                return
            endpoint = self.attach(link, grant, endpoint)
            endpoint.granted = endpoint.returned = returned
        added = max(0, grant.total - endpoint.granted)
        endpoint.granted += added
        endpoint.revoked = grant.revoked or self.has_left(record)
        endpoint.record = record
        endpoint.idle_since_ms = self.clock.now_ms()
        link.held[record.service] = link.held.get(record.service, 0) + added
        pool.held += added
        due_ms = endpoint.idle_since_ms + lease_times.IDLE_RETURN_MS
        link.next_return_ms = min(link.next_return_ms, due_ms)
        self.listener.handle_grant(endpoint, grant)
        self.update_endpoint(endpoint)
        if endpoint.revoked:
            self.release(endpoint, endpoint.held - endpoint.running)

    def has_left(self, record: parts.Announcement) -> bool:
        """Return whether an endpoint has announced that it leaves."""
        version = departures.Version(record.incarnation, record.sequence)
        return self.departed.has_left(record.endpoint, version)

    def attach(
        self,
        link: links.KeeperLink,
        grant: messages.Grant,
        existing: held.HeldEndpoint | None,
    ) -> held.HeldEndpoint:
        """Attach an endpoint to a link and return the slots of an earlier keeper."""
        record = grant.announcement
        if existing is None:
            existing = held.HeldEndpoint(record, link.lease)
            self.get_pool(record.service).endpoints[record.endpoint] = existing
        else:
            self.detach(existing)
            existing.lease = link.lease
        link.lease.endpoints[record.endpoint] = existing
        return existing

    def revoke_departed(self, endpoint: str, incarnation: int) -> None:
        """Revoke the slots of an endpoint that leaves, so that no task starts there."""
        for pool in self.pools.values():
            existing = pool.endpoints.get(endpoint)
            if existing is not None and existing.record.incarnation <= incarnation:
                existing.revoked = True
                self.update_endpoint(existing)
                self.release(existing, existing.held - existing.running)

    def release(
        self, endpoint: held.HeldEndpoint, count: int, now: bool = True
    ) -> None:
        """Return unused slots to their keeper, at once or with the next heartbeat."""
        link = self.get_link(endpoint)
        if link is None or count <= 0:
            return
        self.record_returned(link, endpoint, count)
        if now or link.lease.keeper == self.me:
            self.dirty[link.lease.keeper] = link
        self.update_endpoint(endpoint)
        self.remove_unused(endpoint)

    def get_surplus(self, link: links.KeeperLink, service: str) -> int:
        """Return how many slots are held above a keeper's allotment."""
        bound = link.bounds.get(service)
        if bound is None or not bound.bounded:
            return 0
        return max(0, link.held.get(service, 0) - bound.slots)

    def release_surplus(self, link: links.KeeperLink, service: str) -> None:
        """Return idle slots above the keeper's allotment, slow ones first."""
        surplus = self.get_surplus(link, service)
        if not surplus:
            return
        idle = [e for e in link.lease.endpoints.values() if e.held > e.running]
        idle = [e for e in idle if e.record.service == service]
        for endpoint in sorted(idle, key=get_relative_run_time, reverse=True):
            count = min(surplus, endpoint.held - endpoint.running)
            self.release(endpoint, count)
            surplus -= count
            if not surplus:
                return

    def handle_task_end(self, endpoint: held.HeldEndpoint) -> None:
        """Keep or return the slot of a task that has ended."""
        endpoint.idle_since_ms = self.clock.now_ms()
        link = self.get_link(endpoint)
        if link is None:
            self.update_endpoint(endpoint)
            self.remove_unused(endpoint)
            return
        spare = endpoint.held - endpoint.running
        if spare > 0 and (
            endpoint.revoked or self.get_surplus(link, endpoint.record.service)
        ):
            count = spare if endpoint.revoked else 1
            self.release(endpoint, count)
            return
        self.update_endpoint(endpoint)
        link.next_return_ms = min(
            link.next_return_ms, endpoint.idle_since_ms + lease_times.IDLE_RETURN_MS
        )

    def release_due(self, now_ms: int) -> list[links.KeeperLink]:
        """Return slots that were idle for a while, and the links of their keepers."""
        due = [link for link in self.links.values() if link.next_return_ms <= now_ms]
        for link in due:
            self.release_idle(link, now_ms)
        return due

    def release_idle(self, link: links.KeeperLink, now_ms: int) -> None:
        """Return a keeper's idle slots, all in one message.

        Slots that are due within half of the idle time are included.
        """
        link.next_return_ms = held.FOREVER_MS
        for endpoint in list(link.lease.endpoints.values()):
            spare = endpoint.held - endpoint.running
            if spare <= 0:
                continue
            due_ms = endpoint.idle_since_ms + lease_times.IDLE_RETURN_MS
            if due_ms <= now_ms + lease_times.IDLE_RETURN_MS // 2:
                self.release(endpoint, spare)
            else:
                link.next_return_ms = min(link.next_return_ms, due_ms)

    # Expiry and outgoing messages.

    def tick(self) -> None:
        """Stop using leases that have ended."""
        now_ms = self.clock.now_ms()
        for link in self.links.values():
            if not link.lease.is_expired and link.lease.until_ms <= now_ms:
                self.expire_link(link)

    def report_health(
        self, endpoint: held.HeldEndpoint, note: messages.HealthNote
    ) -> None:
        """Report an endpoint's health to its keeper at once."""
        link = self.get_link(endpoint)
        if link is None:
            return
        link.health_notes[note.endpoint] = note
        link.stream.mark(links.HealthKey(note.endpoint))
        self.dirty[link.lease.keeper] = link

    def collect_deltas(self) -> list[effects.Send]:
        """Return the deltas to send now."""
        dirty, self.dirty = self.dirty, {}
        now_ms = self.clock.now_ms()
        return [
            link.build_delta(now_ms, resend=False)
            for link in dirty.values()
            if link.stream.has_unsent()
        ]

    def build_heartbeat_delta(self, link: links.KeeperLink) -> effects.Send | None:
        """Return the delta to send with a heartbeat, or none.

        It has unsent changes, or repeats unacknowledged ones after `RESEND_MS`.
        """
        now_ms = self.clock.now_ms()
        stream = link.stream
        if stream.acked < stream.sent and now_ms - link.sent_ms >= RESEND_MS:
            return link.build_delta(now_ms, resend=True)
        if stream.has_unsent():
            return link.build_delta(now_ms, resend=False)
        return None


def get_relative_run_time(endpoint: held.HeldEndpoint) -> float:
    """Return an endpoint's run time relative to the average."""
    return endpoint.speed
