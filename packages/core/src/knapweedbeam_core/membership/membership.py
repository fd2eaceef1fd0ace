"""Who is alive: heartbeats to every entry VM, and their absence."""

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
    """Another entry VM, as far as it was heard.

    `known` is its latest run, none before it was ever heard; `engaged` says
    that slots are leased either way, so its heartbeats are frequent.
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
        """Say whether heartbeats go at the short interval."""
        return self.near or self.has_leases

    def get_heartbeat_ms(self) -> int:
        """Return the time between heartbeats."""
        return SHORT_HEARTBEAT_MS if self.is_frequent else LONG_HEARTBEAT_MS

    def get_timeout_ms(self) -> int:
        """Return after how long without a word it counts as dead."""
        return LOCAL_TIMEOUT_MS if self.near else REMOTE_TIMEOUT_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What a word from a peer, or silence, changed."""

    arrived: ids.ProcessId | None = None
    gone: ids.ProcessId | None = None


NO_CHANGE = Change()
MAX_ENDED_INCARNATIONS = 4_096


class Membership:
    """The other entry VMs and which of them are alive."""

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
        """Work out who is live after a change."""
        self.epoch += 1
        names = {self.domain: [self.me.name]}
        for contact in self.contacts.values():
            if contact.live:
                names.setdefault(contact.peer.domain, []).append(contact.peer.name)
        self.live_names = {domain: tuple(sorted(n)) for domain, n in names.items()}
        near = (c.process for c in self.contacts.values() if c.near and c.live)
        self.live = frozenset((self.me, *(known for known in near if known)))

    def get_names(self, domain: str) -> tuple[str, ...]:
        """Return the names of the live entry VMs of a failure domain."""
        return self.live_names.get(domain, ())

    def get_live(self) -> frozenset[ids.ProcessId]:
        """Return the live entry VMs of this failure domain."""
        return self.live

    def get_process(self, name: str) -> ids.ProcessId | None:
        """Return the live run under a name."""
        if name == self.me.name:
            return self.me
        contact = self.contacts.get(name)
        return contact.process if contact is not None and contact.live else None

    def is_near(self, process: ids.ProcessId) -> bool:
        """Say whether a process is in this failure domain."""
        contact = self.contacts.get(process.name)
        return contact.near if contact is not None else process == self.me

    def record_contact(self, sender: ids.ProcessId) -> Change | None:
        """Take any word from a peer; none when an ended run or a stranger spoke."""
        contact = self.contacts.get(sender.name)
        if contact is None or sender.incarnation in contact.ended_incarnations:
            return None
        contact.last_contact_ms = self.clock.now_ms()
        known = contact.process
        if known == sender:
            if contact.live or contact.is_stopping:
                return NO_CHANGE
            contact.live = True
            self.rebuild()
            return Change(arrived=sender)
        self.replace_process(contact, sender)
        return Change(arrived=sender, gone=known)

    def replace_process(self, contact: Contact, sender: ids.ProcessId) -> None:
        """Know a new run, which ends the earlier one."""
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
        """Count a peer that stops as live no longer; its leases go on."""
        contact = self.contacts[sender.name]
        contact.is_stopping = True
        contact.live = False
        self.rebuild()
        return Change(gone=sender)

    def expire_unresponsive(self, now_ms: int) -> list[ids.ProcessId]:
        """Return and bury the peers that were not heard for too long."""
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
        """Return the peers whose heartbeat is due, and set their next one."""
        due = []
        for contact in self.contacts.values():
            if contact.next_heartbeat_ms <= now_ms:
                contact.next_heartbeat_ms = now_ms + contact.get_heartbeat_ms()
                due.append(contact)
        return due

    def set_has_leases(self, name: str, has_leases: bool) -> None:
        """Have heartbeats with a peer go often while slots are leased."""
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
        """Take a heartbeat; none when a later one was taken already."""
        contact = self.contacts[sender.name]
        if heartbeat.sequence <= contact.received_sequence:
            return None
        contact.received_sequence = heartbeat.sequence
        contact.echo_ms = heartbeat.sent_ms
        return contact

    def next_sequence(self, contact: Contact) -> int:
        """Return the number of the next heartbeat."""
        contact.sent_sequence += 1
        return contact.sent_sequence
