"""Choice of the next change of the log's members; one change is made at a time."""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core.log import leader_state, members

HELLO_VALID_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Applicant:
    """A replica that is not a member, and when its last hello was received."""

    replica: members.ReplicaId
    received_ms: int


def find_next_change(
    group: members.Members,
    targets: collections.abc.Container[str],
    applicants: collections.abc.Iterable[Applicant],
    leader: leader_state.LeaderState,
    now_ms: int,
) -> members.Members | None:
    """Return the members after the next change, or None if no change is due."""
    caught_up = find_caught_up(group, targets, leader, now_ms)
    surplus = find_surplus(group, targets, caught_up)
    unresponsive = [r for r in surplus if not is_responsive(r, leader, now_ms)]
    if unresponsive and len(group.voters) > 1:
        return group.remove(unresponsive[0])
    if caught_up and not find_replaced_voters(group, caught_up[0]):
        return group.promote(caught_up[0])
    if surplus and (len(group.voters) > 1 or surplus[0] in group.learners):
        return group.remove(surplus[0])
    current = set(group.all_replicas)
    for applicant in applicants:
        is_fresh = now_ms - applicant.received_ms <= HELLO_VALID_MS
        replica = applicant.replica
        if is_fresh and replica.name in targets and replica not in current:
            return group.add_learner(replica)
    return None


def find_caught_up(
    group: members.Members,
    targets: collections.abc.Container[str],
    leader: leader_state.LeaderState,
    now_ms: int,
) -> list[members.ReplicaId]:
    """Return the learners that hold all committed entries and should become voters."""
    return [
        learner
        for learner in group.learners
        if learner.name in targets
        and leader.get_progress(learner).match >= leader.wal.committed
        and is_responsive(learner, leader, now_ms)
    ]


def find_surplus(
    group: members.Members,
    targets: collections.abc.Container[str],
    caught_up: collections.abc.Sequence[members.ReplicaId],
) -> list[members.ReplicaId]:
    """Return replicas to remove: not in `targets`, or with a newer data folder.

    A voter is replaced only once the learner with the newer folder has caught up.
    """
    newest = {learner.name: learner for learner in group.learners}
    surplus = [r for r in group.all_replicas if r.name not in targets]
    surplus += [r for r in group.learners if newest[r.name] != r]
    caught_up_names = {learner.name for learner in caught_up}
    surplus += [voter for voter in group.voters if voter.name in caught_up_names]
    return surplus


def find_replaced_voters(
    group: members.Members, replica: members.ReplicaId
) -> list[members.ReplicaId]:
    """Return the voters on the same VM as `replica`, which have an older data folder.

    They must be removed before `replica` is promoted.
    """
    return [voter for voter in group.voters if voter.name == replica.name]


def is_responsive(
    replica: members.ReplicaId, leader: leader_state.LeaderState, now_ms: int
) -> bool:
    """Return whether a replica has answered this leader within the lease time."""
    if replica == leader.me:
        return True
    acked_ms = leader.get_progress(replica).acked_ms
    return now_ms - acked_ms <= leader_state.LEASE_MS
