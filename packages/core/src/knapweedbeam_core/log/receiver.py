"""The follower's side of replication: entries and snapshots from the leader."""

from __future__ import annotations

import dataclasses

import msgspec

from knapweedbeam_core import effects
from knapweedbeam_core.entry import parts
from knapweedbeam_core.log import members, messages, records, wal

MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is being received."""

    index: int
    size: int
    data: bytearray


class Receiver:
    """Handles entries and snapshot chunks; the caller has checked the term."""

    def __init__(
        self, me: members.ReplicaId, write_ahead_log: wal.WriteAheadLog
    ) -> None:
        self.me = me
        self.wal = write_ahead_log
        self.incoming: IncomingSnapshot | None = None

    def handle_append(
        self, append: messages.AppendEntries, new_records: list[bytes]
    ) -> parts.Effects:
        """Add a leader's entries; `new_records` are written before them."""
        log_entries = self.wal.entries
        received = [records.ENTRY_DECODER.decode(data) for data in append.entries]
        prev_index, prev_term = append.prev_index, append.prev_term
        if prev_index < log_entries.base_index:
            received = [
                entry for entry in received if entry.index > log_entries.base_index
            ]
            prev_index, prev_term = log_entries.base_index, log_entries.base_term
        if log_entries.get_term(prev_index) != prev_term:
            return self.reject(append, new_records)
        match = max(prev_index, append.prev_index + len(append.entries))
        new_entries = [e for e in received if log_entries.get_term(e.index) != e.term]
        truncate_from = 0
        if new_entries:
            new_entries = received[received.index(new_entries[0]) :]
            truncate_from = (
                new_entries[0].index
                if new_entries[0].index <= log_entries.last_index
                else 0
            )
            new_records += self.wal.append(new_entries)
        new_records += self.set_committed(min(append.commit, match))
        reply = self.build_reply(append, True, match)
        if new_records:
            return self.wal.write(new_records, [reply], truncate_from)
        return self.wal.defer_until_synced(match, [reply])

    def set_committed(self, commit: int) -> list[bytes]:
        """Mark entries up to `commit` as committed; return the records to write."""
        if commit <= self.wal.committed:
            return []
        self.wal.committed = commit
        return [records.encode(records.Committed(commit))]

    def reject(
        self, append: messages.AppendEntries, new_records: list[bytes]
    ) -> parts.Effects:
        """Reject an append, with the index after which the leader should retry."""
        log_entries = self.wal.entries
        hint = log_entries.last_index
        if append.prev_index <= hint:
            hint = log_entries.find_term_start(append.prev_index) - 1
        hint = max(hint, log_entries.base_index)
        reply = self.build_reply(append, False, hint)
        if new_records:
            return self.wal.write(new_records, [reply])
        return [reply]

    def build_reply(
        self, append: messages.AppendEntries, accepted: bool, match: int
    ) -> effects.Send:
        """Return the reply to an append."""
        reply = messages.AppendReply(
            self.me, append.sender, self.wal.term, accepted, match, append.sent_ms
        )
        return effects.Send(append.sender.name, reply)

    def handle_chunk(self, chunk: messages.SnapshotChunk) -> parts.Effects:
        """Add a chunk of a snapshot, and install the snapshot once it is complete."""
        if chunk.index <= self.wal.committed:
            self.incoming = None
            reply = self.build_chunk_reply(chunk, chunk.size, True)
            return self.wal.defer_until_synced(chunk.index, [reply])
        incoming = self.get_incoming_snapshot(chunk)
        if chunk.offset == len(incoming.data):
            incoming.data += chunk.data
        if len(incoming.data) < incoming.size:
            return [self.build_chunk_reply(chunk, len(incoming.data), False)]
        self.incoming = None
        return self.install(chunk, bytes(incoming.data))

    def get_incoming_snapshot(self, chunk: messages.SnapshotChunk) -> IncomingSnapshot:
        """Return the snapshot that a chunk belongs to, restarted if it is another."""
        incoming = self.incoming
        if incoming is None or (incoming.index, incoming.size) != (
            chunk.index,
            chunk.size,
        ):
            size = min(chunk.size, MAX_SNAPSHOT_BYTES)
            incoming = IncomingSnapshot(chunk.index, size, bytearray())
            self.incoming = incoming
        return incoming

    def install(self, chunk: messages.SnapshotChunk, data: bytes) -> parts.Effects:
        """Install a complete snapshot; an unreadable one is requested again."""
        try:
            snapshot = records.SNAPSHOT_DECODER.decode(data)
        except msgspec.MsgspecError:
            return [self.build_chunk_reply(chunk, 0, False)]
        if snapshot.index != chunk.index:
            return [self.build_chunk_reply(chunk, 0, False)]
        reply = self.build_chunk_reply(chunk, chunk.size, True)
        return self.wal.install_snapshot(data, [reply])

    def build_chunk_reply(
        self, chunk: messages.SnapshotChunk, offset: int, done: bool
    ) -> effects.Send:
        """Return the reply to a chunk of a snapshot."""
        reply = messages.SnapshotReply(
            self.me,
            chunk.sender,
            self.wal.term,
            chunk.index,
            offset,
            done,
            chunk.sent_ms,
        )
        return effects.Send(chunk.sender.name, reply)
