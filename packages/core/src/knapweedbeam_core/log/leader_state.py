"""A leader's state: the progress of the other replicas, and replication to them."""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core import effects
from knapweedbeam_core.log import members, messages, records, wal

HEARTBEAT_INTERVAL_MS = 250
LEASE_MS = 800
MAX_APPEND_BYTES = 256 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024


@dataclasses.dataclass(slots=True)
class Progress:
    """How much of the log one replica has.

    `acked_ms` is the time at which the newest message that it answered was sent.
    """

    replica: members.ReplicaId
    next_index: int
    acked_ms: int
    match: int = 0
    sent_commit: int = 0
    in_flight_until_ms: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0


class LeaderState:
    """The state of a leader during one term.

    `first_index` is the index of the first entry that it adds in its term.
    """

    def __init__(
        self, me: members.ReplicaId, write_ahead_log: wal.WriteAheadLog, now_ms: int
    ) -> None:
        self.me = me
        self.wal = write_ahead_log
        self.elected_ms = now_ms
        self.first_index = write_ahead_log.entries.last_index + 1
        self.heartbeat_due_ms = now_ms
        self.progress: dict[members.ReplicaId, Progress] = {}

    def get_progress(self, replica: members.ReplicaId) -> Progress:
        """Return a replica's progress; tracking starts now if it is new."""
        progress = self.progress.get(replica)
        if progress is None:
            next_index = self.wal.entries.last_index + 1
            progress = Progress(replica, next_index, self.elected_ms)
            self.progress[replica] = progress
        return progress

    def has_lease(self, now_ms: int) -> bool:
        """Return whether a quorum acknowledged this leader within the lease time."""
        acked = {
            replica: progress.acked_ms for replica, progress in self.progress.items()
        }
        acked[self.me] = now_ms
        quorum_acked_ms = self.wal.latest_members.get_quorum_value(
            {v: acked.get(v, self.elected_ms) for v in self.wal.latest_members.voters}
        )
        return now_ms - quorum_acked_ms <= LEASE_MS

    def find_successor(
        self, voters: collections.abc.Iterable[members.ReplicaId]
    ) -> members.ReplicaId | None:
        """Return the voter with the most of the log, the last one that answered."""

        def get_key(voter: members.ReplicaId) -> tuple[int, int]:
            progress = self.get_progress(voter)
            return progress.match, progress.acked_ms

        return max(voters, key=get_key, default=None)

    def get_committable(self) -> int:
        """Return the newest index that a quorum has synced."""
        matches = {
            replica: progress.match for replica, progress in self.progress.items()
        }
        matches[self.me] = self.wal.synced_index
        return self.wal.latest_members.get_quorum_value(matches)

    def get_other_replicas(self) -> list[members.ReplicaId]:
        """Return all other voters and learners."""
        return [
            other for other in self.wal.latest_members.all_replicas if other != self.me
        ]

    def send_all(self, now_ms: int) -> list[effects.Send]:
        """Send each other replica what it lacks, or a heartbeat."""
        self.heartbeat_due_ms = now_ms + HEARTBEAT_INTERVAL_MS
        self.remove_former_members()
        return [self.send_next(other, now_ms) for other in self.get_other_replicas()]

    def send_idle(self, now_ms: int) -> list[effects.Send]:
        """Send what they lack to the replicas that have no message in flight."""
        return [
            self.send_next(other, now_ms)
            for other in self.get_other_replicas()
            if now_ms >= self.get_progress(other).in_flight_until_ms
        ]

    def remove_former_members(self) -> None:
        """Drop the progress of replicas that are no longer members."""
        for former in set(self.progress) - set(self.wal.latest_members.all_replicas):
            del self.progress[former]

    def send_next(self, replica: members.ReplicaId, now_ms: int) -> effects.Send:
        """Send one replica the next entries or the next chunk of a snapshot."""
        progress = self.get_progress(replica)
        progress.in_flight_until_ms = now_ms + HEARTBEAT_INTERVAL_MS
        if progress.next_index <= self.wal.entries.base_index:
            return self.send_chunk(progress, now_ms)
        return self.send_append(progress, now_ms)

    def send_append(self, progress: Progress, now_ms: int) -> effects.Send:
        """Send the next entries; without any, the message is a heartbeat."""
        log_entries = self.wal.entries
        prev_index = progress.next_index - 1
        prev_term = log_entries.get_term(prev_index)
        assert prev_term is not None
        batch = log_entries.get_from(progress.next_index, MAX_APPEND_BYTES)
        progress.sent_commit = self.wal.committed
        append = messages.AppendEntries(
            self.me,
            progress.replica,
            self.wal.term,
            prev_index,
            prev_term,
            self.wal.committed,
            now_ms,
            tuple(records.encode(entry) for entry in batch),
        )
        return effects.Send(progress.replica.name, append)

    def send_chunk(self, progress: Progress, now_ms: int) -> effects.Send:
        """Send the next chunk of the newest snapshot."""
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

    def record_reply(
        self, reply: messages.AppendReply | messages.SnapshotReply
    ) -> Progress | None:
        """Record a reply; return the progress, or None if the sender is no member."""
        progress = self.progress.get(reply.sender)
        if progress is not None:
            progress.acked_ms = max(progress.acked_ms, reply.sent_ms)
            progress.in_flight_until_ms = 0
        return progress

    def handle_append_reply(
        self, reply: messages.AppendReply, now_ms: int
    ) -> list[effects.Send]:
        """Update a replica's progress; send more if it lacks entries or the commit."""
        progress = self.record_reply(reply)
        if progress is None:
            return []
        if reply.accepted:
            progress.match = max(progress.match, reply.match)
            progress.next_index = progress.match + 1
        else:
            lowest = progress.match + 1
            progress.next_index = max(lowest, min(reply.match + 1, progress.next_index))
        is_behind = progress.next_index <= self.wal.entries.last_index
        has_commit = progress.sent_commit >= self.wal.committed
        if not reply.accepted or is_behind or not has_commit:
            return [self.send_next(reply.sender, now_ms)]
        return []

    def handle_snapshot_reply(
        self, reply: messages.SnapshotReply, now_ms: int
    ) -> list[effects.Send]:
        """Send the next chunk, or the entries after a complete snapshot."""
        progress = self.record_reply(reply)
        if progress is None:
            return []
        if reply.done:
            progress.match = max(progress.match, reply.index)
            progress.next_index = progress.match + 1
        elif reply.index == progress.snapshot_index:
            progress.snapshot_offset = reply.offset
        return [self.send_next(reply.sender, now_ms)]
