"""The keeper: it holds endpoints' leases and leases their slots out."""

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
EXPIRE_MS = 100
LINGER_MS = 60_000
IDLE_SESSION_MS = 30_000


@dataclasses.dataclass(slots=True)
class Settings:
    """What a keeper needs to know of its process."""

    me: ids.ProcessId
    clock: clock.Clock


class Keeper:
    """Keeps the endpoints that rendezvous hashing gives to this process."""

    def __init__(self, settings: Settings, leavers: departures.Leavers) -> None:
        self.me = settings.me
        self.clock = settings.clock
        self.leavers = leavers
        self.endpoints: dict[str, kept.KeptEndpoint] = {}
        self.services: dict[str, kept.KeptService] = {}
        self.sessions: dict[ids.ProcessId, kept.HolderSession] = {}
        self.last_session = 0
        self.standing: dict[str, float] = {}
        self.hungry: set[str] = set()
        self.later: set[str] = set()
        self.dirty: dict[ids.ProcessId, kept.HolderSession] = {}
        self.opening: timers.Timers[str] = timers.Timers()
        self.expire_ms = 0
        self.stalest_ms = 0
        self.capacity_version = 1

    def get_now_ms(self) -> int:
        """Return the time."""
        return self.clock.now_ms()

    # Endpoints.

    def take_announcement(
        self, record: parts.Announcement, age_ms: int, open_ms: int
    ) -> outcomes.Refusal | None:
        """Take what an endpoint says; nothing late or repeated changes anything.

        A new endpoint's slots are granted to all from `open_ms` on.
        """
        version = departures.Version(record.incarnation, record.sequence)
        name = record.endpoint
        if self.leavers.has_left(name, version) and not record.leaving:
            return outcomes.Refusal(reasons.Reason.STALE, f"{name} has left")
        known = self.endpoints.get(name)
        if known is None:
            return self.add(record, age_ms, open_ms)
        old = known.record
        if version < departures.Version(old.incarnation, old.sequence):
            return outcomes.Refusal(reasons.Reason.STALE, f"{name} said more since")
        now_ms = self.clock.now_ms()
        known.seen_ms = max(known.seen_ms, now_ms - age_ms)
        if version.incarnation > old.incarnation or record.service != old.service:
            self.drop(name)
            return self.add(record, age_ms, open_ms)
        silent = now_ms - known.seen_ms > lease_times.UNRESPONSIVE_MS
        if is_alike(record, old) and silent == known.is_unresponsive:
            known.record = record
            return None
        known.record = record
        known.is_unresponsive = silent
        self.changed(known)
        return None

    def add(
        self, record: parts.Announcement, age_ms: int, open_ms: int
    ) -> outcomes.Refusal | None:
        """Keep an endpoint that was not kept here."""
        if record.leaving:
            return None
        if len(self.endpoints) >= MAX_ENDPOINTS:
            return outcomes.Refusal(reasons.Reason.OVERLOADED, "too many endpoints")
        now_ms = self.clock.now_ms()
        if open_ms > now_ms:
            self.opening.add(open_ms, record.endpoint)
        known = kept.KeptEndpoint(record, now_ms - age_ms, open_ms)
        self.endpoints[record.endpoint] = known
        service = self.services.get(record.service)
        if service is None:
            service = kept.KeptService(record.service)
            self.services[record.service] = service
        service.endpoints[record.endpoint] = known
        for session in self.sessions.values():
            self.charge_again(session, known)
        self.capacity_version += 1
        self.refresh(known)
        return None

    def charge_again(
        self, session: kept.HolderSession, known: kept.KeptEndpoint
    ) -> None:
        """Charge what a holder still has of an endpoint that was away."""
        charge = session.charges.get(known.key)
        if charge is None or not charge.held:
            return
        known.leased_by_holder[session.holder] = charge.held
        known.leased_slots += charge.held
        session.add_held(known.record.service, charge.held)
        self.mark(session, known.key)

    def take_refresh(self, refresh: messages.Refresh) -> None:
        """Take an announcement that repeats the one kept."""
        known = self.endpoints.get(refresh.endpoint)
        if known is None or known.record.incarnation != refresh.incarnation:
            return
        if refresh.sequence < known.record.sequence or known.record.leaving:
            return
        record = dataclasses.replace(known.record, sequence=refresh.sequence)
        self.take_announcement(record, refresh.age_ms, known.open_ms)

    def leave(self, endpoint: str, version: departures.Version) -> None:
        """Stop an endpoint that left, if it is kept here."""
        known = self.endpoints.get(endpoint)
        if known is None or known.record.incarnation > version.incarnation:
            return
        if not known.record.leaving:
            known.record = dataclasses.replace(known.record, leaving=True)
            self.changed(known)

    def drop(self, endpoint: str) -> None:
        """Keep an endpoint no longer; its holders are told to stop."""
        known = self.endpoints.pop(endpoint)
        service = self.services[known.record.service]
        del service.endpoints[endpoint]
        self.capacity_version += 1
        service.update(known, self.clock.now_ms())
        for holder, count in known.leased_by_holder.items():
            self.sessions[holder].add_held(service.service, -count)
        self.tell_holders(known)
        if not service.endpoints:
            del self.services[service.service]

    def changed(self, known: kept.KeptEndpoint) -> None:
        """Act on a change of an endpoint's state or size."""
        self.capacity_version += 1
        self.refresh(known)
        self.tell_holders(known)
        self.hungry.add(known.record.service)

    def tell_holders(self, known: kept.KeptEndpoint) -> None:
        """Have the holders learn an endpoint's state before leases renew."""
        for holder in known.leased_by_holder:
            session = self.sessions[holder]
            self.mark(session, known.key)
            session.required = session.stream.version

    def refresh(self, known: kept.KeptEndpoint) -> None:
        """Bring an endpoint's place among the free ones up to date."""
        service = self.services[known.record.service]
        service.update(known, self.clock.now_ms())
        if service.free:
            self.later.add(service.service)

    # Holders.

    def renew(self, holder: ids.ProcessId) -> kept.HolderSession:
        """Renew a holder's lease, or begin a session with it."""
        until_ms = self.get_lease_end(holder)
        session = self.sessions.get(holder)
        if session is None:
            self.last_session += 1
            session = kept.HolderSession(holder, self.last_session, until_ms)
            self.sessions[holder] = session
        session.until_ms = until_ms
        return session

    def get_lease_end(self, holder: ids.ProcessId) -> int:
        """Return until when a holder heard now may use slots; here, always."""
        if holder == self.me:
            return held.FOREVER_MS
        return self.clock.now_ms() + lease_times.SLOT_LEASE_MS

    def end_session(self, holder: ids.ProcessId) -> None:
        """Take back what a holder held, once its lease has ended."""
        session = self.sessions.pop(holder, None)
        if session is None:
            return
        self.dirty.pop(holder, None)
        for key in session.charges:
            known = self.endpoints.get(key.endpoint)
            if known is not None:
                known.leased_slots -= known.leased_by_holder.pop(holder, 0)
                self.refresh(known)

    def take_delta(self, holder: ids.ProcessId, delta: messages.HolderDelta) -> None:
        """Take what a holder gives back, could use and saw."""
        session = self.sessions.get(holder)
        if session is None or delta.session != session.number:
            return
        session.echo_ms = max(session.echo_ms, delta.sent_ms)
        session.until_ms = self.get_lease_end(holder)
        session.applied.take(delta.since, delta.version)
        for returned in delta.returned:
            self.take_return(session, returned)
        for demand in delta.demands:
            members = session.demands.setdefault(demand.service, {})
            if demand.slots:
                members[demand.member] = demand.slots
            else:
                members.pop(demand.member, None)
            self.hungry.add(demand.service)
        for note in delta.notes:
            ejection.take_note(self, note)

    def take_return(
        self, session: kept.HolderSession, returned: messages.Returned
    ) -> None:
        """Free the slots that a holder gave back."""
        key = kept.EndpointKey(returned.endpoint, returned.incarnation)
        charge = session.charges.get(key)
        if charge is None or returned.total <= charge.returned:
            return
        count = min(returned.total, charge.granted) - charge.returned
        charge.returned += count
        known = self.endpoints.get(returned.endpoint)
        if known is None or known.key != key:
            self.forget_charge(session, key)
            return
        session.add_held(known.record.service, -count)
        left = known.leased_by_holder[session.holder] - count
        known.leased_by_holder[session.holder] = left
        if not left:
            del known.leased_by_holder[session.holder]
        known.leased_slots -= count
        if returned.speed_percent:
            known.speed = returned.speed_percent / 100.0
        self.refresh(known)

    def forget_charge(self, session: kept.HolderSession, key: kept.EndpointKey) -> None:
        """Drop the totals of an endpoint's run that cannot come back."""
        version = departures.Version(key.incarnation, 0)
        left = self.leavers.has_left(key.endpoint, version)
        if left and not session.charges[key].held:
            del session.charges[key]

    def take_shown(
        self, holder: ids.ProcessId, shown: collections.abc.Iterable[messages.HeldSlots]
    ) -> None:
        """Honour leases that an earlier keeper of the endpoints granted."""
        session = self.renew(holder)
        for slots in shown:
            record = slots.announcement
            known = self.endpoints.get(record.endpoint)
            if known is None or self.clock.now_ms() >= known.open_ms:
                continue
            if known.record.incarnation != record.incarnation:
                continue
            if holder in known.leased_by_holder:
                continue
            room = max(0, known.record.slots - known.leased_slots)
            self.grant(session, known, min(slots.slots, room))

    # Slots.

    def grant(
        self, session: kept.HolderSession, known: kept.KeptEndpoint, count: int
    ) -> None:
        """Charge slots to a holder, before it learns of them."""
        if count <= 0:
            return
        record = known.record
        charge = session.charges.get(known.key)
        if charge is None:
            charge = session.charges[known.key] = kept.Charge(record)
        charge.granted += count
        known.leased_by_holder[session.holder] = (
            known.leased_by_holder.get(session.holder, 0) + count
        )
        known.leased_slots += count
        session.add_held(record.service, count)
        self.mark(session, known.key)
        self.refresh(known)

    def mark(self, session: kept.HolderSession, key: kept.Key) -> None:
        """Have a holder learn of a change."""
        session.stream.mark(key)
        self.dirty[session.holder] = session

    # What is due, and what is sent.

    def tick(self) -> None:
        """End leases and graces that ran out, and look again at who waits."""
        now_ms = self.clock.now_ms()
        for endpoint in self.opening.pop_due(now_ms):
            known = self.endpoints.get(endpoint)
            if known is not None:
                self.refresh(known)
        if now_ms >= self.expire_ms:
            self.expire_ms = now_ms + EXPIRE_MS
            self.expire(now_ms)
        self.hungry |= self.later
        self.later.clear()
        for service in self.services.values():
            if service.bounded:
                self.hungry.add(service.service)

    def expire(self, now_ms: int) -> None:
        """Drop endpoints and holders that were not heard of in time."""
        ended = [s.holder for s in self.sessions.values() if self.is_over(s, now_ms)]
        for holder in ended:
            self.end_session(holder)
        self.stalest_ms = 0
        for known in list(self.endpoints.values()):
            self.age(known, now_ms - known.seen_ms)

    def is_over(self, session: kept.HolderSession, now_ms: int) -> bool:
        """Say whether a holder's lease has ended with slots under it.

        This process's own lease never does.
        """
        if session.until_ms > now_ms:
            return False
        idle_ms = now_ms - session.until_ms
        return idle_ms > IDLE_SESSION_MS or any(session.held.values())

    def age(self, known: kept.KeptEndpoint, age_ms: int) -> None:
        """Stop an endpoint that is silent, and drop one that is gone."""
        if age_ms > lease_times.ENDPOINT_LEASE_MS:
            if known.record.leaving and known.leased_slots and age_ms < LINGER_MS:
                return
            self.drop(known.record.endpoint)
        elif known.record.leaving or known.is_unresponsive:
            return
        elif age_ms > lease_times.UNRESPONSIVE_MS:
            known.is_unresponsive = True
            self.changed(known)
        else:
            self.stalest_ms = max(self.stalest_ms, age_ms)

    def collect(self) -> list[effects.Send]:
        """Grant what can be granted and return the deltas to send."""
        hungry, self.hungry = self.hungry, set()
        for name in hungry:
            service = self.services.get(name)
            if service is not None:
                allocation.serve(self, service)
        dirty, self.dirty = self.dirty, {}
        return [
            keeper_reports.build_delta(self, session, resend=False)
            for session in dirty.values()
        ]

    def resend(self, session: kept.HolderSession, applied: int) -> list[effects.Send]:
        """Take a holder's acknowledgement and repeat what it lacks."""
        session.stream.ack(applied)
        lacking = session.stream.acked < session.stream.sent
        if lacking and self.clock.now_ms() - session.sent_ms >= RESEND_MS:
            return [keeper_reports.build_delta(self, session, resend=True)]
        return []

    def worker_changed(self) -> None:
        """Have the capacity told anew, since sizes of workers became known."""
        self.capacity_version += 1


def is_alike(new: parts.Announcement, old: parts.Announcement) -> bool:
    """Say whether two announcements differ in nothing but their sequence."""
    return dataclasses.replace(new, sequence=old.sequence) == old
