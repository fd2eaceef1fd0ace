"""A replica's own state: in memory at once, on disk when a batch is synced."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

from knapweedbeam_core.entry import parts
from knapweedbeam_core.log import entries, members, records

TRAILING_ENTRIES = 16
MIN_COMPACT_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True)
class Batch:
    """Records on their way to the disk, and what may happen once they are there."""

    number: int
    last_index: int
    last_term: int
    term: int
    committed: int
    held: parts.Effects


class WriteAheadLog:
    """The term, the vote, the entries and the snapshot of one replica.

    A volatile journal counts everything as synced at once.
    """

    def __init__(
        self,
        restored: records.RestoredState,
        volatile: bool,
        compact_bytes: int = MIN_COMPACT_BYTES,
    ) -> None:
        self.volatile = volatile
        self.compact_bytes = compact_bytes
        self.term = 0
        self.vote: members.ReplicaId | None = None
        self.founded = members.Members()
        self.snapshot: records.Snapshot | None = None
        self.snapshot_bytes = b""
        self.entries = entries.Entries()
        self.groups: list[tuple[int, members.Members]] = []
        self.batches: collections.deque[Batch] = collections.deque()
        self.next_batch = 1
        self.log_bytes = 0
        self.committed = 0
        self.restore(restored)
        self.synced_term = self.term
        self.synced_index = self.entries.last_index
        self.synced_committed = self.committed

    def restore(self, restored: records.RestoredState) -> None:
        """Take what the data folder holds."""
        if restored.snapshot:
            self.set_snapshot(records.SNAPSHOT_DECODER.decode(restored.snapshot))
            self.snapshot_bytes = restored.snapshot
        for data in restored.records:
            self.log_bytes += len(data)
            self.take_record(records.decode_record(data))

    def take_record(self, record: records.Record) -> None:
        """Take one restored record."""
        match record:
            case records.HardState():
                self.term = record.term
                self.vote = record.vote
            case records.Founded():
                self.founded = record.group
            case records.Committed():
                self.committed = record.index
            case records.Entry():
                self.add_entry(record)

    def set_snapshot(self, snapshot: records.Snapshot) -> None:
        """Start the log after a snapshot."""
        self.snapshot = snapshot
        self.entries = entries.Entries(snapshot.index, snapshot.term)
        self.groups = [(snapshot.index, snapshot.group)]
        self.committed = max(self.committed, snapshot.index)

    @property
    def latest_members(self) -> members.Members:
        """Return the newest members, committed or not."""
        return self.groups[-1][1] if self.groups else self.founded

    @property
    def latest_members_index(self) -> int:
        """Return the index of the entry that holds the newest members."""
        return self.groups[-1][0] if self.groups else 0

    def get_group_at(self, index: int) -> members.Members:
        """Return the members as of an entry."""
        for place, group in reversed(self.groups):
            if place <= index:
                return group
        return self.founded

    def add_entry(self, entry: records.Entry) -> None:
        """Add an entry, in place of what stood at its index and after."""
        while self.groups and self.groups[-1][0] >= entry.index:
            self.groups.pop()
        self.entries.append(entry)
        if entry.kind == records.EntryKind.MEMBERS:
            group = records.MEMBERS_DECODER.decode(entry.data)
            self.groups.append((entry.index, group))

    def set_term(self, term: int, vote: members.ReplicaId | None) -> bytes:
        """Enter a term or vote in it; return the record to write."""
        self.term = term
        self.vote = vote
        return records.encode(records.HardState(term, vote))

    def append(self, added: collections.abc.Sequence[records.Entry]) -> list[bytes]:
        """Add entries; return the records to write."""
        for entry in added:
            if entry.index <= self.entries.last_index:
                self.forget_synced(entry.index - 1)
            self.add_entry(entry)
        return [records.encode(entry) for entry in added]

    def forget_synced(self, index: int) -> None:
        """Count nothing after `index` as synced, batches under way included."""
        self.synced_index = min(self.synced_index, index)
        for batch in self.batches:
            if batch.last_index > index:
                batch.last_index = index
                batch.last_term = self.entries.get_term(index) or 0

    def write(
        self, written: list[bytes], held: parts.Effects, truncate_from: int = 0
    ) -> parts.Effects:
        """Send records to the disk; `held` is returned once they are synced."""
        self.log_bytes += sum(len(data) for data in written)
        batch = self.add_batch(held)
        return self.persist(parts.Persist(batch, tuple(written), truncate_from))

    def add_batch(self, held: parts.Effects) -> int:
        """Note what the next batch makes true once it is synced."""
        number = self.next_batch
        self.next_batch += 1
        last = self.entries
        self.batches.append(
            Batch(
                number, last.last_index, last.last_term, self.term, self.committed, held
            )
        )
        return number

    def persist(self, persist: parts.Persist) -> parts.Effects:
        """Return the effect, or what it holds when nothing is kept on disk."""
        if self.volatile:
            return self.complete_batches(persist.batch)
        return [persist]

    def complete_batches(self, number: int) -> parts.Effects:
        """Take batches up to `number` as synced; return what they held."""
        released: parts.Effects = []
        while self.batches and self.batches[0].number <= number:
            batch = self.batches.popleft()
            self.synced_term = batch.term
            self.synced_committed = max(self.synced_committed, batch.committed)
            if self.entries.get_term(batch.last_index) == batch.last_term:
                self.synced_index = max(self.synced_index, batch.last_index)
            released += batch.held
        return released

    def hold(self, index: int, effects: parts.Effects) -> parts.Effects:
        """Return effects at once when `index` and the term are synced, else later."""
        is_synced = self.synced_index >= index and self.synced_term == self.term
        if is_synced or not self.batches:
            return effects
        self.batches[-1].held += effects
        return []

    def is_compaction_due(self) -> bool:
        """Say whether the entries outgrew the snapshot."""
        return self.log_bytes > max(self.compact_bytes, len(self.snapshot_bytes))

    def compact(self, index: int, state: bytes) -> parts.Effects:
        """Put a snapshot of the state after `index` in place of the entries."""
        term = self.entries.get_term(index)
        assert term is not None
        group = self.get_group_at(index)
        self.snapshot = records.Snapshot(index, term, group, state)
        self.groups = [(index, group), *(g for g in self.groups if g[0] > index)]
        self.entries.compact(index - TRAILING_ENTRIES)
        return self.write_snapshot([])

    def install(self, snapshot_bytes: bytes, held: parts.Effects) -> parts.Effects:
        """Take a leader's snapshot in place of the whole log."""
        self.set_snapshot(records.SNAPSHOT_DECODER.decode(snapshot_bytes))
        self.synced_index = 0
        return self.write_snapshot(held)

    def write_snapshot(self, held: parts.Effects) -> parts.Effects:
        """Send the snapshot and all that follows it to the disk."""
        assert self.snapshot is not None
        self.snapshot_bytes = records.encode(self.snapshot)
        kept = self.entries.get_after(self.snapshot.index)
        written = [
            records.encode(records.HardState(self.term, self.vote)),
            records.encode(records.Committed(self.committed)),
            *(records.encode(entry) for entry in kept),
        ]
        self.log_bytes = sum(len(data) for data in written)
        batch = self.add_batch(held)
        return self.persist(
            parts.Persist(
                batch,
                tuple(written),
                snapshot=self.snapshot_bytes,
                snapshot_index=self.snapshot.index,
            )
        )
