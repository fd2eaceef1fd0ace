"""The members of the log: its replicas, and which of them vote."""

from __future__ import annotations

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ReplicaId:
    """A control VM together with the identity of its data folder."""

    name: str
    identity: str


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """The voters, and the learners, which receive the log but do not vote."""

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()

    @property
    def all_replicas(self) -> tuple[ReplicaId, ...]:
        """Return the voters and the learners."""
        return self.voters + self.learners

    def is_quorum(self, replicas: collections.abc.Container[ReplicaId]) -> bool:
        """Return whether `replicas` contain a majority of the voters."""
        count = sum(voter in replicas for voter in self.voters)
        return 2 * count > len(self.voters)

    def get_quorum_value(self, values: dict[ReplicaId, int]) -> int:
        """Return the greatest value that a majority of the voters has reached."""
        ranked = sorted((values.get(voter, 0) for voter in self.voters), reverse=True)
        return ranked[len(ranked) // 2] if ranked else 0

    def add_learner(self, replica: ReplicaId) -> Members:
        """Return the members with one more learner."""
        return Members(self.voters, (*self.learners, replica))

    def promote(self, replica: ReplicaId) -> Members:
        """Return the members with a learner made a voter."""
        learners = tuple(other for other in self.learners if other != replica)
        return Members((*self.voters, replica), learners)

    def remove(self, replica: ReplicaId) -> Members:
        """Return the members without one replica."""
        return Members(
            tuple(other for other in self.voters if other != replica),
            tuple(other for other in self.learners if other != replica),
        )
