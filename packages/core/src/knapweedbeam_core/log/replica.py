"""A control replica: elections, and the log that its leader replicates."""

from __future__ import annotations

import collections.abc
import random

import msgspec

from knapweedbeam_core import clock, effects
from knapweedbeam_core.entry import parts
from knapweedbeam_core.log import (
    bootstrap,
    election,
    leader_state,
    machines,
    members,
    membership_changes,
    messages,
    receiver,
    records,
    roles,
    wal,
)


class Replica:
    """One replica; it counts nothing as written before it is synced."""

    def __init__(
        self,
        me: members.ReplicaId,
        founders: tuple[str, ...],
        restored: records.RestoredState,
        machine: machines.StateMachine,
        timer: clock.Clock,
        rng: random.Random,
        volatile: bool = False,
        compact_bytes: int = wal.MIN_COMPACT_BYTES,
    ) -> None:
        self.me = me
        self.targets: collections.abc.Set[str] = frozenset(founders)
        self.machine = machine
        self.clock = timer
        self.wal = wal.WriteAheadLog(restored, volatile, compact_bytes)
        self.receiver = receiver.Receiver(me, self.wal)
        self.election = election.Election(me, self.wal, timer, rng)
        self.bootstrap = bootstrap.Bootstrap(me, founders, timer)
        self.role = roles.Role.STRANGER
        self.leader_state: leader_state.LeaderState | None = None
        self.leader: members.ReplicaId | None = None
        self.applied = 0
        self.restore()

    def restore(self) -> None:
        """Apply what is known as committed and take up the old role."""
        snapshot = self.wal.snapshot
        if snapshot is not None:
            self.machine.restore(snapshot.state)
            self.applied = snapshot.index
        self.apply_committed()
        if self.wal.latest_members.everyone:
            self.move("founded")

    @property
    def is_leader(self) -> bool:
        """Say whether this replica leads and still has its lease."""
        return self.leader_state is not None and self.leader_state.has_lease(
            self.clock.now_ms()
        )

    @property
    def is_caught_up(self) -> bool:
        """Say whether this leader applied everything of earlier terms."""
        return (
            self.leader_state is not None
            and self.applied >= self.leader_state.first_index
        )

    def set_targets(self, names: collections.abc.Set[str]) -> None:
        """Take the names of the control VMs that are to share the log."""
        self.targets = names
        self.bootstrap.contacts = frozenset(names)

    def move(self, event: str) -> None:
        """Take an event of the chart."""
        self.role = roles.Role(roles.CHART.advance(self.role, event))
        if self.role != roles.Role.LEADER:
            self.leader_state = None

    def stop(self) -> None:
        """Take no further part: the data folder failed."""
        self.move("fail")
        self.leader = None

    def step_down(self) -> None:
        """Stop leading: this process is about to end."""
        self.move("lapsed")
        self.leader = None
        self.election.arm()

    def tick(self) -> parts.Effects:
        """Do what is due."""
        now_ms = self.clock.now_ms()
        if self.role == roles.Role.STOPPED:
            return []
        if self.leader_state is not None:
            return self.tick_leader(self.leader_state, now_ms)
        if self.me not in self.wal.latest_members.voters:
            return self.tick_outsider()
        if self.election.is_due():
            return self.say_hello() + self.start_pre_vote()
        return []

    def say_hello(self) -> parts.Effects:
        """Make oneself known: a leader may have removed this replica meanwhile."""
        return [*self.bootstrap.say_hello(self.role != roles.Role.STRANGER)]

    def tick_leader(self, own: leader_state.LeaderState, now_ms: int) -> parts.Effects:
        """Send heartbeats, or step down when nobody answers them."""
        if not own.has_lease(now_ms):
            self.step_down()
            return []
        if now_ms < own.heartbeat_due_ms:
            return []
        produced = self.change_group(own, now_ms)
        return produced + own.send_all(now_ms)

    def tick_outsider(self) -> parts.Effects:
        """Say hello now and then, so that a leader takes this replica in."""
        if self.me in self.wal.latest_members.learners and self.has_leader():
            return []
        return self.say_hello() + self.found()

    def found(self) -> parts.Effects:
        """Start the log once all of its first replicas are there and empty."""
        group = (
            self.bootstrap.find_group() if self.role == roles.Role.STRANGER else None
        )
        if group is None:
            return []
        self.wal.founded = group
        self.move("founded")
        self.election.arm_first()
        return self.wal.write([records.encode(records.Founded(group))], [])

    def start_pre_vote(self) -> parts.Effects:
        """Ask whether an election could be won."""
        self.move("timeout")
        self.leader = None
        self.election.arm()
        self.election.votes = {self.me}
        asked: parts.Effects = [*self.election.ask_pre_votes()]
        return asked + self.count_pre_votes()

    def count_pre_votes(self) -> parts.Effects:
        """Stand for election once a quorum would vote for this replica."""
        if self.role != roles.Role.PRE_CANDIDATE or not self.election.is_won():
            return []
        self.move("pre_vote_won")
        self.election.votes = set()
        written = [self.wal.set_term(self.wal.term + 1, self.me)]
        asked: parts.Effects = [*self.election.ask_votes()]
        return self.wal.write(written, asked) + self.after_sync()

    def count_votes(self) -> parts.Effects:
        """Lead once a quorum voted, this replica's own synced vote included."""
        if self.role != roles.Role.CANDIDATE:
            return []
        if self.wal.synced_term == self.wal.term:
            self.election.votes.add(self.me)
        if not self.election.is_won():
            return []
        self.move("vote_won")
        self.leader = self.me
        self.leader_state = leader_state.LeaderState(
            self.me, self.wal, self.clock.now_ms()
        )
        return self.add_entry(
            records.EntryKind.MEMBERS, records.encode(self.wal.latest_members)
        )

    def propose(self, data: bytes) -> parts.Effects:
        """Add a command to the log; this replica must be the leader."""
        return self.add_entry(records.EntryKind.COMMAND, data)

    def add_entry(self, kind: records.EntryKind, data: bytes) -> parts.Effects:
        """Add one entry and send it to the others while it is being synced."""
        assert self.leader_state is not None
        index = self.wal.entries.last_index + 1
        entry = records.Entry(index, self.wal.term, kind, data)
        written = self.wal.append([entry])
        sent: parts.Effects = [*self.leader_state.send_idle(self.clock.now_ms())]
        return sent + self.wal.write(written, []) + self.after_sync()

    def change_group(self, own: leader_state.LeaderState, now_ms: int) -> parts.Effects:
        """Make the next change of the group, when the last one is committed."""
        is_open = self.wal.latest_members_index <= self.applied
        if not is_open or not self.is_caught_up:
            return []
        group = membership_changes.find_change(
            self.wal.latest_members,
            self.targets,
            self.bootstrap.get_applicants(),
            own,
            now_ms,
        )
        if group is None:
            return []
        return self.add_entry(records.EntryKind.MEMBERS, records.encode(group))

    def persisted(self, batch: int) -> parts.Effects:
        """Go on after records are synced."""
        return self.wal.complete_batches(batch) + self.after_sync()

    def after_sync(self) -> parts.Effects:
        """Do what newly synced records allow."""
        produced = self.count_votes()
        produced += self.advance_commit()
        if self.apply_committed() and self.leader_state is not None:
            # Replicas that owe an answer hear of the commit when they give it.
            produced += self.leader_state.send_idle(self.clock.now_ms())
        produced += self.compact()
        if (
            self.leader_state is not None
            and self.me not in self.wal.latest_members.voters
        ):
            produced += self.leave_office()
        return produced

    def leave_office(self) -> parts.Effects:
        """Stop leading once the group without this replica is committed."""
        if self.wal.latest_members_index > self.applied or self.leader_state is None:
            return []
        told: parts.Effects = [*self.leader_state.send_all(self.clock.now_ms())]
        self.move("lapsed")
        self.leader = None
        return told

    def advance_commit(self) -> parts.Effects:
        """Commit what a quorum has synced in this leader's term."""
        if self.leader_state is None:
            return []
        index = self.leader_state.get_committable()
        is_own = self.wal.entries.get_term(index) == self.wal.term
        if index <= self.wal.committed or not is_own:
            return []
        return self.wal.write(self.receiver.advance(index), [])

    def apply_committed(self) -> bool:
        """Apply what is known as committed; say whether there was any.

        An entry on the disks of a quorum stays, whether or not this replica has written
        down that it is committed.
        """
        before = self.applied
        while self.applied < self.wal.committed:
            self.applied += 1
            entry = self.wal.entries.get(self.applied)
            if entry.kind == records.EntryKind.COMMAND:
                self.machine.apply(entry.index, entry.data)
        return self.applied > before

    def compact(self) -> parts.Effects:
        """Put a snapshot in place of the log when the log has grown."""
        if not self.applied or not self.wal.is_compaction_due():
            return []
        if self.wal.snapshot and self.wal.snapshot.index == self.applied:
            return []
        return self.wal.compact(self.applied, self.machine.take_snapshot())

    def on_message(self, message: messages.Message) -> parts.Effects:
        """Take a message from another replica."""
        if self.role == roles.Role.STOPPED:
            return []
        if isinstance(message, messages.ReplicaHello):
            return self.on_hello(message)
        if message.to != self.me:
            return []
        try:
            return self.on_addressed(message)
        except msgspec.MsgspecError:
            return []

    def on_addressed(self, message: messages.Message) -> parts.Effects:
        """Take a message meant for this data folder."""
        match message:
            case messages.PreVote():
                return self.on_pre_vote(message)
            case messages.PreVoteReply():
                return self.on_pre_vote_reply(message)
            case messages.Vote():
                return self.on_vote(message)
            case messages.VoteReply():
                return self.on_vote_reply(message)
            case messages.AppendEntries() | messages.SnapshotChunk():
                return self.on_leader(message)
            case messages.AppendReply() | messages.SnapshotReply():
                return self.on_reply(message)
        return []

    def on_hello(self, hello: messages.ReplicaHello) -> parts.Effects:
        """Note a replica that is outside the group."""
        self.bootstrap.note(hello, self.targets)
        return self.found()

    def has_leader(self) -> bool:
        """Say whether there is a leader, so that votes are refused."""
        if self.leader_state is not None:
            return self.leader_state.has_lease(self.clock.now_ms())
        return self.election.has_leader()

    def on_pre_vote(self, asked: messages.PreVote) -> parts.Effects:
        """Say whether this replica would vote."""
        granted = not self.has_leader() and self.election.is_up_to_date(asked)
        reply = messages.PreVoteReply(self.me, asked.sender, asked.term, granted)
        return [effects.Send(asked.sender.name, reply)]

    def on_pre_vote_reply(self, reply: messages.PreVoteReply) -> parts.Effects:
        """Count an answer for the election that is being tried."""
        is_current = reply.term == self.wal.term + 1
        if self.role != roles.Role.PRE_CANDIDATE or not is_current or not reply.granted:
            return []
        self.election.votes.add(reply.sender)
        return self.count_pre_votes()

    def on_vote(self, asked: messages.Vote) -> parts.Effects:
        """Vote, once a term, and answer when the vote is synced."""
        if asked.term < self.wal.term or self.has_leader():
            return [self.build_vote_reply(asked, False)]
        written = []
        if asked.term > self.wal.term:
            written.append(self.enter(asked.term))
        granted = self.election.is_up_to_date(asked)
        granted = granted and self.wal.vote in (None, asked.sender)
        if granted:
            self.election.arm()
            written.append(self.wal.set_term(asked.term, asked.sender))
        reply = self.build_vote_reply(asked, granted)
        if written:
            return self.wal.write(written, [reply])
        return self.wal.hold(0, [reply])

    def build_vote_reply(self, asked: messages.Vote, granted: bool) -> effects.Send:
        """Return the answer to a vote request."""
        reply = messages.VoteReply(self.me, asked.sender, self.wal.term, granted)
        return effects.Send(asked.sender.name, reply)

    def on_vote_reply(self, reply: messages.VoteReply) -> parts.Effects:
        """Count a vote."""
        if reply.term > self.wal.term:
            return self.wal.write([self.enter(reply.term)], [])
        is_current = self.role == roles.Role.CANDIDATE and reply.term == self.wal.term
        if not is_current or not reply.granted:
            return []
        self.election.votes.add(reply.sender)
        return self.after_sync()

    def enter(self, term: int) -> bytes:
        """Follow in a newer term; return the record to write."""
        self.move("follow")
        self.leader = None
        return self.wal.set_term(term, None)

    def on_leader(
        self, message: messages.AppendEntries | messages.SnapshotChunk
    ) -> parts.Effects:
        """Take entries or a part of a snapshot from the leader of a term."""
        if message.term < self.wal.term:
            return [self.build_refusal(message)]
        written = []
        if message.term > self.wal.term:
            written.append(self.enter(message.term))
        self.move("follow")
        self.leader = message.sender
        self.election.hear_leader()
        if isinstance(message, messages.AppendEntries):
            produced = self.receiver.take_append(message, written)
        else:
            produced = self.take_chunk(message, written)
        return produced + self.after_sync()

    def take_chunk(
        self, chunk: messages.SnapshotChunk, written: list[bytes]
    ) -> parts.Effects:
        """Take a part of a snapshot, and start from it when it is whole."""
        before = self.wal.snapshot
        produced = self.wal.write(written, []) if written else []
        produced += self.receiver.take_chunk(chunk)
        snapshot = self.wal.snapshot
        if snapshot is not None and snapshot is not before:
            self.machine.restore(snapshot.state)
            self.applied = snapshot.index
        return produced

    def build_refusal(
        self, message: messages.AppendEntries | messages.SnapshotChunk
    ) -> effects.Send:
        """Tell a leader of an older term that there is a newer one."""
        reply = messages.AppendReply(
            self.me, message.sender, self.wal.term, False, 0, message.sent_ms
        )
        return effects.Send(message.sender.name, reply)

    def on_reply(
        self, reply: messages.AppendReply | messages.SnapshotReply
    ) -> parts.Effects:
        """Take a follower's answer."""
        if reply.term > self.wal.term:
            return self.wal.write([self.enter(reply.term)], [])
        if self.leader_state is None or reply.term != self.wal.term:
            return []
        now_ms = self.clock.now_ms()
        sent: parts.Effects = []
        if isinstance(reply, messages.AppendReply):
            sent += self.leader_state.take_append_reply(reply, now_ms)
        else:
            sent += self.leader_state.take_snapshot_reply(reply, now_ms)
        return sent + self.after_sync()
