"""A replica of the log: elections, replication and membership changes."""

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
    """One replica; records count as written only once they are synced."""

    def __init__(
        self,
        me: members.ReplicaId,
        initial_names: tuple[str, ...],
        restored: records.RestoredState,
        machine: machines.StateMachine,
        timer: clock.Clock,
        rng: random.Random,
        volatile: bool = False,
        compact_bytes: int = wal.MIN_COMPACT_BYTES,
    ) -> None:
        self.me = me
        self.targets: collections.abc.Set[str] = frozenset(initial_names)
        self.machine = machine
        self.clock = timer
        self.wal = wal.WriteAheadLog(restored, volatile, compact_bytes)
        self.receiver = receiver.Receiver(me, self.wal)
        self.election = election.Election(me, self.wal, timer, rng)
        self.bootstrap = bootstrap.Bootstrap(me, initial_names, timer)
        self.role = roles.Role.STRANGER
        self.leader_state: leader_state.LeaderState | None = None
        self.leader: members.ReplicaId | None = None
        self.applied = 0
        self.restore()

    def restore(self) -> None:
        """Apply the committed entries, and become a follower if there are members."""
        snapshot = self.wal.snapshot
        if snapshot is not None:
            self.machine.restore(snapshot.state)
            self.applied = snapshot.index
        self.apply_committed()
        if self.wal.latest_members.all_replicas:
            self.apply_event("founded")

    @property
    def is_leader(self) -> bool:
        """Return whether this replica leads and still has its lease."""
        return self.leader_state is not None and self.leader_state.has_lease(
            self.clock.now_ms()
        )

    @property
    def is_caught_up(self) -> bool:
        """Return whether this leader has applied all entries of earlier terms."""
        return (
            self.leader_state is not None
            and self.applied >= self.leader_state.first_index
        )

    def set_targets(self, names: collections.abc.Set[str]) -> None:
        """Set the names of the control VMs that should replicate the log."""
        self.targets = names
        self.bootstrap.contacts = frozenset(names)

    def apply_event(self, event: str) -> None:
        """Apply an event of the state chart."""
        self.role = roles.Role(roles.CHART.get_next_state(self.role, event))
        if self.role != roles.Role.LEADER:
            self.leader_state = None

    def stop(self) -> None:
        """Stop permanently, after a failure of the data folder."""
        self.apply_event("fail")
        self.leader = None

    def step_down(self) -> None:
        """Stop leading: the lease expired, or this process is about to exit."""
        self.apply_event("lapsed")
        self.leader = None
        self.election.reset_timer()

    def hand_over(self) -> parts.Effects:
        """Stop leading, and let the voter with the most of the log be elected at once.

        The lease is given up first, so the others need not wait until it is over.
        """
        if self.leader_state is None:
            return []
        others = self.election.get_other_voters()
        successor = self.leader_state.find_successor(others)
        self.step_down()
        return [
            effects.Send(
                other.name,
                messages.LeadGivenUp(self.me, other, self.wal.term, other == successor),
            )
            for other in others
        ]

    def on_lead_given_up(self, message: messages.LeadGivenUp) -> parts.Effects:
        """Forget the leader, and stand for election if this replica is to follow it."""
        if message.term != self.wal.term or self.leader != message.sender:
            return []
        self.leader = None
        self.election.forget_leader()
        if message.is_successor:
            self.election.due_ms = self.clock.now_ms()
        return []

    def tick(self) -> parts.Effects:
        """Perform all actions that are due."""
        now_ms = self.clock.now_ms()
        if self.role == roles.Role.STOPPED:
            return []
        if self.leader_state is not None:
            return self.tick_leader(self.leader_state, now_ms)
        if self.me not in self.wal.latest_members.voters:
            return self.tick_nonvoter()
        if self.election.is_due():
            return self.build_hellos() + self.start_pre_vote()
        return []

    def build_hellos(self) -> parts.Effects:
        """Return hellos if they are due: a leader may have removed this replica."""
        return [*self.bootstrap.build_hellos(self.role != roles.Role.STRANGER)]

    def tick_leader(
        self, leadership: leader_state.LeaderState, now_ms: int
    ) -> parts.Effects:
        """Send heartbeats, or step down if no quorum answers them."""
        if not leadership.has_lease(now_ms):
            self.step_down()
            return []
        if now_ms < leadership.heartbeat_due_ms:
            return []
        produced = self.change_members(leadership, now_ms)
        return produced + leadership.send_all(now_ms)

    def tick_nonvoter(self) -> parts.Effects:
        """Send hellos, so that a leader adds this replica to the members."""
        if self.me in self.wal.latest_members.learners and self.has_leader():
            return []
        return self.build_hellos() + self.bootstrap_log()

    def bootstrap_log(self) -> parts.Effects:
        """Bootstrap the log once all initial members are present and have no log."""
        member_set = (
            self.bootstrap.find_initial_members()
            if self.role == roles.Role.STRANGER
            else None
        )
        if member_set is None:
            return []
        self.wal.initial_members = member_set
        self.apply_event("founded")
        self.election.reset_first_timer()
        return self.wal.write([records.encode(records.Founded(member_set))], [])

    def start_pre_vote(self) -> parts.Effects:
        """Start a pre-vote, which asks whether an election could be won."""
        self.apply_event("timeout")
        self.leader = None
        self.election.reset_timer()
        self.election.votes = {self.me}
        requests: parts.Effects = [*self.election.request_pre_votes()]
        return requests + self.count_pre_votes()

    def count_pre_votes(self) -> parts.Effects:
        """Start an election once a quorum would vote for this replica."""
        if self.role != roles.Role.PRE_CANDIDATE or not self.election.is_won():
            return []
        self.apply_event("pre_vote_won")
        self.election.votes = set()
        new_records = [self.wal.set_term(self.wal.term + 1, self.me)]
        requests: parts.Effects = [*self.election.request_votes()]
        return self.wal.write(new_records, requests) + self.after_sync()

    def count_votes(self) -> parts.Effects:
        """Become leader once a quorum voted; the own vote counts once it is synced."""
        if self.role != roles.Role.CANDIDATE:
            return []
        if self.wal.synced_term == self.wal.term:
            self.election.votes.add(self.me)
        if not self.election.is_won():
            return []
        self.apply_event("vote_won")
        self.leader = self.me
        self.leader_state = leader_state.LeaderState(
            self.me, self.wal, self.clock.now_ms()
        )
        return self.add_entry(
            records.EntryKind.MEMBERS, records.encode(self.wal.latest_members)
        )

    def propose(self, data: bytes) -> parts.Effects:
        """Append a command to the log; this replica must be the leader."""
        return self.add_entry(records.EntryKind.COMMAND, data)

    def add_entry(self, kind: records.EntryKind, data: bytes) -> parts.Effects:
        """Append an entry and send it to the others while it is being synced."""
        assert self.leader_state is not None
        index = self.wal.entries.last_index + 1
        entry = records.Entry(index, self.wal.term, kind, data)
        new_records = self.wal.append([entry])
        sent: parts.Effects = [*self.leader_state.send_idle(self.clock.now_ms())]
        return sent + self.wal.write(new_records, []) + self.after_sync()

    def change_members(
        self, leadership: leader_state.LeaderState, now_ms: int
    ) -> parts.Effects:
        """Start the next membership change once the last one is applied."""
        is_change_applied = self.wal.latest_members_index <= self.applied
        if not is_change_applied or not self.is_caught_up:
            return []
        member_set = membership_changes.find_next_change(
            self.wal.latest_members,
            self.targets,
            self.bootstrap.get_applicants(),
            leadership,
            now_ms,
        )
        if member_set is None:
            return []
        return self.add_entry(records.EntryKind.MEMBERS, records.encode(member_set))

    def persisted(self, batch: int) -> parts.Effects:
        """Handle the sync of all batches up to `batch`."""
        return self.wal.complete_batches(batch) + self.after_sync()

    def after_sync(self) -> parts.Effects:
        """Perform all actions that newly synced records allow."""
        produced = self.count_votes()
        produced += self.advance_commit()
        if self.apply_committed() and self.leader_state is not None:
            # Replicas with a message in flight learn of the commit after their reply.
            now_ms = self.clock.now_ms()
            produced += self.change_members(self.leader_state, now_ms)
            produced += self.leader_state.send_idle(now_ms)
        produced += self.compact()
        if (
            self.leader_state is not None
            and self.me not in self.wal.latest_members.voters
        ):
            produced += self.step_down_after_removal()
        return produced

    def step_down_after_removal(self) -> parts.Effects:
        """Stop leading once the members without this replica are committed."""
        if self.wal.latest_members_index > self.applied or self.leader_state is None:
            return []
        last_sends: parts.Effects = [*self.leader_state.send_all(self.clock.now_ms())]
        self.apply_event("lapsed")
        self.leader = None
        return last_sends

    def advance_commit(self) -> parts.Effects:
        """Commit what a quorum has synced once it includes an entry of this term."""
        if self.leader_state is None:
            return []
        index = self.leader_state.get_committable()
        is_own_term = self.wal.entries.get_term(index) == self.wal.term
        if index <= self.wal.committed or not is_own_term:
            return []
        return self.wal.write(self.receiver.set_committed(index), [])

    def apply_committed(self) -> bool:
        """Apply the committed entries; return whether there were any.

        This does not wait until the commit index is synced here: an entry on the disks
        of a quorum is permanent in any case.
        """
        previous = self.applied
        while self.applied < self.wal.committed:
            self.applied += 1
            entry = self.wal.entries.get(self.applied)
            if entry.kind == records.EntryKind.COMMAND:
                self.machine.apply(entry.index, entry.data)
        return self.applied > previous

    def compact(self) -> parts.Effects:
        """Replace the applied entries by a snapshot once the log has grown."""
        if not self.applied or not self.wal.is_compaction_due():
            return []
        if self.wal.snapshot and self.wal.snapshot.index == self.applied:
            return []
        return self.wal.compact(self.applied, self.machine.take_snapshot())

    def on_message(self, message: messages.Message) -> parts.Effects:
        """Handle a message from another replica."""
        if self.role == roles.Role.STOPPED:
            return []
        if isinstance(message, messages.ReplicaHello):
            return self.on_hello(message)
        if message.to != self.me:
            return []
        try:
            return self.route_message(message)
        except msgspec.MsgspecError:
            return []

    def route_message(self, message: messages.Message) -> parts.Effects:
        """Handle a message addressed to this replica with its current data folder."""
        match message:
            case messages.PreVote():
                return self.on_pre_vote(message)
            case messages.PreVoteReply():
                return self.on_pre_vote_reply(message)
            case messages.Vote():
                return self.on_vote(message)
            case messages.VoteReply():
                return self.on_vote_reply(message)
            case messages.LeadGivenUp():
                return self.on_lead_given_up(message)
            case messages.AppendEntries() | messages.SnapshotChunk():
                return self.on_leader_message(message)
            case messages.AppendReply() | messages.SnapshotReply():
                return self.on_follower_reply(message)
        return []

    def on_hello(self, hello: messages.ReplicaHello) -> parts.Effects:
        """Record a replica that is not a member."""
        self.bootstrap.record_hello(hello, self.targets)
        return self.bootstrap_log()

    def has_leader(self) -> bool:
        """Return whether there is a leader, so that votes are refused."""
        if self.leader_state is not None:
            return self.leader_state.has_lease(self.clock.now_ms())
        return self.election.has_leader()

    def on_pre_vote(self, request: messages.PreVote) -> parts.Effects:
        """Reply whether this replica would vote for the sender."""
        granted = not self.has_leader() and self.election.is_up_to_date(request)
        if granted:
            self.election.defer_to_candidate()
        reply = messages.PreVoteReply(self.me, request.sender, request.term, granted)
        return [effects.Send(request.sender.name, reply)]

    def on_pre_vote_reply(self, reply: messages.PreVoteReply) -> parts.Effects:
        """Count a granted pre-vote of the current attempt."""
        is_current = reply.term == self.wal.term + 1
        if self.role != roles.Role.PRE_CANDIDATE or not is_current or not reply.granted:
            return []
        self.election.votes.add(reply.sender)
        return self.count_pre_votes()

    def on_vote(self, request: messages.Vote) -> parts.Effects:
        """Vote at most once per term, and reply once the vote is synced."""
        if request.term < self.wal.term or self.has_leader():
            return [self.build_vote_reply(request, False)]
        new_records = []
        if request.term > self.wal.term:
            new_records.append(self.enter_term(request.term))
        granted = self.election.is_up_to_date(request)
        granted = granted and self.wal.vote in (None, request.sender)
        if granted:
            self.election.reset_timer()
            new_records.append(self.wal.set_term(request.term, request.sender))
        reply = self.build_vote_reply(request, granted)
        if new_records:
            return self.wal.write(new_records, [reply])
        return self.wal.defer_until_synced(0, [reply])

    def build_vote_reply(self, request: messages.Vote, granted: bool) -> effects.Send:
        """Return the reply to a vote request."""
        reply = messages.VoteReply(self.me, request.sender, self.wal.term, granted)
        return effects.Send(request.sender.name, reply)

    def on_vote_reply(self, reply: messages.VoteReply) -> parts.Effects:
        """Count a vote granted in the current term."""
        if reply.term > self.wal.term:
            return self.wal.write([self.enter_term(reply.term)], [])
        is_current = self.role == roles.Role.CANDIDATE and reply.term == self.wal.term
        if not is_current or not reply.granted:
            return []
        self.election.votes.add(reply.sender)
        return self.after_sync()

    def enter_term(self, term: int) -> bytes:
        """Become follower in a newer term; return the record to write."""
        self.apply_event("follow")
        self.leader = None
        return self.wal.set_term(term, None)

    def on_leader_message(
        self, message: messages.AppendEntries | messages.SnapshotChunk
    ) -> parts.Effects:
        """Handle entries or a snapshot chunk from the leader of a term."""
        if message.term < self.wal.term:
            return [self.build_refusal(message)]
        new_records = []
        if message.term > self.wal.term:
            new_records.append(self.enter_term(message.term))
        self.apply_event("follow")
        self.leader = message.sender
        self.election.record_leader_contact()
        if isinstance(message, messages.AppendEntries):
            produced = self.receiver.handle_append(message, new_records)
        else:
            produced = self.handle_chunk(message, new_records)
        return produced + self.after_sync()

    def handle_chunk(
        self, chunk: messages.SnapshotChunk, new_records: list[bytes]
    ) -> parts.Effects:
        """Handle a snapshot chunk, and restore the state from a complete snapshot."""
        previous = self.wal.snapshot
        produced = self.wal.write(new_records, []) if new_records else []
        produced += self.receiver.handle_chunk(chunk)
        snapshot = self.wal.snapshot
        if snapshot is not None and snapshot is not previous:
            self.machine.restore(snapshot.state)
            self.applied = snapshot.index
        return produced

    def build_refusal(
        self, message: messages.AppendEntries | messages.SnapshotChunk
    ) -> effects.Send:
        """Return the reply that tells a leader of an older term about the newer one."""
        reply = messages.AppendReply(
            self.me, message.sender, self.wal.term, False, 0, message.sent_ms
        )
        return effects.Send(message.sender.name, reply)

    def on_follower_reply(
        self, reply: messages.AppendReply | messages.SnapshotReply
    ) -> parts.Effects:
        """Handle a follower's reply."""
        if reply.term > self.wal.term:
            return self.wal.write([self.enter_term(reply.term)], [])
        if self.leader_state is None or reply.term != self.wal.term:
            return []
        now_ms = self.clock.now_ms()
        sent: parts.Effects = []
        if isinstance(reply, messages.AppendReply):
            sent += self.leader_state.handle_append_reply(reply, now_ms)
        else:
            sent += self.leader_state.handle_snapshot_reply(reply, now_ms)
        return sent + self.after_sync()
