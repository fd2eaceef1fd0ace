"""What a leader knows of the other replicas, and what it sends them."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import effects
from knapweedbeam_core.log import members, messages, records, wal

HEARTBEAT_MS = 250
LEASE_MS = 800
MAX_APPEND_BYTES = 256 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024


@dataclasses.dataclass(slots=True)
class Progress:
    """How far one replica has the log; `acked_ms` is when what it acked was sent."""

    replica: members.ReplicaId
    next_index: int
    acked_ms: int
    match: int = 0
    told_commit: int = 0
    busy_until_ms: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0


class LeaderState:
    """One leader's term in office."""

    def __init__(
        self, me: members.ReplicaId, own: wal.WriteAheadLog, now_ms: int
    ) -> None:
        self.me = me
        self.wal = own
        self.since_ms = now_ms
        self.first_index = own.entries.last_index + 1
        self.heartbeat_due_ms = now_ms
        self.progress: dict[members.ReplicaId, Progress] = {}

    def get_progress(self, replica: members.ReplicaId) -> Progress:
        """Return a replica's progress, from now on if it is new."""
        progress = self.progress.get(replica)
        if progress is None:
            next_index = self.wal.entries.last_index + 1
            progress = Progress(replica, next_index, self.since_ms)
            self.progress[replica] = progress
        return progress

    def has_lease(self, now_ms: int) -> bool:
        """Say whether a quorum acknowledged lately that this is the leader."""
        acked = {replica: known.acked_ms for replica, known in self.progress.items()}
        acked[self.me] = now_ms
        heard_ms = self.wal.latest_members.get_quorum_value(
            {v: acked.get(v, self.since_ms) for v in self.wal.latest_members.voters}
        )
        return now_ms - heard_ms <= LEASE_MS

    def get_committable(self) -> int:
        """Return the newest index that a quorum has synced."""
        matches = {replica: known.match for replica, known in self.progress.items()}
        matches[self.me] = self.wal.synced_index
        return self.wal.latest_members.get_quorum_value(matches)

    def get_others(self) -> list[members.ReplicaId]:
        """Return every other replica of the group."""
        return [other for other in self.wal.latest_members.everyone if other != self.me]

    def send_all(self, now_ms: int) -> list[effects.Send]:
        """Send each replica what it lacks, or a heartbeat."""
        self.heartbeat_due_ms = now_ms + HEARTBEAT_MS
        self.forget_removed()
        return [self.send_next(other, now_ms) for other in self.get_others()]

    def send_idle(self, now_ms: int) -> list[effects.Send]:
        """Send what they lack to the replicas that nothing is under way to."""
        return [
            self.send_next(other, now_ms)
            for other in self.get_others()
            if now_ms >= self.get_progress(other).busy_until_ms
        ]

    def forget_removed(self) -> None:
        """Forget replicas that left the group."""
        for gone in set(self.progress) - set(self.wal.latest_members.everyone):
            del self.progress[gone]

    def send_next(self, replica: members.ReplicaId, now_ms: int) -> effects.Send:
        """Send one replica the next entries or the next part of a snapshot."""
        progress = self.get_progress(replica)
        progress.busy_until_ms = now_ms + HEARTBEAT_MS
        if progress.next_index <= self.wal.entries.base_index:
            return self.send_chunk(progress, now_ms)
        return self.send_append(progress, now_ms)

    def send_append(self, progress: Progress, now_ms: int) -> effects.Send:
        """Send entries, or none as a heartbeat."""
        held = self.wal.entries
        prev_index = progress.next_index - 1
        prev_term = held.get_term(prev_index)
        assert prev_term is not None
        chosen = held.get_from(progress.next_index, MAX_APPEND_BYTES)
        progress.told_commit = self.wal.committed
        append = messages.AppendEntries(
            self.me,
            progress.replica,
            self.wal.term,
            prev_index,
            prev_term,
            self.wal.committed,
            now_ms,
            tuple(records.encode(entry) for entry in chosen),
        )
        return effects.Send(progress.replica.name, append)

    def send_chunk(self, progress: Progress, now_ms: int) -> effects.Send:
        """Send the next part of the newest snapshot."""
        snapshot = self.wal.snapshot
        assert snapshot is not None
        data = self.wal.snapshot_bytes
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index = snapshot.index
            progress.snapshot_offset = 0
        offset = progress.snapshot_offset
        chunk = messages.SnapshotChunk(
            self.me,
            progress.replica,
            self.wal.term,
            snapshot.index,
            len(data),
            offset,
            data[offset : offset + SNAPSHOT_CHUNK_BYTES],
            now_ms,
        )
        return effects.Send(progress.replica.name, chunk)

    def hear(
        self, reply: messages.AppendReply | messages.SnapshotReply
    ) -> Progress | None:
        """Note that a replica answered; none when it is no member any more."""
        progress = self.progress.get(reply.sender)
        if progress is not None:
            progress.acked_ms = max(progress.acked_ms, reply.sent_ms)
            progress.busy_until_ms = 0
        return progress

    def take_append_reply(
        self, reply: messages.AppendReply, now_ms: int
    ) -> list[effects.Send]:
        """Note how far a replica is; send more where it lacks some."""
        progress = self.hear(reply)
        if progress is None:
            return []
        if reply.accepted:
            progress.match = max(progress.match, reply.match)
            progress.next_index = progress.match + 1
        else:
            lowest = progress.match + 1
            progress.next_index = max(lowest, min(reply.match + 1, progress.next_index))
        is_behind = progress.next_index <= self.wal.entries.last_index
        is_told = progress.told_commit >= self.wal.committed
        if not reply.accepted or is_behind or not is_told:
            return [self.send_next(reply.sender, now_ms)]
        return []

    def take_snapshot_reply(
        self, reply: messages.SnapshotReply, now_ms: int
    ) -> list[effects.Send]:
        """Send the next part, or the entries after the snapshot."""
        progress = self.hear(reply)
        if progress is None:
            return []
        if reply.done:
            progress.match = max(progress.match, reply.index)
            progress.next_index = progress.match + 1
        elif reply.index == progress.snapshot_index:
            progress.snapshot_offset = reply.offset
        return [self.send_next(reply.sender, now_ms)]
