"""A replica's write-ahead log: changed in memory at once, on disk after a sync."""

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
    """Records being written to disk, and the effects deferred until they are synced."""

    number: int
    last_index: int
    last_term: int
    term: int
    committed: int
    deferred: parts.Effects


class WriteAheadLog:
    """The term, vote, entries and snapshot of one replica.

    A volatile write-ahead log is not written to disk: everything counts as synced at
    once.
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
        self.initial_members = members.Members()
        self.snapshot: records.Snapshot | None = None
        self.snapshot_bytes = b""
        self.entries = entries.Entries()
        self.member_changes: list[tuple[int, members.Members]] = []
        self.batches: collections.deque[Batch] = collections.deque()
        self.next_batch = 1
        self.log_bytes = 0
        self.committed = 0
        self.restore(restored)
        self.synced_term = self.term
        self.synced_index = self.entries.last_index
        self.synced_committed = self.committed

    def restore(self, restored: records.RestoredState) -> None:
        """Load the contents of the data folder."""
        if restored.snapshot:
            self.set_snapshot(records.SNAPSHOT_DECODER.decode(restored.snapshot))
            self.snapshot_bytes = restored.snapshot
        for data in restored.records:
            self.log_bytes += len(data)
            self.restore_record(records.decode_record(data))

    def restore_record(self, record: records.Record) -> None:
        """Apply one record read from the data folder."""
        match record:
            case records.HardState():
                self.term = record.term
                self.vote = record.vote
            case records.Founded():
                self.initial_members = record.group
            case records.Committed():
                self.committed = record.index
            case records.Entry():
                self.add_entry(record)

    def set_snapshot(self, snapshot: records.Snapshot) -> None:
        """Replace all entries by a snapshot."""
        self.snapshot = snapshot
        self.entries = entries.Entries(snapshot.index, snapshot.term)
        self.member_changes = [(snapshot.index, snapshot.group)]
        self.committed = max(self.committed, snapshot.index)

    @property
    def latest_members(self) -> members.Members:
        """Return the newest members, whether or not they are committed."""
        return (
            self.member_changes[-1][1] if self.member_changes else self.initial_members
        )

    @property
    def latest_members_index(self) -> int:
        """Return the index of the entry that holds the newest members."""
        return self.member_changes[-1][0] if self.member_changes else 0

    def get_members_at(self, index: int) -> members.Members:
        """Return the members as of the entry at `index`."""
        for entry_index, member_set in reversed(self.member_changes):
            if entry_index <= index:
                return member_set
        return self.initial_members

    def add_entry(self, entry: records.Entry) -> None:
        """Add an entry in memory, replacing those at its index and after."""
        while self.member_changes and self.member_changes[-1][0] >= entry.index:
            self.member_changes.pop()
        self.entries.append(entry)
        if entry.kind == records.EntryKind.MEMBERS:
            member_set = records.MEMBERS_DECODER.decode(entry.data)
            self.member_changes.append((entry.index, member_set))

    def set_term(self, term: int, vote: members.ReplicaId | None) -> bytes:
        """Set the term and the vote in it; return the record to write."""
        self.term = term
        self.vote = vote
        return records.encode(records.HardState(term, vote))

    def append(self, added: collections.abc.Sequence[records.Entry]) -> list[bytes]:
        """Add entries in memory; return the records to write."""
        for entry in added:
            if entry.index <= self.entries.last_index:
                self.lower_synced_index(entry.index - 1)
            self.add_entry(entry)
        return [records.encode(entry) for entry in added]

    def lower_synced_index(self, index: int) -> None:
        """Count no entry after `index` as synced, also once pending batches are."""
        self.synced_index = min(self.synced_index, index)
        for batch in self.batches:
            if batch.last_index > index:
                batch.last_index = index
                batch.last_term = self.entries.get_term(index) or 0

    def write(
        self, new_records: list[bytes], deferred: parts.Effects, truncate_from: int = 0
    ) -> parts.Effects:
        """Write records to disk; `deferred` is returned once they are synced."""
        self.log_bytes += sum(len(data) for data in new_records)
        batch = self.track_batch(deferred)
        return self.persist(parts.Persist(batch, tuple(new_records), truncate_from))

    def track_batch(self, deferred: parts.Effects) -> int:
        """Record what is synced with the next batch; return the batch's number."""
        number = self.next_batch
        self.next_batch += 1
        log_entries = self.entries
        self.batches.append(
            Batch(
                number,
                log_entries.last_index,
                log_entries.last_term,
                self.term,
                self.committed,
                deferred,
            )
        )
        return number

    def persist(self, persist: parts.Persist) -> parts.Effects:
        """Return the effect, or what it defers if the write-ahead log is volatile."""
        if self.volatile:
            return self.complete_batches(persist.batch)
        return [persist]

    def complete_batches(self, number: int) -> parts.Effects:
        """Mark batches up to `number` as synced; return their deferred effects."""
        released: parts.Effects = []
        while self.batches and self.batches[0].number <= number:
            batch = self.batches.popleft()
            self.synced_term = batch.term
            self.synced_committed = max(self.synced_committed, batch.committed)
            if self.entries.get_term(batch.last_index) == batch.last_term:
                self.synced_index = max(self.synced_index, batch.last_index)
            released += batch.deferred
        return released

    def defer_until_synced(self, index: int, effects: parts.Effects) -> parts.Effects:
        """Return effects once `index` and the current term are synced.

        Effects that cannot be returned now are deferred with the newest batch.
        """
        is_synced = self.synced_index >= index and self.synced_term == self.term
        if is_synced or not self.batches:
            return effects
        self.batches[-1].deferred += effects
        return []

    def is_compaction_due(self) -> bool:
        """Return whether the records outgrew the snapshot and the minimum size."""
        return self.log_bytes > max(self.compact_bytes, len(self.snapshot_bytes))

    def compact(self, index: int, state: bytes) -> parts.Effects:
        """Replace the entries up to `index` by a snapshot of the state after it.

        `TRAILING_ENTRIES` of them stay in memory for replicas that lag behind slightly.
        """
        term = self.entries.get_term(index)
        assert term is not None
        member_set = self.get_members_at(index)
        self.snapshot = records.Snapshot(index, term, member_set, state)
        self.member_changes = [
            (index, member_set),
            *(change for change in self.member_changes if change[0] > index),
        ]
        self.entries.compact(index - TRAILING_ENTRIES)
        return self.write_snapshot([])

    def install_snapshot(
        self, snapshot_bytes: bytes, deferred: parts.Effects
    ) -> parts.Effects:
        """Replace the entire log by a leader's snapshot."""
        self.set_snapshot(records.SNAPSHOT_DECODER.decode(snapshot_bytes))
        self.synced_index = 0
        return self.write_snapshot(deferred)

    def write_snapshot(self, deferred: parts.Effects) -> parts.Effects:
        """Write the snapshot and all records that follow it to disk."""
        assert self.snapshot is not None
        self.snapshot_bytes = records.encode(self.snapshot)
        kept = self.entries.get_after(self.snapshot.index)
        new_records = [
            records.encode(records.HardState(self.term, self.vote)),
            records.encode(records.Committed(self.committed)),
            *(records.encode(entry) for entry in kept),
        ]
        self.log_bytes = sum(len(data) for data in new_records)
        batch = self.track_batch(deferred)
        return self.persist(
            parts.Persist(
                batch,
                tuple(new_records),
                snapshot=self.snapshot_bytes,
                snapshot_index=self.snapshot.index,
            )
        )
