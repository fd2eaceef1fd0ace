"""One process's replica of the replicated log, with its data folder and callers."""

from __future__ import annotations

import collections.abc
import dataclasses
import pathlib
import random

import gevent
import gevent.event
import gevent.queue

from knapweedbeam_core import clock, effects, reasons
from knapweedbeam_core.entry import parts
from knapweedbeam_core.evacuations import machine as evacuation_machine
from knapweedbeam_core.log import choosing, members, messages, replica, roles
from knapweedbeam_core.manifests import machine as manifest_machine
from knapweedbeam_core.stored import commands, machine
from knapweedbeam_server.fleet import supervising
from knapweedbeam_server.logs import catalogue, emit
from knapweedbeam_wire import store

# Shorter than the time after which an operator tries another process, so that the
# answer arrives before that.
COMMIT_TIMEOUT_S = 0.9
# Interval between attempts to use a full or broken disk again.
REOPEN_INTERVAL_S = 1.0
# Stored jobs of a few kilobytes arrive by the hundred per second, and a snapshot takes
# four syncs: this size gives about one snapshot every ten seconds.
COMPACT_BYTES = 2 * 1024 * 1024
ORDER_NUMBER_BITS = 62

Send = collections.abc.Callable[[effects.Send], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """The change is committed, or a manifest with a higher version was before."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotLeader:
    """Another replica leads; `name` is empty if the leader is unknown."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unclear:
    """The change may or may not be committed later."""

    reason: reasons.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class NewestManifest:
    """The newest committed manifest; version 0 if there is none."""

    stored: manifest_machine.StoredManifest


class ReplicatedLog:
    """Runs a replica on a data folder and proposes the changes of its callers."""

    def __init__(
        self,
        name: str,
        initial_names: tuple[str, ...],
        folder: pathlib.Path,
        timer: clock.Clock,
        rng: random.Random,
        send: Send,
        on_applied: collections.abc.Callable[[], None],
        tolerated_losses: int = 1,
    ) -> None:
        self.name = name
        self.initial_names = initial_names
        self.folder = folder
        self.clock = timer
        self.started_ms = timer.now_ms()
        self.rng = rng
        self.send = send
        self.on_applied = on_applied
        self.tolerated_losses = tolerated_losses
        self.last_progress = (0, 0)
        self.machine = machine.DeploymentStateMachine()
        self.targets: frozenset[str] = frozenset(initial_names)
        self.replica: replica.Replica | None = None
        self.store: store.Store | None = None
        self.writes: gevent.queue.Queue[parts.Persist] = gevent.queue.Queue()
        self.applied = gevent.event.Event()
        self.logged_role: tuple[str, int, str] = ("", 0, "")
        self.logged_members = members.Members()

    def start(self, supervisor: supervising.Supervisor) -> None:
        """Open the data folder and start to write to it."""
        self.open()
        supervisor.spawn("writes", self.write_forever)

    def open(self) -> bool:
        """Build the replica from the data folder; return whether that succeeded."""
        opened = store.Store(self.folder)
        restored = opened.load()
        if isinstance(restored, store.StoreFailure):
            emit.emit(catalogue.LOG_STORE_LOST, detail=restored.detail)
            return False
        me = members.ReplicaId(self.name, restored.identity)
        self.machine = machine.DeploymentStateMachine()
        self.store = opened
        self.writes = gevent.queue.Queue()
        self.replica = replica.Replica(
            me,
            self.initial_names,
            restored,
            self.machine,
            self.clock,
            self.rng,
            compact_bytes=COMPACT_BYTES,
        )
        self.replica.set_targets(self.targets)
        emit.emit(catalogue.LOG_STORE_BACK, identity=restored.identity)
        return True

    def write_forever(self) -> None:
        """Write batch after batch; reopen the folder after a failure."""
        while True:
            if self.store is None or self.replica is None:
                gevent.sleep(REOPEN_INTERVAL_S)
                self.open()
                continue
            own_store, own_replica = self.store, self.replica
            persist = self.get_next_batch()
            failure = own_store.apply(persist)
            if failure is not None:
                self.handle_store_failure(failure)
            elif self.replica is own_replica:
                self.run(own_replica.persisted(persist.batch))

    def get_next_batch(self) -> parts.Persist:
        """Wait for writes; return those up to the next snapshot as one synced batch."""
        first: parts.Persist = self.writes.get()
        records = list(first.records)
        batch = first.batch
        while not self.writes.empty() and not self.writes.peek().snapshot:
            more = self.writes.get()
            records += more.records
            batch = more.batch
        return dataclasses.replace(first, batch=batch, records=tuple(records))

    def handle_store_failure(self, failure: store.StoreFailure) -> None:
        """Stop the replica until the data folder can be used again."""
        emit.emit(catalogue.LOG_STORE_LOST, detail=failure.detail)
        if self.replica is not None:
            self.replica.stop()
        self.replica = None
        self.store = None

    def run(self, produced: parts.Effects) -> None:
        """Carry out the effects of the replica."""
        for effect in produced:
            if isinstance(effect, effects.Send):
                self.send(effect)
            elif isinstance(effect, parts.Persist):
                self.writes.put(effect)
        self.log_role_change()
        self.log_member_change()
        progress = (self.machine.batches, self.machine.restores)
        if progress != self.last_progress:
            self.last_progress = progress
            self.on_applied()
        self.applied.set()
        self.applied.clear()

    def log_role_change(self) -> None:
        """Log a change of role, term or leader, unless this replica is a candidate."""
        if self.replica is None:
            return
        current = self.replica
        leader = current.leader.name if current.leader is not None else ""
        role = (str(current.role), current.wal.term, leader)
        if current.role in (roles.Role.PRE_CANDIDATE, roles.Role.CANDIDATE):
            return
        if role == self.logged_role:
            return
        self.logged_role = role
        emit.emit(
            catalogue.LOG_ROLE,
            role=role[0],
            term=role[1],
            leader=leader,
            voters=len(current.wal.latest_members.voters),
        )

    def log_member_change(self) -> None:
        """Log a change of the voters or learners, whether or not it is committed."""
        if self.replica is None:
            return
        current = self.replica.wal.latest_members
        if current == self.logged_members:
            return
        self.logged_members = current
        emit.emit(
            catalogue.LOG_MEMBERS,
            index=self.replica.wal.latest_members_index,
            voters=" ".join(sorted(voter.name for voter in current.voters)),
            learners=" ".join(sorted(learner.name for learner in current.learners)),
        )

    def tick(self) -> None:
        """Do what is due in the replica."""
        if self.replica is not None:
            self.run(self.replica.tick())

    def update_targets(self, core_vms: list[choosing.ControlVm]) -> None:
        """Choose the control VMs that replicate the log."""
        if self.replica is None:
            return
        voters = {voter.name for voter in self.replica.wal.latest_members.voters}
        uptime_ms = self.clock.now_ms() - self.started_ms
        names = choosing.find_targets(
            voters, self.initial_names, core_vms, uptime_ms, self.tolerated_losses
        )
        if names != self.targets:
            self.targets = names
            self.replica.set_targets(names)

    def step_down(self) -> None:
        """Give up leadership, so that another replica leads before this one stops."""
        if self.replica is not None and self.replica.is_leader:
            self.run(self.replica.hand_over())

    def on_message(self, message: messages.Message) -> None:
        """Handle a message of another replica."""
        if self.replica is not None:
            self.run(self.replica.on_message(message))

    def get_leader(self) -> str:
        """Return the name of the leader, empty if unknown."""
        if self.replica is None or self.replica.leader is None:
            return ""
        return self.replica.leader.name

    def has_leader(self) -> bool:
        """Return whether this replica leads or is in contact with the leader."""
        return self.replica is not None and self.replica.has_leader()

    def is_caught_up_leader(self) -> bool:
        """Return whether this replica leads and surely holds the newest entries."""
        current = self.replica
        return current is not None and current.is_leader and current.is_caught_up

    def propose(self, version: int, body: bytes) -> Taken | NotLeader | Unclear:
        """Commit a manifest; wait until a quorum has it on disk."""
        if not self.is_caught_up_leader():
            return self.build_not_leader()
        if self.get_version() >= version:
            return Taken()
        stored = manifest_machine.StoredManifest(version, body)
        return self.commit(stored, lambda: self.get_version() >= version)

    def propose_evacuation(
        self, domain: str, is_evacuated: bool
    ) -> Taken | NotLeader | Unclear:
        """Commit an order to evacuate a failure domain, or to end that.

        One that seems in force goes through the log too: the opposite order may be on
        its way there, and a replica that no longer leads must not acknowledge.
        """
        if not self.is_caught_up_leader():
            return self.build_not_leader()
        number = self.rng.getrandbits(ORDER_NUMBER_BITS)
        order = evacuation_machine.EvacuationOrder(domain, is_evacuated, number)
        return self.commit(order, lambda: self.machine.evacuations.has_applied(number))

    def build_not_leader(self) -> NotLeader:
        """Return the leader, without a name if it is unknown."""
        leader = self.get_leader()
        return NotLeader(leader if leader != self.name else "")

    def commit(
        self,
        command: commands.Command,
        is_applied: collections.abc.Callable[[], bool],
    ) -> Taken | Unclear:
        """Append a command to the log and wait until it is applied."""
        self.propose_batch(commands.Batch(self.clock.wall_ms(), (command,)))
        deadline_ms = self.clock.now_ms() + int(COMMIT_TIMEOUT_S * clock.SECOND_MS)
        while not is_applied():
            left_ms = deadline_ms - self.clock.now_ms()
            if left_ms <= 0 or self.replica is None:
                return Unclear(reasons.Reason.NO_QUORUM)
            self.applied.wait(left_ms / clock.SECOND_MS)
        return Taken()

    def get_version(self) -> int:
        """Return the version of the newest committed manifest."""
        return self.machine.manifests.stored.version

    def propose_batch(self, batch: commands.Batch) -> None:
        """Append a batch of commands to the log if this replica leads it."""
        if self.replica is not None and self.replica.leader_state is not None:
            self.run(self.replica.propose(commands.ENCODER.encode(batch)))

    def read(self) -> NewestManifest | NotLeader:
        """Return the newest manifest if this replica surely has it, else the leader."""
        if self.is_caught_up_leader():
            return NewestManifest(self.machine.manifests.stored)
        return self.build_not_leader()
