"""Log what changes in the decisions of a process, seen once a second."""

from __future__ import annotations

import dataclasses

import gevent

from knapweedbeam_core.control import control
from knapweedbeam_core.dispatch import dispatcher
from knapweedbeam_core.log import roles
from knapweedbeam_core.slots import kept
from knapweedbeam_server.logs import catalogue, emit

LOOK_S = 1.0
NO_LEADER_LOOKS = 5
ROLE_EVENTS = {
    roles.Role.LEADER: catalogue.REPLICA_LEADER,
    roles.Role.FOLLOWER: catalogue.REPLICA_FOLLOWER,
    roles.Role.CANDIDATE: catalogue.REPLICA_CANDIDATE,
}
WITHOUT_LEADER = frozenset({roles.Role.PRE_CANDIDATE, roles.Role.CANDIDATE})


@dataclasses.dataclass(frozen=True, slots=True)
class KeptView:
    """What is seen of an endpoint that is kept here."""

    incarnation: int
    slots: int
    leaving: bool = False
    silent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What is seen of a process at one moment; no role without a replica."""

    role: roles.Role | None = None
    term: int = 0
    is_learner: bool = False
    endpoints: dict[str, KeptView] = dataclasses.field(default_factory=dict)
    ejected: frozenset[str] = frozenset()
    live: frozenset[str] = frozenset()


def build_kept_view(known: kept.KeptEndpoint) -> KeptView:
    """Return what is seen of a kept endpoint."""
    record = known.record
    return KeptView(
        record.incarnation, record.slots, record.leaving, known.is_unresponsive
    )


def build_view(governing: control.Control, dispatching: dispatcher.Dispatcher) -> View:
    """Return what is seen now."""
    replica = governing.replica
    endpoints = {
        name: build_kept_view(known)
        for name, known in dispatching.slot_manager.keeper.endpoints.items()
        if not known.is_moved
    }
    ejected = dispatching.state.health.ejected.values()
    live = frozenset(process.name for process in dispatching.get_live())
    seen = View(None, 0, False, endpoints, frozenset().union(*ejected), live)
    if replica is None:
        return seen
    wal = replica.wal
    is_learner = replica.me in wal.latest_members.learners
    return dataclasses.replace(
        seen, role=replica.role, term=wal.term, is_learner=is_learner
    )


class Watch:
    """Compares what is seen with what was seen before, and logs the difference."""

    def __init__(self, me: str, domain: str, has_neighbours: bool) -> None:
        self.me = me
        self.domain = domain
        self.has_neighbours = has_neighbours
        self.before = View(live=frozenset({me}))
        self.looks_without_leader = 0

    def run(
        self, governing: control.Control, dispatching: dispatcher.Dispatcher
    ) -> None:
        """Look once a second for good."""
        while True:
            gevent.sleep(LOOK_S)
            self.look(build_view(governing, dispatching))

    def look(self, now: View) -> None:
        """Log what changed since the last look."""
        before, self.before = self.before, now
        self.log_role(before, now)
        self.log_quorum(now)
        self.log_live(before, now)
        self.log_health(before, now)
        for name, known in now.endpoints.items():
            self.log_endpoint(name, before.endpoints.get(name), known)
        if before.live == now.live:
            self.log_dropped(before, now)

    def log_role(self, before: View, now: View) -> None:
        """Log a change of the replica's role or term."""
        is_same = (before.role, before.term) == (now.role, now.term)
        if now.role is None or (is_same and before.is_learner == now.is_learner):
            return
        event = ROLE_EVENTS.get(now.role)
        if now.is_learner:
            emit.emit(catalogue.REPLICA_LEARNER, term=now.term)
        elif event is not None:
            emit.emit(event, term=now.term)

    def log_quorum(self, now: View) -> None:
        """Log once when the replica has looked for a leader for long."""
        if now.role not in WITHOUT_LEADER:
            self.looks_without_leader = 0
            return
        self.looks_without_leader += 1
        if self.looks_without_leader == NO_LEADER_LOOKS:
            emit.emit(catalogue.REPLICA_NO_QUORUM)

    def log_live(self, before: View, now: View) -> None:
        """Log when another set of entry VMs keeps the endpoints."""
        if before.live == now.live:
            return
        emit.emit(
            catalogue.KEEPER_CHANGED,
            keeper=self.me,
            endpoints=len(now.endpoints),
            domain=self.domain,
            live=" ".join(sorted(now.live)),
        )
        if self.has_neighbours and now.live == {self.me}:
            emit.emit(catalogue.SOLO_TICKETS, domain=self.domain)

    def log_health(self, before: View, now: View) -> None:
        """Log endpoints that were ejected or taken back."""
        for name in sorted(now.ejected - before.ejected):
            emit.emit(catalogue.ENDPOINT_EJECTED, endpoint=name)
        for name in sorted(before.ejected - now.ejected):
            emit.emit(catalogue.ENDPOINT_READMITTED, endpoint=name)

    def log_endpoint(self, name: str, before: KeptView | None, now: KeptView) -> None:
        """Log what became of a kept endpoint."""
        is_new = before is None or before.incarnation != now.incarnation
        was_silent = before is not None and before.silent
        if now.leaving:
            if before is not None and not before.leaving:
                emit.emit(catalogue.ENDPOINT_LEAVING, endpoint=name)
        elif now.silent:
            if not was_silent:
                emit.emit(catalogue.ENDPOINT_LOST, endpoint=name)
        elif is_new or was_silent:
            emit.emit(catalogue.ENDPOINT_UP, endpoint=name, slots=now.slots)

    def log_dropped(self, before: View, now: View) -> None:
        """Log endpoints that are lost: with the same keepers, they did not move on."""
        for name in sorted(before.endpoints.keys() - now.endpoints.keys()):
            known = before.endpoints[name]
            if not known.leaving and not known.silent:
                emit.emit(catalogue.ENDPOINT_LOST, endpoint=name)
