"""What a leader knows to be in force where."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, effects
from knapweedbeam_core.control import messages, spreading
from knapweedbeam_core.entry import parts

LOST_MS = 12_000
PUSH_FIRST_MS = 300
PUSH_LONGEST_MS = 5_000
FIRST_TOLD = 2
TABLE_MS = 4_000
REVISION_BITS = 32


@dataclasses.dataclass(slots=True)
class Row:
    """One entry VM: what it said last, and when to tell it again."""

    name: str
    domain: str
    version: int = 0
    heard_ms: int = -LOST_MS
    push_ms: int = 0
    wait_ms: int = PUSH_FIRST_MS
    table_ms: int = 0


class Table:
    """The leader's table; other nodes hold a copy in messages."""

    def __init__(
        self,
        spread: spreading.Spread,
        domain: str,
        peers: tuple[parts.Peer, ...],
        timer: clock.Clock,
    ) -> None:
        self.spread = spread
        self.domain = domain
        self.clock = timer
        self.rows = {peer.name: Row(peer.name, peer.domain) for peer in peers}
        self.copy = messages.NO_TABLE
        self.counter = 0
        self.lagging: set[str] = set()
        self.next_push_ms = 0

    @property
    def revision(self) -> int:
        """Return a number that differs with each change and each leader."""
        return (self.spread.leader.term << REVISION_BITS) + self.counter

    def hear(self, name: str) -> None:
        """Note that a process can be reached."""
        row = self.rows.get(name)
        if row is not None:
            row.heard_ms = self.clock.now_ms()

    def keep(self, held: messages.InForceTable) -> None:
        """Keep a copy of the leader's table."""
        self.copy = held
        self.spread.revision = held.revision

    def get_best(self, is_leader: bool) -> messages.InForceTable:
        """Return the leader's table, or this node's own while none is heard."""
        if is_leader or not self.copy.rows or not self.spread.has_leader():
            return self.build()
        return self.copy

    def note(self, name: str, version: int) -> None:
        """Note what a process has in force."""
        row = self.rows.get(name)
        if row is None:
            return
        if version != row.version:
            row.version = version
            self.counter += 1
        if version >= self.spread.version:
            self.lagging.discard(name)

    def start_push(self) -> parts.Effects:
        """Tell some entry VMs of each failure domain at once, others if need be."""
        now_ms = self.clock.now_ms()
        self.counter += 1
        self.next_push_ms = now_ms + PUSH_FIRST_MS
        told: dict[str, int] = {}
        names = []
        for row in self.rows.values():
            self.lagging.add(row.name)
            row.wait_ms = PUSH_FIRST_MS
            row.push_ms = now_ms + PUSH_FIRST_MS
            told[row.domain] = told.get(row.domain, 0) + 1
            if told[row.domain] <= FIRST_TOLD:
                names.append(row.name)
        return self.spread.notify(names)

    def push_again(self) -> parts.Effects:
        """Tell those that did not acknowledge, with growing pauses."""
        now_ms = self.clock.now_ms()
        if not self.lagging or now_ms < self.next_push_ms:
            return []
        due = []
        for name in self.lagging:
            row = self.rows[name]
            if now_ms >= row.push_ms:
                row.wait_ms = min(2 * row.wait_ms, PUSH_LONGEST_MS)
                row.push_ms = now_ms + row.wait_ms
                due.append(name)
        self.next_push_ms = min(self.rows[name].push_ms for name in self.lagging)
        return self.spread.notify(sorted(due))

    def get_spread_version(self) -> int:
        """Return the version that every entry VM heard of lately has in force."""
        oldest_ms = self.clock.now_ms() - LOST_MS
        versions = [
            row.version for row in self.rows.values() if row.heard_ms > oldest_ms
        ]
        return min([self.spread.version, *versions])

    def get_settled(self) -> int:
        """Return the version that every entry VM has in force."""
        versions = [row.version for row in self.rows.values()]
        return min([self.spread.version, *versions])

    def build(self) -> messages.InForceTable:
        """Return the leader's table."""
        rows = [messages.InForceRow(self.spread.me.name, self.spread.version)]
        rows += [
            messages.InForceRow(row.name, row.version) for row in self.rows.values()
        ]
        ordered = tuple(sorted(rows, key=get_name))
        return messages.InForceTable(self.revision, ordered, self.get_unreachable())

    def get_unreachable(self) -> tuple[str, ...]:
        """Return the failure domains that nothing was heard of lately."""
        oldest_ms = self.clock.now_ms() - LOST_MS
        domains = {row.domain for row in self.rows.values()}
        heard = {row.domain for row in self.rows.values() if row.heard_ms > oldest_ms}
        return tuple(sorted(domains - heard - {self.domain}))

    def answer(self, name: str, revision: int) -> parts.Effects:
        """Send the table to a node that holds another one, now and then."""
        row = self.rows.get(name)
        now_ms = self.clock.now_ms()
        if row is None or revision == self.revision or now_ms < row.table_ms:
            return []
        row.table_ms = now_ms + TABLE_MS
        return [effects.Send(name, self.build())]


def get_name(row: messages.InForceRow) -> str:
    """Return what rows are ordered by."""
    return row.name
