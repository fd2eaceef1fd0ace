"""The holder: the slots that this entry VM leases from keepers."""

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
    """What a keeper's heartbeat says of a lease.

    `sent_ms` is when the message that it acknowledges was sent from here, 0 for
    none.
    """

    session: int
    sent_ms: int
    required: int
    stalest_ms: int
    returns_applied: int


class HolderListener(typing.Protocol):
    """Who acts on changes of held slots."""

    def endpoint_changed(
        self, pool: held.SlotPool, endpoint: held.HeldEndpoint
    ) -> None:
        """Act on a change of an endpoint's free slots."""

    def shares_changed(self, service: str) -> None:
        """Act on a change of the members' parts."""

    def handle_grant(self, endpoint: held.HeldEndpoint, grant: messages.Grant) -> None:
        """Take what a keeper says of an endpoint's health and speed."""

    def worker_reported(self, worker: str) -> None:
        """Act on a newer usage report of a worker."""


class Holder:
    """Takes grants, gives slots back and stops when leases end."""

    def __init__(
        self,
        me: ids.ProcessId,
        clock: clock.Clock,
        watcher: HolderListener,
        leavers: departures.Leavers,
    ) -> None:
        self.me = me
        self.leavers = leavers
        self.clock = clock
        self.watcher = watcher
        self.links: dict[ids.ProcessId, links.KeeperLink] = {}
        self.pools: dict[str, held.SlotPool] = {}
        self.dirty: dict[ids.ProcessId, links.KeeperLink] = {}

    def get_pool(self, service: str) -> held.SlotPool:
        """Return the pool of a service."""
        pool = self.pools.get(service)
        if pool is None:
            pool = self.pools[service] = held.SlotPool(service)
        return pool

    # Leases.

    def open_link(self, keeper: ids.ProcessId, session: int) -> links.KeeperLink | None:
        """Return the link of a session; a newer session ends the older one."""
        link = self.links.get(keeper)
        if link is not None:
            if link.lease.session == session:
                return link
            if link.lease.session > session:
                return None
            self.end_link(link)
        elif len(self.links) >= MAX_LINKS:
            return None
        lapsed = keeper != self.me
        until_ms = 0 if lapsed else held.FOREVER_MS
        lease = held.Lease(keeper, session, until_ms, lapsed)
        link = self.links[keeper] = links.KeeperLink(lease)
        return link

    def renew(self, keeper: ids.ProcessId, renewal: Renewal) -> None:
        """Take a keeper's heartbeat."""
        link = self.open_link(keeper, renewal.session)
        if link is None:
            return
        link.stream.ack(renewal.returns_applied)
        if renewal.sent_ms and link.applied.version >= renewal.required:
            self.extend(link, renewal.sent_ms, renewal.stalest_ms)

    def extend(self, link: links.KeeperLink, sent_ms: int, stalest_ms: int) -> None:
        """Use a lease for longer, counted from when that was asked for."""
        lease = link.lease
        until_ms = lease_times.get_holder_end_ms(sent_ms, stalest_ms)
        lease.until_ms = max(lease.until_ms, until_ms)
        if lease.lapsed and lease.until_ms > self.clock.now_ms():
            lease.lapsed = False
            for endpoint in lease.endpoints.values():
                self.update_endpoint(endpoint)

    def lapse(self, link: links.KeeperLink) -> None:
        """Stop using a lease that has ended by this process's own clock."""
        self.expire_lease(link.lease)

    def expire_lease(self, lease: held.Lease) -> None:
        """Stop using a lease that ended between two ticks."""
        lease.lapsed = True
        for endpoint in lease.endpoints.values():
            self.update_endpoint(endpoint)

    def end_link(self, link: links.KeeperLink) -> None:
        """Give up everything under a lease; running tasks go on."""
        link.lease.lapsed = True
        for endpoint in list(link.lease.endpoints.values()):
            self.detach(endpoint)
            self.forget_idle(endpoint)
        del self.links[link.lease.keeper]
        self.dirty.pop(link.lease.keeper, None)

    def end_keeper(self, keeper: ids.ProcessId) -> None:
        """Give up what a keeper granted that is surely gone."""
        link = self.links.get(keeper)
        if link is not None:
            self.end_link(link)

    def get_link(self, endpoint: held.HeldEndpoint) -> links.KeeperLink | None:
        """Return the link that an endpoint's slots came by, while it lasts."""
        link = self.links.get(endpoint.lease.keeper)
        return link if link is not None and link.lease is endpoint.lease else None

    def detach(self, endpoint: held.HeldEndpoint) -> None:
        """Hold an endpoint's slots no longer and count them as returned."""
        link = self.get_link(endpoint)
        if link is not None:
            self.count_returned(link, endpoint, endpoint.held)
        endpoint.lease.endpoints.pop(endpoint.record.endpoint, None)
        endpoint.granted = endpoint.returned = 0
        self.update_endpoint(endpoint)

    def forget_idle(self, endpoint: held.HeldEndpoint) -> None:
        """Forget an endpoint of which nothing is held and that runs nothing."""
        record = endpoint.record
        if endpoint.running or endpoint.held:
            return
        pool = self.get_pool(record.service)
        if pool.endpoints.get(record.endpoint) is endpoint:
            del pool.endpoints[record.endpoint]
        endpoint.lease.endpoints.pop(record.endpoint, None)

    def count_returned(
        self, link: links.KeeperLink, endpoint: held.HeldEndpoint, count: int
    ) -> None:
        """Note slots that go back to their keeper with the next message."""
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
        """Bring an endpoint's place among the free ones up to date."""
        pool = self.get_pool(endpoint.record.service)
        pool.update(endpoint)
        self.watcher.endpoint_changed(pool, endpoint)

    # Grants.

    def take_delta(self, keeper: ids.ProcessId, delta: messages.KeeperDelta) -> None:
        """Take what a keeper grants, revokes and allots."""
        link = self.open_link(keeper, delta.session)
        if link is None:
            return
        link.applied.take(delta.since, delta.version)
        link.pending.clear()
        for grant in delta.grants:
            self.take_grant(link, grant)
        if delta.echo_ms and link.applied.version >= delta.version:
            self.extend(link, delta.echo_ms, delta.stalest_ms)
        for allotment in delta.allotments:
            link.bounds[allotment.service] = allotment
            self.watcher.shares_changed(allotment.service)
            self.shed(link, allotment.service)

    def take_grant(self, link: links.KeeperLink, grant: messages.Grant) -> None:
        """Take the latest state of one endpoint's slots."""
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
        more = max(0, grant.total - endpoint.granted)
        endpoint.granted += more
        endpoint.revoked = grant.revoked or self.has_left(record)
        endpoint.record = record
        endpoint.idle_since_ms = self.clock.now_ms()
        link.held[record.service] = link.held.get(record.service, 0) + more
        pool.held += more
        due_ms = endpoint.idle_since_ms + lease_times.IDLE_MS
        link.idle_ms = min(link.idle_ms, due_ms)
        self.watcher.handle_grant(endpoint, grant)
        self.update_endpoint(endpoint)
        if endpoint.revoked:
            self.give_back(endpoint, endpoint.held - endpoint.running)

    def has_left(self, record: parts.Announcement) -> bool:
        """Say whether an endpoint said that it leaves."""
        version = departures.Version(record.incarnation, record.sequence)
        return self.leavers.has_left(record.endpoint, version)

    def attach(
        self,
        link: links.KeeperLink,
        grant: messages.Grant,
        known: held.HeldEndpoint | None,
    ) -> held.HeldEndpoint:
        """Hold an endpoint by this link; an older keeper's slots go back."""
        record = grant.announcement
        if known is None:
            known = held.HeldEndpoint(record, link.lease)
            self.get_pool(record.service).endpoints[record.endpoint] = known
        else:
            self.detach(known)
            known.lease = link.lease
        link.lease.endpoints[record.endpoint] = known
        return known

    def leave(self, endpoint: str, incarnation: int) -> None:
        """Start nothing more at an endpoint that leaves."""
        for pool in self.pools.values():
            known = pool.endpoints.get(endpoint)
            if known is not None and known.record.incarnation <= incarnation:
                known.revoked = True
                self.update_endpoint(known)
                self.give_back(known, known.held - known.running)

    def give_back(
        self, endpoint: held.HeldEndpoint, count: int, now: bool = True
    ) -> None:
        """Return unused slots to their keeper, now or with the heartbeat."""
        link = self.get_link(endpoint)
        if link is None or count <= 0:
            return
        self.count_returned(link, endpoint, count)
        if now or link.lease.keeper == self.me:
            self.dirty[link.lease.keeper] = link
        self.update_endpoint(endpoint)
        self.forget_idle(endpoint)

    def get_surplus(self, link: links.KeeperLink, service: str) -> int:
        """Return how many slots a keeper wants back."""
        bound = link.bounds.get(service)
        if bound is None or not bound.bounded:
            return 0
        return max(0, link.held.get(service, 0) - bound.slots)

    def shed(self, link: links.KeeperLink, service: str) -> None:
        """Return idle slots that the keeper wants back, slow ones first."""
        surplus = self.get_surplus(link, service)
        if not surplus:
            return
        idle = [e for e in link.lease.endpoints.values() if e.held > e.running]
        idle = [e for e in idle if e.record.service == service]
        for endpoint in sorted(idle, key=get_speed, reverse=True):
            count = min(surplus, endpoint.held - endpoint.running)
            self.give_back(endpoint, count)
            surplus -= count
            if not surplus:
                return

    def handle_task_end(self, endpoint: held.HeldEndpoint) -> None:
        """Take a slot that is free again: keep it or return it."""
        endpoint.idle_since_ms = self.clock.now_ms()
        link = self.get_link(endpoint)
        if link is None:
            self.update_endpoint(endpoint)
            self.forget_idle(endpoint)
            return
        spare = endpoint.held - endpoint.running
        if spare > 0 and (
            endpoint.revoked or self.get_surplus(link, endpoint.record.service)
        ):
            count = spare if endpoint.revoked else 1
            self.give_back(endpoint, count)
            return
        self.update_endpoint(endpoint)
        link.idle_ms = min(link.idle_ms, endpoint.idle_since_ms + lease_times.IDLE_MS)

    def return_due(self, now_ms: int) -> list[links.KeeperLink]:
        """Return slots that were not used for a while, and to whom they go."""
        due = [link for link in self.links.values() if link.idle_ms <= now_ms]
        for link in due:
            self.return_idle(link, now_ms)
        return due

    def return_idle(self, link: links.KeeperLink, now_ms: int) -> None:
        """Return a keeper's idle slots, all in one message."""
        link.idle_ms = held.FOREVER_MS
        for endpoint in list(link.lease.endpoints.values()):
            spare = endpoint.held - endpoint.running
            if spare <= 0:
                continue
            due_ms = endpoint.idle_since_ms + lease_times.IDLE_MS
            if due_ms <= now_ms + lease_times.IDLE_MS // 2:
                self.give_back(endpoint, spare)
            else:
                link.idle_ms = min(link.idle_ms, due_ms)

    # What is due, and what is sent.

    def tick(self) -> None:
        """Stop using leases that have ended."""
        now_ms = self.clock.now_ms()
        for link in self.links.values():
            if not link.lease.lapsed and link.lease.until_ms <= now_ms:
                self.lapse(link)

    def report_health(
        self, endpoint: held.HeldEndpoint, note: messages.HealthNote
    ) -> None:
        """Have the keeper learn of an endpoint's health at once."""
        link = self.get_link(endpoint)
        if link is None:
            return
        link.notes[note.endpoint] = note
        link.stream.mark(links.NoteKey(note.endpoint))
        self.dirty[link.lease.keeper] = link

    def collect(self) -> list[effects.Send]:
        """Return the deltas to send now."""
        dirty, self.dirty = self.dirty, {}
        now_ms = self.clock.now_ms()
        return [
            link.build_delta(now_ms, resend=False)
            for link in dirty.values()
            if link.stream.has_unsent()
        ]

    def get_beat_delta(self, link: links.KeeperLink) -> effects.Send | None:
        """Return what should ride with a heartbeat: news, or what got lost."""
        now_ms = self.clock.now_ms()
        stream = link.stream
        if stream.acked < stream.sent and now_ms - link.sent_ms >= RESEND_MS:
            return link.build_delta(now_ms, resend=True)
        if stream.has_unsent():
            return link.build_delta(now_ms, resend=False)
        return None


def get_speed(endpoint: held.HeldEndpoint) -> float:
    """Return an endpoint's run time beside the average."""
    return endpoint.speed
