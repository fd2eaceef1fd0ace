"""The keeper, which tracks endpoints and leases their slots to holders."""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core import clock, effects, ids, outcomes, reasons
from knapweedbeam_core.dispatch import timers
from knapweedbeam_core.entry import parts
from knapweedbeam_core.slots import (
    allocation,
    departures,
    ejection,
    held,
    keeper_reports,
    kept,
    lease_times,
    messages,
)

MAX_ENDPOINTS = 8_192
RESEND_MS = 200
EXPIRY_INTERVAL_MS = 100
LEAVING_RETENTION_MS = 60_000
IDLE_SESSION_RETENTION_MS = 30_000


@dataclasses.dataclass(slots=True)
class KeeperConfig:
    """Process identity and clock of a keeper."""

    me: ids.ProcessId
    clock: clock.Clock


class Keeper:
    """Keeps the endpoints that rendezvous hashing assigns to this process.

    `pending_services` are allocated with the next `collect_deltas`, and
    `deferred_services` after the next tick.
    """

    def __init__(
        self, config: KeeperConfig, departed: departures.DepartedEndpoints
    ) -> None:
        self.me = config.me
        self.clock = config.clock
        self.departed = departed
        self.endpoints: dict[str, kept.KeptEndpoint] = {}
        self.services: dict[str, kept.KeptService] = {}
        self.sessions: dict[ids.ProcessId, kept.HolderSession] = {}
        self.last_session = 0
        self.standing: dict[str, float] = {}
        self.pending_services: set[str] = set()
        self.deferred_services: set[str] = set()
        self.dirty: dict[ids.ProcessId, kept.HolderSession] = {}
        self.opening_timers: timers.Timers[str] = timers.Timers()
        self.next_expiry_ms = 0
        self.stalest_ms = 0
        self.capacity_version = 1

    def get_now_ms(self) -> int:
        """Return the monotonic time."""
        return self.clock.now_ms()

    # Endpoints.

    def handle_announcement(
        self, record: parts.Announcement, age_ms: int, open_ms: int
    ) -> outcomes.Refusal | None:
        """Apply an announcement; refuse a late one.

        A repeated one only renews the endpoint. The slots of a new endpoint may be
        granted from `open_ms` on.
        """
        version = departures.Version(record.incarnation, record.sequence)
        name = record.endpoint
        if self.departed.has_left(name, version) and not record.leaving:
            return outcomes.Refusal(reasons.Reason.STALE, f"{name} has left")
        entry = self.endpoints.get(name)
        if entry is None:
            return self.add_endpoint(record, age_ms, open_ms)
        old = entry.record
        if version < departures.Version(old.incarnation, old.sequence):
            return outcomes.Refusal(
                reasons.Reason.STALE, f"{name} has sent a newer announcement"
            )
        now_ms = self.clock.now_ms()
        entry.seen_ms = max(entry.seen_ms, now_ms - age_ms)
        if version.incarnation > old.incarnation or record.service != old.service:
            self.remove_endpoint(name)
            return self.add_endpoint(record, age_ms, open_ms)
        is_unresponsive = now_ms - entry.seen_ms > lease_times.UNRESPONSIVE_MS
        if is_repeat(record, old) and is_unresponsive == entry.is_unresponsive:
            entry.record = record
            return None
        entry.record = record
        entry.is_unresponsive = is_unresponsive
        self.handle_change(entry)
        return None

    def add_endpoint(
        self, record: parts.Announcement, age_ms: int, open_ms: int
    ) -> outcomes.Refusal | None:
        """Add an endpoint that was not kept here."""
        if record.leaving:
            return None
        if len(self.endpoints) >= MAX_ENDPOINTS:
            return outcomes.Refusal(reasons.Reason.OVERLOADED, "too many endpoints")
        now_ms = self.clock.now_ms()
        if open_ms > now_ms:
            self.opening_timers.add(open_ms, record.endpoint)
        entry = kept.KeptEndpoint(record, now_ms - age_ms, open_ms)
        self.endpoints[record.endpoint] = entry
        service = self.services.get(record.service)
        if service is None:
            service = kept.KeptService(record.service)
            self.services[record.service] = service
        service.endpoints[record.endpoint] = entry
        for session in self.sessions.values():
            self.restore_lease(session, entry)
        self.capacity_version += 1
        self.update_free_slots(entry)
        return None

    def restore_lease(
        self, session: kept.HolderSession, entry: kept.KeptEndpoint
    ) -> None:
        """Count the slots that a holder still has of an endpoint that is back."""
        lease = session.leases.get(entry.key)
        if lease is None or not lease.held:
            return
        entry.leased_by_holder[session.holder] = lease.held
        entry.leased_slots += lease.held
        session.add_held(entry.record.service, lease.held)
        self.mark(session, entry.key)

    def handle_refresh(self, refresh: messages.Refresh) -> None:
        """Apply a refresh, which repeats the last announcement."""
        entry = self.endpoints.get(refresh.endpoint)
        if entry is None or entry.record.incarnation != refresh.incarnation:
            return
        if refresh.sequence < entry.record.sequence or entry.record.leaving:
            return
        record = dataclasses.replace(entry.record, sequence=refresh.sequence)
        self.handle_announcement(record, refresh.age_ms, entry.open_ms)

    def mark_leaving(self, endpoint: str, version: departures.Version) -> None:
        """Mark an endpoint as leaving, if it is kept here."""
        entry = self.endpoints.get(endpoint)
        if entry is None or entry.record.incarnation > version.incarnation:
            return
        if not entry.record.leaving:
            entry.record = dataclasses.replace(entry.record, leaving=True)
            self.handle_change(entry)

    def remove_endpoint(self, endpoint: str) -> None:
        """Remove an endpoint and revoke its slots at the holders."""
        entry = self.endpoints.pop(endpoint)
        service = self.services[entry.record.service]
        del service.endpoints[endpoint]
        self.capacity_version += 1
        service.update(entry, self.clock.now_ms())
        for holder, count in entry.leased_by_holder.items():
            self.sessions[holder].add_held(service.service, -count)
        self.notify_holders(entry)
        if not service.endpoints:
            del self.services[service.service]

    def handle_change(self, entry: kept.KeptEndpoint) -> None:
        """Update free slots, capacity and holders after an endpoint changed."""
        self.capacity_version += 1
        self.update_free_slots(entry)
        self.notify_holders(entry)
        self.pending_services.add(entry.record.service)

    def notify_holders(self, entry: kept.KeptEndpoint) -> None:
        """Send holders an endpoint's state and require it before leases renew."""
        for holder in entry.leased_by_holder:
            session = self.sessions[holder]
            self.mark(session, entry.key)
            session.required = session.stream.version

    def update_free_slots(self, entry: kept.KeptEndpoint) -> None:
        """Update the free slots of an endpoint's service after a change."""
        service = self.services[entry.record.service]
        service.update(entry, self.clock.now_ms())
        if service.free:
            self.deferred_services.add(service.service)

    # Holders.

    def renew_session(self, holder: ids.ProcessId) -> kept.HolderSession:
        """Renew a holder's lease, or begin a session with it if there is none."""
        until_ms = self.get_lease_end(holder)
        session = self.sessions.get(holder)
        if session is None:
            self.last_session += 1
            session = kept.HolderSession(holder, self.last_session, until_ms)
            self.sessions[holder] = session
        session.until_ms = until_ms
        return session

    def get_lease_end(self, holder: ids.ProcessId) -> int:
        """Return the end of a lease renewed now; this process's own never ends."""
        if holder == self.me:
            return held.FOREVER_MS
        return self.clock.now_ms() + lease_times.SLOT_LEASE_MS

    def end_session(self, holder: ids.ProcessId) -> None:
        """End a holder's session and free its slots, after its lease has ended."""
        session = self.sessions.pop(holder, None)
        if session is None:
            return
        self.dirty.pop(holder, None)
        for key in session.leases:
            entry = self.endpoints.get(key.endpoint)
            if entry is not None:
                entry.leased_slots -= entry.leased_by_holder.pop(holder, 0)
                self.update_free_slots(entry)

    def apply_delta(self, holder: ids.ProcessId, delta: messages.HolderDelta) -> None:
        """Apply a holder's returned slots, demands and health reports."""
        session = self.sessions.get(holder)
        if session is None or delta.session != session.number:
            return
        session.echo_ms = max(session.echo_ms, delta.sent_ms)
        session.until_ms = self.get_lease_end(holder)
        session.applied.advance(delta.since, delta.version)
        for returned in delta.returned:
            self.apply_return(session, returned)
        for demand in delta.demands:
            members = session.demands.setdefault(demand.service, {})
            if demand.slots:
                members[demand.member] = demand.slots
            else:
                members.pop(demand.member, None)
            self.pending_services.add(demand.service)
        for note in delta.notes:
            ejection.handle_health_note(self, note)

    def apply_return(
        self, session: kept.HolderSession, returned: messages.Returned
    ) -> None:
        """Free the slots that a holder returned."""
        key = kept.EndpointKey(returned.endpoint, returned.incarnation)
        lease = session.leases.get(key)
        if lease is None or returned.total <= lease.returned:
            return
        count = min(returned.total, lease.granted) - lease.returned
        lease.returned += count
        entry = self.endpoints.get(returned.endpoint)
        if entry is None or entry.key != key:
            self.remove_lease(session, key)
            return
        session.add_held(entry.record.service, -count)
        left = entry.leased_by_holder[session.holder] - count
        entry.leased_by_holder[session.holder] = left
        if not left:
            del entry.leased_by_holder[session.holder]
        entry.leased_slots -= count
        if returned.speed_percent:
            entry.speed = returned.speed_percent / 100.0
        self.update_free_slots(entry)

    def remove_lease(self, session: kept.HolderSession, key: kept.EndpointKey) -> None:
        """Remove the totals of an endpoint's run that left, once no slot is held."""
        version = departures.Version(key.incarnation, 0)
        left = self.departed.has_left(key.endpoint, version)
        if left and not session.leases[key].held:
            del session.leases[key]

    def adopt_leases(
        self,
        holder: ids.ProcessId,
        held_slots: collections.abc.Iterable[messages.HeldSlots],
    ) -> None:
        """Grant a holder the slots that it had leased from an earlier keeper."""
        session = self.renew_session(holder)
        for slots in held_slots:
            record = slots.announcement
            entry = self.endpoints.get(record.endpoint)
            if entry is None or self.clock.now_ms() >= entry.open_ms:
                continue
            if entry.record.incarnation != record.incarnation:
                continue
            if holder in entry.leased_by_holder:
                continue
            available = max(0, entry.record.slots - entry.leased_slots)
            self.grant(session, entry, min(slots.slots, available))

    # Slots.

    def grant(
        self, session: kept.HolderSession, entry: kept.KeptEndpoint, count: int
    ) -> None:
        """Grant slots to a holder; they count as leased before it is notified."""
        if count <= 0:
            return
        record = entry.record
        lease = session.leases.get(entry.key)
        if lease is None:
            lease = session.leases[entry.key] = kept.LeasedSlots(record)
        lease.granted += count
        entry.leased_by_holder[session.holder] = (
            entry.leased_by_holder.get(session.holder, 0) + count
        )
        entry.leased_slots += count
        session.add_held(record.service, count)
        self.mark(session, entry.key)
        self.update_free_slots(entry)

    def mark(self, session: kept.HolderSession, key: kept.Key) -> None:
        """Send a change to a holder with the next delta."""
        session.stream.mark(key)
        self.dirty[session.holder] = session

    # Expiry and outgoing messages.

    def tick(self) -> None:
        """Expire leases, open endpoints that are due and schedule allocation."""
        now_ms = self.clock.now_ms()
        for endpoint in self.opening_timers.pop_due(now_ms):
            entry = self.endpoints.get(endpoint)
            if entry is not None:
                self.update_free_slots(entry)
        if now_ms >= self.next_expiry_ms:
            self.next_expiry_ms = now_ms + EXPIRY_INTERVAL_MS
            self.expire(now_ms)
        self.pending_services |= self.deferred_services
        self.deferred_services.clear()
        for service in self.services.values():
            if service.is_bounded:
                self.pending_services.add(service.service)

    def expire(self, now_ms: int) -> None:
        """Remove endpoints and sessions that were not renewed in time."""
        ended = [s.holder for s in self.sessions.values() if self.is_ended(s, now_ms)]
        for holder in ended:
            self.end_session(holder)
        self.stalest_ms = 0
        for entry in list(self.endpoints.values()):
            self.check_age(entry, now_ms - entry.seen_ms)

    def is_ended(self, session: kept.HolderSession, now_ms: int) -> bool:
        """Return whether a holder's session is to be ended.

        It is when its lease has ended with slots held, or without any after
        `IDLE_SESSION_RETENTION_MS`. This process's own lease never ends.
        """
        if session.until_ms > now_ms:
            return False
        idle_ms = now_ms - session.until_ms
        return idle_ms > IDLE_SESSION_RETENTION_MS or any(session.held.values())

    def check_age(self, entry: kept.KeptEndpoint, age_ms: int) -> None:
        """Stop grants of an unresponsive endpoint, and remove one that is gone.

        An endpoint that leaves is retained for up to `LEAVING_RETENTION_MS` while
        slots of it are leased.
        """
        if age_ms > lease_times.ENDPOINT_LEASE_MS:
            if (
                entry.record.leaving
                and entry.leased_slots
                and age_ms < LEAVING_RETENTION_MS
            ):
                return
            self.remove_endpoint(entry.record.endpoint)
        elif entry.record.leaving or entry.is_unresponsive:
            return
        elif age_ms > lease_times.UNRESPONSIVE_MS:
            entry.is_unresponsive = True
            self.handle_change(entry)
        else:
            self.stalest_ms = max(self.stalest_ms, age_ms)

    def collect_deltas(self) -> list[effects.Send]:
        """Allocate the slots of pending services and return the deltas to send."""
        pending_services, self.pending_services = self.pending_services, set()
        for name in pending_services:
            service = self.services.get(name)
            if service is not None:
                allocation.allocate(self, service)
        dirty, self.dirty = self.dirty, {}
        return [
            keeper_reports.build_delta(self, session, resend=False)
            for session in dirty.values()
        ]

    def acknowledge(
        self, session: kept.HolderSession, applied: int
    ) -> list[effects.Send]:
        """Apply a holder's acknowledgement and resend what it has not applied."""
        session.stream.ack(applied)
        has_unacked = session.stream.acked < session.stream.sent
        if has_unacked and self.clock.now_ms() - session.sent_ms >= RESEND_MS:
            return [keeper_reports.build_delta(self, session, resend=True)]
        return []

    def invalidate_capacity(self) -> None:
        """Have the capacity sent again, after sizes of workers have changed."""
        self.capacity_version += 1


def is_repeat(new: parts.Announcement, old: parts.Announcement) -> bool:
    """Return whether two announcements differ only in their sequence number."""
    return dataclasses.replace(new, sequence=old.sequence) == old
