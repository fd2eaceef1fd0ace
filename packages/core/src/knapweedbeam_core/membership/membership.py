"""Failure detection by heartbeats between entry VMs."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.membership import messages

SHORT_HEARTBEAT_MS = 400
LONG_HEARTBEAT_MS = 4_000
LOCAL_TIMEOUT_MS = 1_100
REMOTE_TIMEOUT_MS = 10_000


@dataclasses.dataclass(slots=True, eq=False)
class Contact:
    """The state of another entry VM.

    `process` is its latest incarnation, None before the first contact.
    `near` says that it is in the same failure domain. `has_leases` says that
    slots are leased in either direction, which makes heartbeats frequent.
    `reports` holds usage reports to send with the next heartbeat.
    """

    peer: parts.Peer
    near: bool
    process: ids.ProcessId | None = None
    live: bool = False
    has_leases: bool = False
    last_contact_ms: int = 0
    next_heartbeat_ms: int = 0
    sent_sequence: int = 0
    received_sequence: int = 0
    echo_ms: int = 0
    is_stopping: bool = False
    capacity_known: int = 0
    reports: dict[str, parts.UsageReport] = dataclasses.field(default_factory=dict)
    ended_incarnations: set[int] = dataclasses.field(default_factory=set)

    @property
    def is_frequent(self) -> bool:
        """Return whether heartbeats are sent at the short interval."""
        return self.near or self.has_leases

    def get_heartbeat_ms(self) -> int:
        """Return the interval between heartbeats."""
        return SHORT_HEARTBEAT_MS if self.is_frequent else LONG_HEARTBEAT_MS

    def get_timeout_ms(self) -> int:
        """Return how long after its last message it is considered dead."""
        return LOCAL_TIMEOUT_MS if self.near else REMOTE_TIMEOUT_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The processes that became live and that are gone, if any."""

    arrived: ids.ProcessId | None = None
    gone: ids.ProcessId | None = None


NO_CHANGE = Change()
MAX_ENDED_INCARNATIONS = 4_096


class Membership:
    """The other entry VMs, and which of them are live."""

    def __init__(
        self,
        me: ids.ProcessId,
        domain: str,
        peers: tuple[parts.Peer, ...],
        clock: clock.Clock,
    ) -> None:
        self.me = me
        self.domain = domain
        self.clock = clock
        self.contacts = {
            peer.name: Contact(peer, peer.domain == domain)
            for peer in peers
            if peer.name != me.name
        }
        self.epoch = 0
        self.live_names: dict[str, tuple[str, ...]] = {}
        self.live: frozenset[ids.ProcessId] = frozenset()
        self.rebuild()

    def rebuild(self) -> None:
        """Recalculate the live entry VMs after a change."""
        self.epoch += 1
        names = {self.domain: [self.me.name]}
        for contact in self.contacts.values():
            if contact.live:
                names.setdefault(contact.peer.domain, []).append(contact.peer.name)
        self.live_names = {domain: tuple(sorted(n)) for domain, n in names.items()}
        near = (c.process for c in self.contacts.values() if c.near and c.live)
        self.live = frozenset((self.me, *(process for process in near if process)))

    def get_names(self, domain: str) -> tuple[str, ...]:
        """Return the names of the live entry VMs of a failure domain."""
        return self.live_names.get(domain, ())

    def get_live(self) -> frozenset[ids.ProcessId]:
        """Return the live entry VMs of this failure domain."""
        return self.live

    def get_process(self, name: str) -> ids.ProcessId | None:
        """Return the live incarnation of the entry VM `name`, or None."""
        if name == self.me.name:
            return self.me
        contact = self.contacts.get(name)
        return contact.process if contact is not None and contact.live else None

    def is_near(self, process: ids.ProcessId) -> bool:
        """Return whether a process is in this failure domain."""
        contact = self.contacts.get(process.name)
        return contact.near if contact is not None else process == self.me

    def record_contact(self, sender: ids.ProcessId) -> Change | None:
        """Record a message from a peer; return None if it must be ignored.

        Messages of unknown processes and of ended incarnations are ignored.
        """
        contact = self.contacts.get(sender.name)
        if contact is None or sender.incarnation in contact.ended_incarnations:
            return None
        contact.last_contact_ms = self.clock.now_ms()
        process = contact.process
        if process == sender:
            if contact.live or contact.is_stopping:
                return NO_CHANGE
            contact.live = True
            self.rebuild()
            return Change(arrived=sender)
        self.replace_process(contact, sender)
        return Change(arrived=sender, gone=process)

    def replace_process(self, contact: Contact, sender: ids.ProcessId) -> None:
        """Record a new incarnation of a peer, which ends the earlier one."""
        if contact.process is not None:
            if len(contact.ended_incarnations) >= MAX_ENDED_INCARNATIONS:
                contact.ended_incarnations.clear()
            contact.ended_incarnations.add(contact.process.incarnation)
        contact.process = sender
        contact.live = True
        contact.received_sequence = 0
        contact.echo_ms = 0
        contact.is_stopping = False
        contact.capacity_known = 0
        contact.reports.clear()
        contact.next_heartbeat_ms = 0
        self.rebuild()

    def record_stop(self, sender: ids.ProcessId) -> Change:
        """Mark a stopping peer as no longer live; its leases stay valid."""
        contact = self.contacts[sender.name]
        contact.is_stopping = True
        contact.live = False
        self.rebuild()
        return Change(gone=sender)

    def expire_unresponsive(self, now_ms: int) -> list[ids.ProcessId]:
        """Mark peers as dead whose last message is too old, and return them."""
        gone = []
        for contact in self.contacts.values():
            if (
                contact.live
                and now_ms - contact.last_contact_ms > contact.get_timeout_ms()
            ):
                contact.live = False
                if contact.process is not None:
                    gone.append(contact.process)
        if gone:
            self.rebuild()
        return gone

    def pop_due_heartbeats(self, now_ms: int) -> list[Contact]:
        """Return the peers whose heartbeat is due, and schedule the next one."""
        due = []
        for contact in self.contacts.values():
            if contact.next_heartbeat_ms <= now_ms:
                contact.next_heartbeat_ms = now_ms + contact.get_heartbeat_ms()
                due.append(contact)
        return due

    def set_has_leases(self, name: str, has_leases: bool) -> None:
        """Set whether slots are leased from or to a peer.

        While they are, heartbeats are sent at the short interval.
        """
        contact = self.contacts.get(name)
        if contact is None or contact.has_leases == has_leases:
            return
        contact.has_leases = has_leases
        if has_leases:
            now_ms = self.clock.now_ms()
            contact.next_heartbeat_ms = min(
                contact.next_heartbeat_ms, now_ms + SHORT_HEARTBEAT_MS
            )

    def record_heartbeat(
        self, sender: ids.ProcessId, heartbeat: messages.Heartbeat
    ) -> Contact | None:
        """Record a heartbeat; return None if it or a later one was received before."""
        contact = self.contacts[sender.name]
        if heartbeat.sequence <= contact.received_sequence:
            return None
        contact.received_sequence = heartbeat.sequence
        contact.echo_ms = heartbeat.sent_ms
        return contact

    def next_sequence(self, contact: Contact) -> int:
        """Return the sequence number of the next heartbeat to a peer."""
        contact.sent_sequence += 1
        return contact.sent_sequence
