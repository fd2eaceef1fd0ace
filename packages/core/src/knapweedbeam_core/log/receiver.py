"""How a follower takes entries and snapshots from its leader."""

from __future__ import annotations

import dataclasses

import msgspec

from knapweedbeam_core import effects
from knapweedbeam_core.entry import parts
from knapweedbeam_core.log import members, messages, records, wal

MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class Incoming:
    """A snapshot that is on its way in."""

    index: int
    size: int
    data: bytearray


class Receiver:
    """The follower's side of replication; its caller has checked the term."""

    def __init__(self, me: members.ReplicaId, own: wal.WriteAheadLog) -> None:
        self.me = me
        self.wal = own
        self.incoming: Incoming | None = None

    def take_append(
        self, append: messages.AppendEntries, written: list[bytes]
    ) -> parts.Effects:
        """Add a leader's entries after `written`, which is to be synced first."""
        held = self.wal.entries
        sent = [records.ENTRY_DECODER.decode(data) for data in append.entries]
        prev_index, prev_term = append.prev_index, append.prev_term
        if prev_index < held.base_index:
            sent = [entry for entry in sent if entry.index > held.base_index]
            prev_index, prev_term = held.base_index, held.base_term
        if held.get_term(prev_index) != prev_term:
            return self.reject(append, written)
        match = max(prev_index, append.prev_index + len(append.entries))
        fresh = [e for e in sent if held.get_term(e.index) != e.term]
        truncate_from = 0
        if fresh:
            fresh = sent[sent.index(fresh[0]) :]
            truncate_from = fresh[0].index if fresh[0].index <= held.last_index else 0
            written += self.wal.append(fresh)
        written += self.advance(min(append.commit, match))
        reply = self.build_reply(append, True, match)
        if written:
            return self.wal.write(written, [reply], truncate_from)
        return self.wal.hold(match, [reply])

    def advance(self, commit: int) -> list[bytes]:
        """Count entries up to `commit` as committed; return what to write."""
        if commit <= self.wal.committed:
            return []
        self.wal.committed = commit
        return [records.encode(records.Committed(commit))]

    def reject(
        self, append: messages.AppendEntries, written: list[bytes]
    ) -> parts.Effects:
        """Tell the leader where to try again."""
        held = self.wal.entries
        hint = held.last_index
        if append.prev_index <= hint:
            hint = held.find_term_start(append.prev_index) - 1
        hint = max(hint, held.base_index)
        reply = self.build_reply(append, False, hint)
        if written:
            return self.wal.write(written, [reply])
        return [reply]

    def build_reply(
        self, append: messages.AppendEntries, accepted: bool, match: int
    ) -> effects.Send:
        """Return the answer to an append."""
        reply = messages.AppendReply(
            self.me, append.sender, self.wal.term, accepted, match, append.sent_ms
        )
        return effects.Send(append.sender.name, reply)

    def take_chunk(self, chunk: messages.SnapshotChunk) -> parts.Effects:
        """Add a part of a snapshot."""
        if chunk.index <= self.wal.committed:
            self.incoming = None
            reply = self.build_chunk_reply(chunk, chunk.size, True)
            return self.wal.hold(chunk.index, [reply])
        incoming = self.get_incoming(chunk)
        if chunk.offset == len(incoming.data):
            incoming.data += chunk.data
        if len(incoming.data) < incoming.size:
            return [self.build_chunk_reply(chunk, len(incoming.data), False)]
        self.incoming = None
        return self.install(chunk, bytes(incoming.data))

    def get_incoming(self, chunk: messages.SnapshotChunk) -> Incoming:
        """Return the snapshot that a part belongs to, begun anew if needed."""
        known = self.incoming
        if known is None or (known.index, known.size) != (chunk.index, chunk.size):
            size = min(chunk.size, MAX_SNAPSHOT_BYTES)
            known = Incoming(chunk.index, size, bytearray())
            self.incoming = known
        return known

    def install(self, chunk: messages.SnapshotChunk, data: bytes) -> parts.Effects:
        """Take a whole snapshot; one that cannot be read is asked for anew."""
        try:
            snapshot = records.SNAPSHOT_DECODER.decode(data)
        except msgspec.MsgspecError:
            return [self.build_chunk_reply(chunk, 0, False)]
        if snapshot.index != chunk.index:
            return [self.build_chunk_reply(chunk, 0, False)]
        reply = self.build_chunk_reply(chunk, chunk.size, True)
        return self.wal.install(data, [reply])

    def build_chunk_reply(
        self, chunk: messages.SnapshotChunk, offset: int, done: bool
    ) -> effects.Send:
        """Return the answer to a part of a snapshot."""
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
