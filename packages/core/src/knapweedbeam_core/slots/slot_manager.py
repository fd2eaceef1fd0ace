"""Management of endpoints and slots in one process, as keeper and as holder."""

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
    """Identity, peers, clock and random numbers of this process."""

    me: ids.ProcessId
    domain: str
    peers: tuple[parts.Peer, ...]
    clock: clock.Clock
    rng: random.Random


class SlotManager:
    """Combines keeper, holder and requester, and exchanges their messages."""

    def __init__(
        self,
        context: ProcessContext,
        listener: holder.HolderListener,
        get_demands: GetDemands,
    ) -> None:
        self.me = context.me
        self.domain = context.domain
        self.clock = context.clock
        self.get_demands = get_demands
        self.membership = membership.Membership(
            context.me, context.domain, context.peers, context.clock
        )
        self.departed = departures.DepartedEndpoints(context.clock)
        config = keeper.KeeperConfig(context.me, context.clock)
        self.keeper = keeper.Keeper(config, self.departed)
        self.holder = holder.Holder(context.me, context.clock, listener, self.departed)
        self.directory = directory.CapacityDirectory()
        self.slot_requester = slot_requester.SlotRequester(
            context.clock, self.holder, self.directory
        )
        self.forwarder = announcement_forwarder.AnnouncementForwarder()
        self.handover = handover.Handover(self.membership, self.keeper, self.holder)
        self.usage = usage.Usage()
        self.capacity_sent = 0
        self.stopping = False
        session = self.keeper.renew_session(self.me)
        self.holder.open_link(self.me, session.number)

    # Calls from endpoints and the platform.

    def announce(
        self, record: parts.Announcement
    ) -> tuple[parts.EndpointLease | outcomes.Refusal, Sends]:
        """Handle an endpoint's announcement or forward it to its keeper."""
        refusal = announcement_forwarder.validate(record)
        if refusal is not None:
            return refusal, []
        name = record.endpoint
        version = departures.Version(record.incarnation, record.sequence)
        if record.leaving:
            return self.get_lease(), self.announce_departure(name, version)
        if self.departed.has_left(name, version):
            return outcomes.Refusal(reasons.Reason.STALE, f"{name} has left"), []
        chosen = self.choose_keeper(record)
        if not chosen:
            detail = f"no entry VM of {record.domain} is reachable"
            return outcomes.Refusal(reasons.Reason.NOT_READY, detail), []
        if chosen != self.me.name:
            now_ms = self.clock.now_ms()
            return self.get_lease(), self.forwarder.forward(chosen, record, now_ms)
        refusal = self.keep_endpoint(record, 0)
        return refusal or self.get_lease(), self.announce_capacity()

    def choose_keeper(self, record: parts.Announcement) -> str:
        """Return the name of an endpoint's keeper, empty when none is live."""
        names = self.membership.get_names(record.domain)
        if self.stopping:
            names = tuple(name for name in names if name != self.me.name)
        return rendezvous.choose(record.endpoint, names)

    def get_lease(self) -> parts.EndpointLease:
        """Return how long an announcement is valid and when to send the next one."""
        return parts.EndpointLease(
            lease_times.ENDPOINT_LEASE_MS, lease_times.ANNOUNCE_INTERVAL_MS
        )

    def announce_departure(self, name: str, version: departures.Version) -> Sends:
        """Notify all reachable entry VMs when an endpoint first says that it leaves."""
        if not self.departed.add(name, version):
            return []
        self.keeper.mark_leaving(name, version)
        self.holder.revoke_departed(name, version.incarnation)
        left = messages.EndpointLeft(name, version.incarnation, version.sequence)
        return [
            effects.Send(contact.peer.name, left)
            for contact in self.membership.contacts.values()
            if contact.process is not None
        ]

    def keep_endpoint(
        self, record: parts.Announcement, age_ms: int
    ) -> outcomes.Refusal | None:
        """Apply an announcement as its endpoint's keeper."""
        open_ms = self.handover.get_open_ms(record)
        return self.keeper.handle_announcement(record, age_ms, open_ms)

    def handle_local_usage_report(self, report: parts.UsageReport) -> None:
        """Handle a usage report; near entry VMs get it with the next heartbeat."""
        if not self.update_usage(report):
            return
        for contact in self.membership.contacts.values():
            if contact.live and contact.is_frequent:
                contact.reports[report.worker] = report

    def update_usage(self, report: parts.UsageReport) -> bool:
        """Apply a usage report; return false if a newer one is known."""
        sizes = self.get_sizes(report.worker)
        if not self.usage.add_report(report):
            return False
        self.holder.listener.worker_reported(report.worker)
        if sizes != self.get_sizes(report.worker):
            self.keeper.invalidate_capacity()
        return True

    def get_sizes(self, worker: str) -> tuple[int, int]:
        """Return a worker's sizes, zero while they are unknown."""
        report = self.usage.get_report(worker)
        return (report.cpu_millis, report.memory_mib) if report else (0, 0)

    # Messages from other entry VMs.

    def handle_announcements(
        self, sender: ids.ProcessId, seen: messages.EndpointsSeen
    ) -> Sends:
        """Apply forwarded announcements; ignore those that are kept elsewhere."""
        for forwarded in seen.seen:
            record = forwarded.announcement
            if self.choose_keeper(record) == self.me.name:
                self.keep_endpoint(record, forwarded.age_ms)
        for refresh in seen.refreshes:
            self.keeper.handle_refresh(refresh)
        return []

    def accept_sender(self, sender: ids.ProcessId) -> bool:
        """Record contact; return false for an unknown sender or an ended run."""
        change = self.membership.record_contact(sender)
        if change is None:
            return False
        if change.gone is not None:
            self.directory.remove(change.gone)
        return True

    def handle_stopping(
        self, sender: ids.ProcessId, message: membership_messages.Stopping
    ) -> Sends:
        """Handle that a peer stops and keeps no new endpoints."""
        self.membership.record_stop(sender)
        self.directory.remove(sender)
        return []

    def handle_holder_delta(
        self, sender: ids.ProcessId, delta: messages.HolderDelta
    ) -> Sends:
        """Apply a holder's delta, unless it is for an earlier run."""
        if delta.receiver_incarnation == self.me.incarnation:
            self.keeper.apply_delta(sender, delta)
        return []

    def handle_keeper_delta(
        self, sender: ids.ProcessId, delta: messages.KeeperDelta
    ) -> Sends:
        """Apply a keeper's delta, unless it is for an earlier run."""
        if delta.receiver_incarnation == self.me.incarnation:
            self.holder.apply_delta(sender, delta)
            self.slot_requester.update_offers(sender, delta.free)
        return []

    def handle_capacity(
        self, sender: ids.ProcessId, capacity: messages.Capacity
    ) -> Sends:
        """Store the capacity of another entry VM."""
        self.directory.update(sender, capacity, self.membership.is_near(sender))
        return []

    def handle_departure(
        self, sender: ids.ProcessId, left: messages.EndpointLeft
    ) -> Sends:
        """Handle that an endpoint leaves."""
        version = departures.Version(left.incarnation, left.sequence)
        if self.departed.add(left.endpoint, version):
            self.keeper.mark_leaving(left.endpoint, version)
            self.holder.revoke_departed(left.endpoint, version.incarnation)
        return []

    def handle_usage_reports(
        self, sender: ids.ProcessId, seen: messages.UsageSeen
    ) -> Sends:
        """Apply usage reports that another entry VM received."""
        for report in seen.reports:
            self.update_usage(report)
        return []

    def handle_held_slots(
        self, sender: ids.ProcessId, shown: messages.SlotsShown
    ) -> Sends:
        """Adopt leases granted by an earlier keeper of the endpoints."""
        if shown.receiver_incarnation != self.me.incarnation:
            return []
        for slots in shown.shown:
            record = slots.announcement
            if record.endpoint in self.keeper.endpoints:
                continue
            if self.choose_keeper(record) == self.me.name:
                self.keep_endpoint(record, lease_times.ANNOUNCE_INTERVAL_MS)
        self.keeper.adopt_leases(sender, shown.shown)
        return []

    def handle_heartbeat(
        self, sender: ids.ProcessId, heartbeat: membership_messages.Heartbeat
    ) -> Sends:
        """Handle a heartbeat: renew leases both ways and resend lost deltas."""
        contact = self.membership.record_heartbeat(sender, heartbeat)
        if contact is None:
            return []
        session = self.keeper.renew_session(sender)
        session.echo_ms = max(session.echo_ms, heartbeat.sent_ms)
        if heartbeat.receiver_incarnation != self.me.incarnation:
            return []
        sends: Sends = []
        if heartbeat.held_session == session.number:
            sends += self.keeper.acknowledge(session, heartbeat.grants_applied)
        contact.capacity_known = heartbeat.capacity_known
        if heartbeat.session:
            renewal = holder.Renewal(
                heartbeat.session,
                heartbeat.echo_ms,
                heartbeat.required,
                heartbeat.stalest_ms,
                heartbeat.returns_applied,
            )
            self.holder.renew(sender, renewal)
        self.slot_requester.update_offers(sender, heartbeat.free)
        return sends

    # Messages to other entry VMs.

    def tick(self) -> Sends:
        """Expire leases and peers, hand over endpoints and send heartbeats."""
        now_ms = self.clock.now_ms()
        self.keeper.tick()
        self.holder.tick()
        self.remove_stale_links()
        for gone in self.membership.expire_unresponsive(now_ms):
            self.directory.remove(gone)
        sends = self.handover.tick(now_ms)
        sends += self.announce_capacity()
        for link in self.holder.release_due(now_ms):
            self.reduce_demands(link)
        for contact in self.membership.pop_due_heartbeats(now_ms):
            sends += self.build_heartbeats(contact, now_ms)
        return [*sends, *self.forwarder.collect_overdue(now_ms)]

    def remove_stale_links(self) -> None:
        """Remove the links to ended runs of keepers once their leases have expired."""
        for keeper_id, link in list(self.holder.links.items()):
            if not link.lease.is_expired or keeper_id == self.me:
                continue
            if self.membership.contacts[keeper_id.name].process != keeper_id:
                self.holder.end_link(link)

    def build_heartbeats(self, contact: membership.Contact, now_ms: int) -> Sends:
        """Return a heartbeat and the messages that are sent with it."""
        name = contact.peer.name
        link = self.holder.links.get(contact.process) if contact.process else None
        session = self.keeper.sessions.get(contact.process) if contact.process else None
        sends: Sends = []
        if link is not None:
            self.reduce_demands(link)
            delta = self.holder.build_heartbeat_delta(link)
            sends += [delta] if delta is not None else []
        sends += self.forwarder.collect_pending(name, now_ms)
        sends += self.collect_usage_reports(contact)
        if contact.live and contact.capacity_known < self.keeper.capacity_version:
            sends.append(effects.Send(name, self.build_capacity()))
        in_use = link is not None and any(link.held.values())
        granted = session is not None and any(session.held.values())
        self.membership.set_has_leases(name, in_use or granted)
        return [
            effects.Send(name, self.build_heartbeat(contact, link, session)),
            *sends,
        ]

    def build_heartbeat(
        self,
        contact: membership.Contact,
        link: links.KeeperLink | None,
        session: kept.HolderSession | None,
    ) -> membership_messages.Heartbeat:
        """Build the heartbeat for one peer."""
        process = contact.process
        capacity_known = self.directory.versions.get(process, 0) if process else 0
        return membership_messages.Heartbeat(
            sequence=self.membership.next_sequence(contact),
            sent_ms=self.clock.now_ms(),
            receiver_incarnation=process.incarnation if process else 0,
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

    def collect_usage_reports(self, contact: membership.Contact) -> Sends:
        """Return the usage reports that a peer has not been sent."""
        if not contact.reports:
            return []
        fresh = tuple(contact.reports.values())
        contact.reports.clear()
        return [effects.Send(contact.peer.name, messages.UsageSeen(fresh))]

    def request_slots(self, service: str, backlog: int) -> None:
        """Request the slots that a backlog needs."""
        own_service = self.keeper.services.get(service)
        own_free = own_service.free if own_service is not None else 0
        if not self.slot_requester.needs_slots(service, backlog, own_free):
            return
        self.slot_requester.update_offers(self.me, keeper_reports.get_free(self.keeper))
        self.slot_requester.request_slots(service, backlog, self.get_demands)

    def reduce_demands(self, link: links.KeeperLink) -> None:
        """Reduce the demands sent to a keeper to what remains."""
        for service in [name for name, sent in link.sent_demands.items() if sent]:
            self.slot_requester.reduce_demand(link, service, self.get_demands(service))

    def announce_capacity(self) -> Sends:
        """Send the capacity kept here to all live peers, if it changed."""
        version = self.keeper.capacity_version
        if version == self.capacity_sent:
            return []
        self.capacity_sent = version
        capacity = self.build_capacity()
        self.directory.update(self.me, capacity, near=True)
        return [
            effects.Send(contact.peer.name, capacity)
            for contact in self.membership.contacts.values()
            if contact.live
        ]

    def build_capacity(self) -> messages.Capacity:
        """Build the message with the capacity kept here, by service."""
        services = keeper_reports.get_capacities(self.keeper, self.usage)
        return messages.Capacity(self.keeper.capacity_version, services)

    def collect_deltas(self) -> Sends:
        """Return the deltas to send now; those to this process are applied at once."""
        sends: Sends = []
        for _ in range(MAX_OWN_ROUNDS):
            deltas = [*self.holder.collect_deltas(), *self.keeper.collect_deltas()]
            if not deltas:
                break
            for send in deltas:
                if send.to != self.me.name:
                    sends.append(send)
                elif isinstance(send.message, messages.HolderDelta):
                    self.keeper.apply_delta(self.me, send.message)
                elif isinstance(send.message, messages.KeeperDelta):
                    self.holder.apply_delta(self.me, send.message)
        return sends

    def stop(self) -> Sends:
        """Stop as a keeper: peers take over, while leases held here continue."""
        self.stopping = True
        self.handover.stop()
        return [
            effects.Send(contact.peer.name, membership_messages.Stopping())
            for contact in self.membership.contacts.values()
        ]
