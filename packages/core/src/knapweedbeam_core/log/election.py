"""Timing of elections, and the votes that a replica requests and grants."""

from __future__ import annotations

import random

from knapweedbeam_core import clock, effects
from knapweedbeam_core.log import members, messages, wal

ELECTION_MIN_MS = 1_000
ELECTION_MAX_MS = 2_000
# A replica that grants a pre-vote leaves this time for the election that follows.
GRANTED_MIN_MS = 300
GRANTED_MAX_MS = 600


class Election:
    """The timer of the next election and the votes in the current one."""

    def __init__(
        self,
        me: members.ReplicaId,
        write_ahead_log: wal.WriteAheadLog,
        timer: clock.Clock,
        rng: random.Random,
    ) -> None:
        self.me = me
        self.wal = write_ahead_log
        self.clock = timer
        self.rng = rng
        self.votes: set[members.ReplicaId] = set()
        self.leader_contact_ms = timer.now_ms()
        self.due_ms = 0
        self.reset_timer()

    def reset_timer(self) -> None:
        """Restart the random election timeout; it is 0 for the only voter."""
        wait_ms = self.rng.randint(ELECTION_MIN_MS, ELECTION_MAX_MS)
        if self.wal.latest_members.voters == (self.me,):
            wait_ms = 0
        self.due_ms = self.clock.now_ms() + wait_ms

    def reset_first_timer(self) -> None:
        """Start a shorter random timeout before the first election of a new log."""
        self.due_ms = self.clock.now_ms() + self.rng.randint(0, ELECTION_MIN_MS)

    def record_leader_contact(self) -> None:
        """Record a message from a leader, and restart the election timeout."""
        self.leader_contact_ms = self.clock.now_ms()
        self.reset_timer()

    def forget_leader(self) -> None:
        """Vote from now on, as the leader has given up its lease."""
        self.leader_contact_ms = self.clock.now_ms() - ELECTION_MIN_MS

    def defer_to_candidate(self) -> None:
        """Delay the own candidacy, as two at once would split the votes."""
        wait_ms = self.rng.randint(GRANTED_MIN_MS, GRANTED_MAX_MS)
        self.due_ms = max(self.due_ms, self.clock.now_ms() + wait_ms)

    def is_due(self) -> bool:
        """Return whether the election timeout has passed."""
        return self.clock.now_ms() >= self.due_ms

    def has_leader(self) -> bool:
        """Return whether a leader was active so recently that votes are refused."""
        return self.clock.now_ms() - self.leader_contact_ms < ELECTION_MIN_MS

    def is_won(self) -> bool:
        """Return whether a quorum has voted for this replica."""
        return self.wal.latest_members.is_quorum(self.votes)

    def is_up_to_date(self, request: messages.PreVote | messages.Vote) -> bool:
        """Return whether a candidate's log is at least as complete as this one's."""
        log_entries = self.wal.entries
        candidate = (request.last_term, request.last_index)
        return candidate >= (log_entries.last_term, log_entries.last_index)

    def get_other_voters(self) -> list[members.ReplicaId]:
        """Return the voters except this replica."""
        return [voter for voter in self.wal.latest_members.voters if voter != self.me]

    def request_pre_votes(self) -> list[effects.Send]:
        """Ask the other voters whether they would vote for this replica."""
        log_entries = self.wal.entries
        term = self.wal.term + 1
        return [
            effects.Send(
                voter.name,
                messages.PreVote(
                    self.me, voter, term, log_entries.last_index, log_entries.last_term
                ),
            )
            for voter in self.get_other_voters()
        ]

    def request_votes(self) -> list[effects.Send]:
        """Ask the other voters for their votes in the current term."""
        log_entries = self.wal.entries
        term = self.wal.term
        return [
            effects.Send(
                voter.name,
                messages.Vote(
                    self.me, voter, term, log_entries.last_index, log_entries.last_term
                ),
            )
            for voter in self.get_other_voters()
        ]
