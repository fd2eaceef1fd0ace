"""Which change of the replicas is due next; one is made at a time."""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core.log import leader_state, members

HELLO_FRESH_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Applicant:
    """A replica outside the group, and when it last said so."""

    replica: members.ReplicaId
    heard_ms: int


def find_change(
    group: members.Members,
    targets: collections.abc.Container[str],
    applicants: collections.abc.Iterable[Applicant],
    leader: leader_state.LeaderState,
    now_ms: int,
) -> members.Members | None:
    """Return the group after the next change, or none when nothing is due."""
    caught_up = find_caught_up(group, targets, leader, now_ms)
    surplus = find_surplus(group, targets, caught_up)
    silent = [r for r in surplus if not is_heard(r, leader, now_ms)]
    if silent and len(group.voters) > 1:
        return group.remove(silent[0])
    if caught_up and not find_namesakes(group, caught_up[0]):
        return group.promote(caught_up[0])
    if surplus and (len(group.voters) > 1 or surplus[0] in group.learners):
        return group.remove(surplus[0])
    known = set(group.everyone)
    for applicant in applicants:
        is_fresh = now_ms - applicant.heard_ms <= HELLO_FRESH_MS
        replica = applicant.replica
        if is_fresh and replica.name in targets and replica not in known:
            return group.add_learner(replica)
    return None


def find_caught_up(
    group: members.Members,
    targets: collections.abc.Container[str],
    leader: leader_state.LeaderState,
    now_ms: int,
) -> list[members.ReplicaId]:
    """Return the learners that hold everything and are to be voters."""
    return [
        learner
        for learner in group.learners
        if learner.name in targets
        and leader.get_progress(learner).match >= leader.wal.committed
        and is_heard(learner, leader, now_ms)
    ]


def find_surplus(
    group: members.Members,
    targets: collections.abc.Container[str],
    caught_up: collections.abc.Sequence[members.ReplicaId],
) -> list[members.ReplicaId]:
    """Return replicas to remove: not wanted, or replaced by a newer folder."""
    newest = {learner.name: learner for learner in group.learners}
    surplus = [r for r in group.everyone if r.name not in targets]
    surplus += [r for r in group.learners if newest[r.name] != r]
    ready = {learner.name for learner in caught_up}
    surplus += [voter for voter in group.voters if voter.name in ready]
    return surplus


def find_namesakes(
    group: members.Members, replica: members.ReplicaId
) -> list[members.ReplicaId]:
    """Return the voters that are earlier data folders of the same VM."""
    return [voter for voter in group.voters if voter.name == replica.name]


def is_heard(
    replica: members.ReplicaId, leader: leader_state.LeaderState, now_ms: int
) -> bool:
    """Say whether a replica answered this leader lately."""
    if replica == leader.me:
        return True
    heard_ms = leader.get_progress(replica).acked_ms
    return now_ms - heard_ms <= leader_state.LEASE_MS
