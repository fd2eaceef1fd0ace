"""Poll the state of a process once a second and log what changed."""

from __future__ import annotations

import dataclasses

import gevent

from knapweedbeam_core.control import control
from knapweedbeam_core.dispatch import dispatcher
from knapweedbeam_core.log import roles
from knapweedbeam_core.slots import kept
from knapweedbeam_server.logs import catalogue, emit

POLL_INTERVAL_S = 1.0
NO_LEADER_POLLS = 5
ROLE_EVENTS = {
    roles.Role.LEADER: catalogue.REPLICA_LEADER,
    roles.Role.FOLLOWER: catalogue.REPLICA_FOLLOWER,
    roles.Role.CANDIDATE: catalogue.REPLICA_CANDIDATE,
}
WITHOUT_LEADER = frozenset({roles.Role.PRE_CANDIDATE, roles.Role.CANDIDATE})


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointView:
    """The logged state of an endpoint whose keeper is this process."""

    incarnation: int
    slots: int
    leaving: bool = False
    is_unresponsive: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessView:
    """The logged state of a process; `role` is None without a replica."""

    role: roles.Role | None = None
    term: int = 0
    is_learner: bool = False
    endpoints: dict[str, EndpointView] = dataclasses.field(default_factory=dict)
    ejected: frozenset[str] = frozenset()
    live: frozenset[str] = frozenset()


def build_endpoint_view(endpoint: kept.KeptEndpoint) -> EndpointView:
    """Return the logged state of an endpoint."""
    record = endpoint.record
    return EndpointView(
        record.incarnation, record.slots, record.leaving, endpoint.is_unresponsive
    )


def build_view(
    control_part: control.Control, dispatcher_part: dispatcher.Dispatcher
) -> ProcessView:
    """Return the current state of the process."""
    replica = control_part.replica
    endpoints = {
        name: build_endpoint_view(endpoint)
        for name, endpoint in dispatcher_part.slot_manager.keeper.endpoints.items()
        if not endpoint.is_moved
    }
    ejected = dispatcher_part.state.health.ejected.values()
    live = frozenset(process.name for process in dispatcher_part.get_live())
    view = ProcessView(None, 0, False, endpoints, frozenset().union(*ejected), live)
    if replica is None:
        return view
    wal = replica.wal
    is_learner = replica.me in wal.latest_members.learners
    return dataclasses.replace(
        view, role=replica.role, term=wal.term, is_learner=is_learner
    )


class ChangeLogger:
    """Compares each state of the process with the previous one and logs changes."""

    def __init__(self, me: str, domain: str, has_neighbours: bool) -> None:
        self.me = me
        self.domain = domain
        self.has_neighbours = has_neighbours
        self.before = ProcessView(live=frozenset({me}))
        self.polls_without_leader = 0

    def run(
        self, control_part: control.Control, dispatcher_part: dispatcher.Dispatcher
    ) -> None:
        """Poll once a second until the process ends."""
        while True:
            gevent.sleep(POLL_INTERVAL_S)
            self.log_changes(build_view(control_part, dispatcher_part))

    def log_changes(self, now: ProcessView) -> None:
        """Log what changed since the last poll."""
        before, self.before = self.before, now
        self.log_role(before, now)
        self.log_quorum(now)
        self.log_live(before, now)
        self.log_health(before, now)
        for name, endpoint in now.endpoints.items():
            self.log_endpoint(name, before.endpoints.get(name), endpoint)
        if before.live == now.live:
            self.log_lost(before, now)

    def log_role(self, before: ProcessView, now: ProcessView) -> None:
        """Log a change of the replica's role, term or learner state."""
        is_same = (before.role, before.term) == (now.role, now.term)
        if now.role is None or (is_same and before.is_learner == now.is_learner):
            return
        event = ROLE_EVENTS.get(now.role)
        if now.is_learner:
            emit.emit(catalogue.REPLICA_LEARNER, term=now.term)
        elif event is not None:
            emit.emit(event, term=now.term)

    def log_quorum(self, now: ProcessView) -> None:
        """Log once if the replica is a candidate for `NO_LEADER_POLLS` polls on end."""
        if now.role not in WITHOUT_LEADER:
            self.polls_without_leader = 0
            return
        self.polls_without_leader += 1
        if self.polls_without_leader == NO_LEADER_POLLS:
            emit.emit(catalogue.REPLICA_NO_QUORUM)

    def log_live(self, before: ProcessView, now: ProcessView) -> None:
        """Log when the set of live entry VMs, which keep the endpoints, changes."""
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

    def log_health(self, before: ProcessView, now: ProcessView) -> None:
        """Log endpoints that were ejected or readmitted."""
        for name in sorted(now.ejected - before.ejected):
            emit.emit(catalogue.ENDPOINT_EJECTED, endpoint=name)
        for name in sorted(before.ejected - now.ejected):
            emit.emit(catalogue.ENDPOINT_READMITTED, endpoint=name)

    def log_endpoint(
        self, name: str, before: EndpointView | None, now: EndpointView
    ) -> None:
        """Log when an endpoint comes up, starts to leave or is lost."""
        is_new = before is None or before.incarnation != now.incarnation
        was_unresponsive = before is not None and before.is_unresponsive
        if now.leaving:
            if before is not None and not before.leaving:
                emit.emit(catalogue.ENDPOINT_LEAVING, endpoint=name)
        elif now.is_unresponsive:
            if not was_unresponsive:
                emit.emit(catalogue.ENDPOINT_LOST, endpoint=name)
        elif is_new or was_unresponsive:
            emit.emit(catalogue.ENDPOINT_UP, endpoint=name, slots=now.slots)

    def log_lost(self, before: ProcessView, now: ProcessView) -> None:
        """Log endpoints that disappeared.

        Called only while the set of keepers is unchanged, as the endpoints may else
        have moved to another keeper.
        """
        for name in sorted(before.endpoints.keys() - now.endpoints.keys()):
            endpoint = before.endpoints[name]
            if not endpoint.leaving and not endpoint.is_unresponsive:
                emit.emit(catalogue.ENDPOINT_LOST, endpoint=name)
