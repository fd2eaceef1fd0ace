"""When a replica stands for election, and whom it would vote for."""

from __future__ import annotations

import random

from knapweedbeam_core import clock, effects
from knapweedbeam_core.log import members, messages, wal

ELECTION_MIN_MS = 1_000
ELECTION_MAX_MS = 2_000


class Election:
    """The timer of the next election and the votes of the one that is on."""

    def __init__(
        self,
        me: members.ReplicaId,
        own: wal.WriteAheadLog,
        timer: clock.Clock,
        rng: random.Random,
    ) -> None:
        self.me = me
        self.wal = own
        self.clock = timer
        self.rng = rng
        self.votes: set[members.ReplicaId] = set()
        self.heard_ms = timer.now_ms()
        self.due_ms = 0
        self.arm()

    def arm(self) -> None:
        """Wait anew before the next election; a lone voter need not."""
        wait_ms = self.rng.randint(ELECTION_MIN_MS, ELECTION_MAX_MS)
        if self.wal.latest_members.voters == (self.me,):
            wait_ms = 0
        self.due_ms = self.clock.now_ms() + wait_ms

    def arm_first(self) -> None:
        """Wait a little before the first election of a new group."""
        self.due_ms = self.clock.now_ms() + self.rng.randint(0, ELECTION_MIN_MS)

    def hear_leader(self) -> None:
        """Note that a leader is there."""
        self.heard_ms = self.clock.now_ms()
        self.arm()

    def is_due(self) -> bool:
        """Say whether it is time to stand for election."""
        return self.clock.now_ms() >= self.due_ms

    def has_leader(self) -> bool:
        """Say whether a leader was heard so lately that votes are refused."""
        return self.clock.now_ms() - self.heard_ms < ELECTION_MIN_MS

    def is_won(self) -> bool:
        """Say whether a quorum voted."""
        return self.wal.latest_members.is_quorum(self.votes)

    def is_up_to_date(self, asked: messages.PreVote | messages.Vote) -> bool:
        """Say whether a candidate has at least this replica's log."""
        held = self.wal.entries
        candidate = (asked.last_term, asked.last_index)
        return candidate >= (held.last_term, held.last_index)

    def get_other_voters(self) -> list[members.ReplicaId]:
        """Return the voters beside this replica."""
        return [voter for voter in self.wal.latest_members.voters if voter != self.me]

    def ask_pre_votes(self) -> list[effects.Send]:
        """Ask the others whether they would vote for this replica."""
        held = self.wal.entries
        term = self.wal.term + 1
        return [
            effects.Send(
                voter.name,
                messages.PreVote(self.me, voter, term, held.last_index, held.last_term),
            )
            for voter in self.get_other_voters()
        ]

    def ask_votes(self) -> list[effects.Send]:
        """Ask the others for their votes in the term that was just entered."""
        held = self.wal.entries
        term = self.wal.term
        return [
            effects.Send(
                voter.name,
                messages.Vote(self.me, voter, term, held.last_index, held.last_term),
            )
            for voter in self.get_other_voters()
        ]
