"""Endpoints and slots of one process: keeper, holder and what they exchange."""

from __future__ import annotations

import collections.abc
import dataclasses
import random

from knapweedbeam_core import clock, effects, ids, outcomes, reasons
from knapweedbeam_core.dispatch import usage
from knapweedbeam_core.entry import parts
from knapweedbeam_core.membership import membership, rendezvous
from knapweedbeam_core.membership import messages as membership_messages
from knapweedbeam_core.slots import (
    announcement_forwarder,
    departures,
    directory,
    handover,
    holder,
    keeper,
    keeper_reports,
    kept,
    lease_times,
    links,
    messages,
    slot_requester,
)

MAX_OWN_ROUNDS = 8

Sends = list[effects.Send]
GetDemands = collections.abc.Callable[[str], dict[str, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessContext:
    """Which process this is, and who else there is."""

    me: ids.ProcessId
    domain: str
    peers: tuple[parts.Peer, ...]
    clock: clock.Clock
    rng: random.Random


class SlotManager:
    """Turns announcements, heartbeats and demand into held slots."""

    def __init__(
        self,
        place: ProcessContext,
        watcher: holder.HolderListener,
        get_demands: GetDemands,
    ) -> None:
        self.me = place.me
        self.domain = place.domain
        self.clock = place.clock
        self.get_demands = get_demands
        self.membership = membership.Membership(
            place.me, place.domain, place.peers, place.clock
        )
        self.leavers = departures.Leavers(place.clock)
        settings = keeper.Settings(place.me, place.clock)
        self.keeper = keeper.Keeper(settings, self.leavers)
        self.holder = holder.Holder(place.me, place.clock, watcher, self.leavers)
        self.directory = directory.CapacityDirectory()
        self.slot_requester = slot_requester.SlotRequester(
            place.clock, self.holder, self.directory
        )
        self.announcing = announcement_forwarder.Announcing()
        self.moving = handover.Moving(self.membership, self.keeper, self.holder)
        self.usage = usage.Usage()
        self.capacity_sent = 0
        self.stopping = False
        session = self.keeper.renew(self.me)
        self.holder.open_link(self.me, session.number)

    # From outside.

    def announce(
        self, record: parts.Announcement
    ) -> tuple[parts.EndpointLease | outcomes.Refusal, Sends]:
        """Take an endpoint's announcement and bring it to its keeper."""
        refusal = announcement_forwarder.check(record)
        if refusal is not None:
            return refusal, []
        name = record.endpoint
        version = departures.Version(record.incarnation, record.sequence)
        if record.leaving:
            return self.get_lease(), self.tell_left(name, version)
        if self.leavers.has_left(name, version):
            return outcomes.Refusal(reasons.Reason.STALE, f"{name} has left"), []
        chosen = self.choose_keeper(record)
        if not chosen:
            detail = f"no entry VM of {record.domain} is reachable"
            return outcomes.Refusal(reasons.Reason.NOT_READY, detail), []
        if chosen != self.me.name:
            now_ms = self.clock.now_ms()
            return self.get_lease(), self.announcing.forward(chosen, record, now_ms)
        refusal = self.keep(record, 0)
        return refusal or self.get_lease(), self.tell_capacity()

    def choose_keeper(self, record: parts.Announcement) -> str:
        """Return the name of an endpoint's keeper, empty when none is live."""
        names = self.membership.get_names(record.domain)
        if self.stopping:
            names = tuple(name for name in names if name != self.me.name)
        return rendezvous.choose(record.endpoint, names)

    def get_lease(self) -> parts.EndpointLease:
        """Return how long an announcement holds."""
        return parts.EndpointLease(
            lease_times.ENDPOINT_LEASE_MS, lease_times.ANNOUNCE_MS
        )

    def tell_left(self, name: str, version: departures.Version) -> Sends:
        """Tell every live entry VM of a leaver, the first time it says so."""
        if not self.leavers.add(name, version):
            return []
        self.keeper.leave(name, version)
        self.holder.leave(name, version.incarnation)
        left = messages.EndpointLeft(name, version.incarnation, version.sequence)
        return [
            effects.Send(contact.peer.name, left)
            for contact in self.membership.contacts.values()
            if contact.process is not None
        ]

    def keep(self, record: parts.Announcement, age_ms: int) -> outcomes.Refusal | None:
        """Take an announcement as its endpoint's keeper."""
        open_ms = self.moving.get_open_ms(record)
        return self.keeper.take_announcement(record, age_ms, open_ms)

    def handle_local_usage_report(self, report: parts.UsageReport) -> None:
        """Take a usage report; near entry VMs learn of it with the heartbeat."""
        if not self.learn_usage(report):
            return
        for contact in self.membership.contacts.values():
            if contact.live and contact.is_frequent:
                contact.reports[report.worker] = report

    def learn_usage(self, report: parts.UsageReport) -> bool:
        """Take a report; false when it is older than the one known."""
        sizes = self.get_sizes(report.worker)
        if not self.usage.add_report(report):
            return False
        self.holder.watcher.worker_reported(report.worker)
        if sizes != self.get_sizes(report.worker):
            self.keeper.worker_changed()
        return True

    def get_sizes(self, worker: str) -> tuple[int, int]:
        """Return a worker's sizes, zero while they are unknown."""
        report = self.usage.get_report(worker)
        return (report.cpu_millis, report.memory_mib) if report else (0, 0)

    # From other entry VMs.

    def handle_announcements(
        self, sender: ids.ProcessId, seen: messages.EndpointsSeen
    ) -> Sends:
        """Take announcements as keeper; those kept elsewhere are left out."""
        for taken in seen.seen:
            record = taken.announcement
            if self.choose_keeper(record) == self.me.name:
                self.keep(record, taken.age_ms)
        for refresh in seen.refreshes:
            self.keeper.take_refresh(refresh)
        return []

    def accept_sender(self, sender: ids.ProcessId) -> bool:
        """Take a sign of life; false when an ended run or a stranger spoke."""
        change = self.membership.record_contact(sender)
        if change is None:
            return False
        if change.gone is not None:
            self.directory.drop(change.gone)
        return True

    def handle_stopping(
        self, sender: ids.ProcessId, message: membership_messages.Stopping
    ) -> Sends:
        """Take that a peer keeps nothing new from now on."""
        self.membership.record_stop(sender)
        self.directory.drop(sender)
        return []

    def handle_holder_delta(
        self, sender: ids.ProcessId, delta: messages.HolderDelta
    ) -> Sends:
        """Take what a holder gives back and could use."""
        if delta.receiver_incarnation == self.me.incarnation:
            self.keeper.take_delta(sender, delta)
        return []

    def handle_keeper_delta(
        self, sender: ids.ProcessId, delta: messages.KeeperDelta
    ) -> Sends:
        """Take what a keeper grants and wants back."""
        if delta.receiver_incarnation == self.me.incarnation:
            self.holder.take_delta(sender, delta)
            self.slot_requester.take_free(sender, delta.free)
        return []

    def handle_capacity(
        self, sender: ids.ProcessId, capacity: messages.Capacity
    ) -> Sends:
        """Take what another entry VM keeps."""
        self.directory.take(sender, capacity, self.membership.is_near(sender))
        return []

    def handle_departure(
        self, sender: ids.ProcessId, left: messages.EndpointLeft
    ) -> Sends:
        """Take that an endpoint leaves."""
        version = departures.Version(left.incarnation, left.sequence)
        if self.leavers.add(left.endpoint, version):
            self.keeper.leave(left.endpoint, version)
            self.holder.leave(left.endpoint, version.incarnation)
        return []

    def handle_usage_reports(
        self, sender: ids.ProcessId, seen: messages.UsageSeen
    ) -> Sends:
        """Take usage reports that another entry VM took."""
        for report in seen.reports:
            self.learn_usage(report)
        return []

    def handle_held_slots(
        self, sender: ids.ProcessId, shown: messages.SlotsShown
    ) -> Sends:
        """Take leases that an earlier keeper granted."""
        if shown.receiver_incarnation != self.me.incarnation:
            return []
        for slots in shown.shown:
            record = slots.announcement
            if record.endpoint in self.keeper.endpoints:
                continue
            if self.choose_keeper(record) == self.me.name:
                self.keep(record, lease_times.ANNOUNCE_MS)
        self.keeper.take_shown(sender, shown.shown)
        return []

    def handle_heartbeat(
        self, sender: ids.ProcessId, beat: membership_messages.Heartbeat
    ) -> Sends:
        """Take a heartbeat: renew leases both ways and repeat what got lost."""
        contact = self.membership.record_heartbeat(sender, beat)
        if contact is None:
            return []
        session = self.keeper.renew(sender)
        session.echo_ms = max(session.echo_ms, beat.sent_ms)
        if beat.receiver_incarnation != self.me.incarnation:
            return []
        sends: Sends = []
        if beat.held_session == session.number:
            sends += self.keeper.resend(session, beat.grants_applied)
        contact.capacity_known = beat.capacity_known
        if beat.session:
            renewal = holder.Renewal(
                beat.session,
                beat.echo_ms,
                beat.required,
                beat.stalest_ms,
                beat.returns_applied,
            )
            self.holder.renew(sender, renewal)
        self.slot_requester.take_free(sender, beat.free)
        return sends

    # To other entry VMs.

    def tick(self) -> Sends:
        """Do what is due: leases, graces, silent peers and heartbeats."""
        now_ms = self.clock.now_ms()
        self.keeper.tick()
        self.holder.tick()
        self.end_old_links()
        for gone in self.membership.expire_unresponsive(now_ms):
            self.directory.drop(gone)
        sends = self.moving.tick(now_ms)
        sends += self.tell_capacity()
        for link in self.holder.return_due(now_ms):
            self.settle(link)
        for contact in self.membership.pop_due_heartbeats(now_ms):
            sends += self.beat(contact, now_ms)
        return [*sends, *self.announcing.take_late(now_ms)]

    def end_old_links(self) -> None:
        """Forget what ended runs of keepers granted, once it has lapsed."""
        for keeper_id, link in list(self.holder.links.items()):
            if not link.lease.lapsed or keeper_id == self.me:
                continue
            if self.membership.contacts[keeper_id.name].process != keeper_id:
                self.holder.end_link(link)

    def beat(self, contact: membership.Contact, now_ms: int) -> Sends:
        """Return a heartbeat and all that rides with it."""
        name = contact.peer.name
        link = self.holder.links.get(contact.process) if contact.process else None
        session = self.keeper.sessions.get(contact.process) if contact.process else None
        sends: Sends = []
        if link is not None:
            self.settle(link)
            delta = self.holder.get_beat_delta(link)
            sends += [delta] if delta is not None else []
        sends += self.announcing.take_waiting(name, now_ms)
        sends += self.get_reports(contact)
        if contact.live and contact.capacity_known < self.keeper.capacity_version:
            sends.append(effects.Send(name, self.build_capacity()))
        in_use = link is not None and any(link.held.values())
        granted = session is not None and any(session.held.values())
        self.membership.set_has_leases(name, in_use or granted)
        return [effects.Send(name, self.build_beat(contact, link, session)), *sends]

    def build_beat(
        self,
        contact: membership.Contact,
        link: links.KeeperLink | None,
        session: kept.HolderSession | None,
    ) -> membership_messages.Heartbeat:
        """Build the heartbeat for one peer."""
        known = contact.process
        capacity_known = self.directory.versions.get(known, 0) if known else 0
        return membership_messages.Heartbeat(
            sequence=self.membership.next_sequence(contact),
            sent_ms=self.clock.now_ms(),
            receiver_incarnation=known.incarnation if known else 0,
            echo_ms=contact.echo_ms,
            session=session.number if session else 0,
            required=session.required if session else 0,
            stalest_ms=self.keeper.stalest_ms,
            returns_applied=session.applied.version if session else 0,
            held_session=link.lease.session if link else 0,
            grants_applied=link.applied.version if link else 0,
            capacity_known=capacity_known,
            free=keeper_reports.get_free(self.keeper),
        )

    def get_reports(self, contact: membership.Contact) -> Sends:
        """Return the usage reports that a peer has not been sent."""
        if not contact.reports:
            return []
        fresh = tuple(contact.reports.values())
        contact.reports.clear()
        return [effects.Send(contact.peer.name, messages.UsageSeen(fresh))]

    def request_slots(self, service: str, backlog: int) -> None:
        """Ask for the slots that a backlog lacks."""
        kept_here = self.keeper.services.get(service)
        own_free = kept_here.free if kept_here is not None else 0
        if not self.slot_requester.is_short(service, backlog, own_free):
            return
        self.slot_requester.take_free(self.me, keeper_reports.get_free(self.keeper))
        self.slot_requester.ask(service, backlog, self.get_demands)

    def settle(self, link: links.KeeperLink) -> None:
        """Bring down the demand that a keeper knows."""
        for service in [name for name, told in link.sent_demands.items() if told]:
            self.slot_requester.settle(link, service, self.get_demands(service))

    def tell_capacity(self) -> Sends:
        """Tell everyone what is kept here, after it changed."""
        version = self.keeper.capacity_version
        if version == self.capacity_sent:
            return []
        self.capacity_sent = version
        capacity = self.build_capacity()
        self.directory.take(self.me, capacity, near=True)
        return [
            effects.Send(contact.peer.name, capacity)
            for contact in self.membership.contacts.values()
            if contact.live
        ]

    def build_capacity(self) -> messages.Capacity:
        """Build what is kept here, by service."""
        services = keeper_reports.get_capacities(self.keeper, self.usage)
        return messages.Capacity(self.keeper.capacity_version, services)

    def collect_deltas(self) -> Sends:
        """Return the deltas of this turn, own ones taken at once."""
        sends: Sends = []
        for _ in range(MAX_OWN_ROUNDS):
            found = [*self.holder.collect(), *self.keeper.collect()]
            if not found:
                break
            for send in found:
                if send.to != self.me.name:
                    sends.append(send)
                elif isinstance(send.message, messages.HolderDelta):
                    self.keeper.take_delta(self.me, send.message)
                elif isinstance(send.message, messages.KeeperDelta):
                    self.holder.take_delta(self.me, send.message)
        return sends

    def stop(self) -> Sends:
        """Stop keeping: the others take over while leases here go on."""
        self.stopping = True
        self.moving.stop()
        return [
            effects.Send(contact.peer.name, membership_messages.Stopping())
            for contact in self.membership.contacts.values()
        ]
