"""Who is alive: heartbeats to every entry VM, and their absence."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, ids
from knapweedbeam_core.entry import parts
from knapweedbeam_core.membership import messages

NEAR_BEAT_MS = 400
FAR_BEAT_MS = 4_000
NEAR_SILENT_MS = 1_100
FAR_SILENT_MS = 10_000


@dataclasses.dataclass(slots=True, eq=False)
class Contact:
    """Another entry VM, as far as it was heard.

    `known` is its latest run, none before it was ever heard; `engaged` says
    that slots are leased either way, so its heartbeats are frequent.
    """

    peer: parts.Peer
    near: bool
    known: ids.ProcessId | None = None
    live: bool = False
    engaged: bool = False
    heard_ms: int = 0
    next_beat_ms: int = 0
    sequence: int = 0
    taken: int = 0
    echo_ms: int = 0
    stopping: bool = False
    capacity_known: int = 0
    reports: dict[str, parts.UsageReport] = dataclasses.field(default_factory=dict)
    retired: set[int] = dataclasses.field(default_factory=set)

    @property
    def is_frequent(self) -> bool:
        """Say whether heartbeats go at the short interval."""
        return self.near or self.engaged

    def get_beat_ms(self) -> int:
        """Return the time between heartbeats."""
        return NEAR_BEAT_MS if self.is_frequent else FAR_BEAT_MS

    def get_silent_ms(self) -> int:
        """Return after how long without a word it counts as dead."""
        return NEAR_SILENT_MS if self.near else FAR_SILENT_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What a word from a peer, or silence, changed."""

    arrived: ids.ProcessId | None = None
    gone: ids.ProcessId | None = None


NO_CHANGE = Change()
MAX_RETIRED = 4_096


class Roster:
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
        self.names: dict[str, tuple[str, ...]] = {}
        self.live: frozenset[ids.ProcessId] = frozenset()
        self.rebuild()

    def rebuild(self) -> None:
        """Work out who is live after a change."""
        self.epoch += 1
        names = {self.domain: [self.me.name]}
        for contact in self.contacts.values():
            if contact.live:
                names.setdefault(contact.peer.domain, []).append(contact.peer.name)
        self.names = {domain: tuple(sorted(n)) for domain, n in names.items()}
        near = (c.known for c in self.contacts.values() if c.near and c.live)
        self.live = frozenset((self.me, *(known for known in near if known)))

    def get_names(self, domain: str) -> tuple[str, ...]:
        """Return the names of the live entry VMs of a failure domain."""
        return self.names.get(domain, ())

    def get_live(self) -> frozenset[ids.ProcessId]:
        """Return the live entry VMs of this failure domain."""
        return self.live

    def get_process(self, name: str) -> ids.ProcessId | None:
        """Return the live run under a name."""
        if name == self.me.name:
            return self.me
        contact = self.contacts.get(name)
        return contact.known if contact is not None and contact.live else None

    def is_near(self, process: ids.ProcessId) -> bool:
        """Say whether a process is in this failure domain."""
        contact = self.contacts.get(process.name)
        return contact.near if contact is not None else process == self.me

    def hear(self, sender: ids.ProcessId) -> Change | None:
        """Take any word from a peer; none when an ended run or a stranger spoke."""
        contact = self.contacts.get(sender.name)
        if contact is None or sender.incarnation in contact.retired:
            return None
        contact.heard_ms = self.clock.now_ms()
        known = contact.known
        if known == sender:
            if contact.live or contact.stopping:
                return NO_CHANGE
            contact.live = True
            self.rebuild()
            return Change(arrived=sender)
        self.replace(contact, sender)
        return Change(arrived=sender, gone=known)

    def replace(self, contact: Contact, sender: ids.ProcessId) -> None:
        """Know a new run, which ends the earlier one."""
        if contact.known is not None:
            if len(contact.retired) >= MAX_RETIRED:
                contact.retired.clear()
            contact.retired.add(contact.known.incarnation)
        contact.known = sender
        contact.live = True
        contact.taken = 0
        contact.echo_ms = 0
        contact.stopping = False
        contact.capacity_known = 0
        contact.reports.clear()
        contact.next_beat_ms = 0
        self.rebuild()

    def stop(self, sender: ids.ProcessId) -> Change:
        """Count a peer that stops as live no longer; its leases go on."""
        contact = self.contacts[sender.name]
        contact.stopping = True
        contact.live = False
        self.rebuild()
        return Change(gone=sender)

    def find_silent(self, now_ms: int) -> list[ids.ProcessId]:
        """Return and bury the peers that were not heard for too long."""
        gone = []
        for contact in self.contacts.values():
            if contact.live and now_ms - contact.heard_ms > contact.get_silent_ms():
                contact.live = False
                if contact.known is not None:
                    gone.append(contact.known)
        if gone:
            self.rebuild()
        return gone

    def get_due(self, now_ms: int) -> list[Contact]:
        """Return the peers whose heartbeat is due, and set their next one."""
        due = []
        for contact in self.contacts.values():
            if contact.next_beat_ms <= now_ms:
                contact.next_beat_ms = now_ms + contact.get_beat_ms()
                due.append(contact)
        return due

    def engage(self, name: str, engaged: bool) -> None:
        """Have heartbeats with a peer go often while slots are leased."""
        contact = self.contacts.get(name)
        if contact is None or contact.engaged == engaged:
            return
        contact.engaged = engaged
        if engaged:
            now_ms = self.clock.now_ms()
            contact.next_beat_ms = min(contact.next_beat_ms, now_ms + NEAR_BEAT_MS)

    def take_beat(
        self, sender: ids.ProcessId, beat: messages.Heartbeat
    ) -> Contact | None:
        """Take a heartbeat; none when a later one was taken already."""
        contact = self.contacts[sender.name]
        if beat.sequence <= contact.taken:
            return None
        contact.taken = beat.sequence
        contact.echo_ms = beat.sent_ms
        return contact

    def number_beat(self, contact: Contact) -> int:
        """Return the number of the next heartbeat."""
        contact.sequence += 1
        return contact.sequence
