"""The leader's table of the bundle versions in force at each entry VM."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, effects
from knapweedbeam_core.control import distribution, messages
from knapweedbeam_core.entry import parts

UNRESPONSIVE_MS = 12_000
MIN_NOTICE_INTERVAL_MS = 300
MAX_NOTICE_INTERVAL_MS = 5_000
NOTIFIED_PER_DOMAIN = 2
TABLE_INTERVAL_MS = 4_000
REVISION_BITS = 32


@dataclasses.dataclass(slots=True)
class Row:
    """One entry VM: the version it last reported, and when to notify it again."""

    name: str
    domain: str
    version: int = 0
    last_contact_ms: int = -UNRESPONSIVE_MS
    next_notice_ms: int = 0
    notice_interval_ms: int = MIN_NOTICE_INTERVAL_MS
    next_table_ms: int = 0


class VersionTable:
    """The leader's table of versions; other nodes hold a copy of it."""

    def __init__(
        self,
        distributor: distribution.BundleDistributor,
        domain: str,
        peers: tuple[parts.Peer, ...],
        timer: clock.Clock,
    ) -> None:
        self.distributor = distributor
        self.domain = domain
        self.clock = timer
        self.rows = {peer.name: Row(peer.name, peer.domain) for peer in peers}
        self.leader_copy = messages.NO_TABLE
        self.counter = 0
        self.lagging: set[str] = set()
        self.next_push_ms = 0

    @property
    def revision(self) -> int:
        """Return a number that differs with each change and each leader."""
        return (self.distributor.leader.term << REVISION_BITS) + self.counter

    def record_contact(self, name: str) -> None:
        """Record a contact with a process."""
        row = self.rows.get(name)
        if row is not None:
            row.last_contact_ms = self.clock.now_ms()

    def store_copy(self, table: messages.InForceTable) -> None:
        """Store a copy of the leader's table."""
        self.leader_copy = table
        self.distributor.revision = table.revision

    def get_latest(self, is_leader: bool) -> messages.InForceTable:
        """Return the leader's table, or this node's own without a responsive leader."""
        if is_leader or not self.leader_copy.rows or not self.distributor.has_leader():
            return self.build()
        return self.leader_copy

    def record_version(self, name: str, version: int) -> None:
        """Record the version that a process has in force."""
        row = self.rows.get(name)
        if row is None:
            return
        if version != row.version:
            row.version = version
            self.counter += 1
        if version >= self.distributor.version:
            self.lagging.discard(name)

    def start_push(self) -> parts.Effects:
        """Notify some entry VMs of each failure domain of a new bundle.

        They notify the others of their domain; `push_again` covers the rest.
        """
        now_ms = self.clock.now_ms()
        self.counter += 1
        self.next_push_ms = now_ms + MIN_NOTICE_INTERVAL_MS
        notified: dict[str, int] = {}
        names = []
        for row in self.rows.values():
            self.lagging.add(row.name)
            row.notice_interval_ms = MIN_NOTICE_INTERVAL_MS
            row.next_notice_ms = now_ms + MIN_NOTICE_INTERVAL_MS
            notified[row.domain] = notified.get(row.domain, 0) + 1
            if notified[row.domain] <= NOTIFIED_PER_DOMAIN:
                names.append(row.name)
        return self.distributor.notify(names)

    def push_again(self) -> parts.Effects:
        """Notify entry VMs that did not acknowledge, with growing intervals."""
        now_ms = self.clock.now_ms()
        if not self.lagging or now_ms < self.next_push_ms:
            return []
        due = []
        for name in self.lagging:
            row = self.rows[name]
            if now_ms >= row.next_notice_ms:
                row.notice_interval_ms = min(
                    2 * row.notice_interval_ms, MAX_NOTICE_INTERVAL_MS
                )
                row.next_notice_ms = now_ms + row.notice_interval_ms
                due.append(name)
        self.next_push_ms = min(self.rows[name].next_notice_ms for name in self.lagging)
        return self.distributor.notify(sorted(due))

    def get_distributed_version(self) -> int:
        """Return the oldest version in force at the entry VMs with a recent contact."""
        oldest_ms = self.clock.now_ms() - UNRESPONSIVE_MS
        versions = [
            row.version for row in self.rows.values() if row.last_contact_ms > oldest_ms
        ]
        return min([self.distributor.version, *versions])

    def get_settled_version(self) -> int:
        """Return the oldest version in force, counting unresponsive entry VMs too."""
        versions = [row.version for row in self.rows.values()]
        return min([self.distributor.version, *versions])

    def build(self) -> messages.InForceTable:
        """Return the table as a message."""
        rows = [messages.InForceRow(self.distributor.me.name, self.distributor.version)]
        rows += [
            messages.InForceRow(row.name, row.version) for row in self.rows.values()
        ]
        ordered = tuple(sorted(rows, key=get_name))
        return messages.InForceTable(self.revision, ordered, self.get_unreachable())

    def get_unreachable(self) -> tuple[str, ...]:
        """Return the failure domains without a recent contact to any entry VM."""
        oldest_ms = self.clock.now_ms() - UNRESPONSIVE_MS
        domains = {row.domain for row in self.rows.values()}
        reachable = {
            row.domain for row in self.rows.values() if row.last_contact_ms > oldest_ms
        }
        return tuple(sorted(domains - reachable - {self.domain}))

    def send_if_changed(self, name: str, revision: int) -> parts.Effects:
        """Send the table to a node that has another revision.

        Each node gets it at most every `TABLE_INTERVAL_MS`.
        """
        row = self.rows.get(name)
        now_ms = self.clock.now_ms()
        if row is None or revision == self.revision or now_ms < row.next_table_ms:
            return []
        row.next_table_ms = now_ms + TABLE_INTERVAL_MS
        return [effects.Send(name, self.build())]


def get_name(row: messages.InForceRow) -> str:
    """Return the process name of a row, as sort key."""
    return row.name
