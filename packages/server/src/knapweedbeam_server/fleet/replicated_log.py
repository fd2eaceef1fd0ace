"""The replicated log of a deployment: the replica, its data folder and its callers."""

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
from knapweedbeam_core.log import choosing, members, messages, replica, roles
from knapweedbeam_core.manifests import machine as manifest_machine
from knapweedbeam_core.stored import commands, machine
from knapweedbeam_server.fleet import supervising
from knapweedbeam_server.logs import catalogue, emit
from knapweedbeam_wire import store

# Within the time after which an operator asks another process, less its way back.
COMMIT_TIMEOUT_S = 0.9
# A disk that is full or broken is tried again this often.
REOPEN_S = 1.0
# Stored jobs of some kilobytes come by the hundred a second, and a snapshot takes four
# syncs: one each ten seconds or so.
COMPACT_BYTES = 2 * 1024 * 1024

Send = collections.abc.Callable[[effects.Send], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """The manifest is committed, or a higher one was before."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotLeader:
    """Another replica leads; `name` is empty when none is known."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unclear:
    """The change may or may not be committed later."""

    reason: reasons.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class NewestManifest:
    """The newest committed manifest; version 0 when there is none."""

    stored: manifest_machine.StoredManifest


class ReplicatedLog:
    """One replica over one data folder."""

    def __init__(
        self,
        name: str,
        founders: tuple[str, ...],
        folder: pathlib.Path,
        timer: clock.Clock,
        rng: random.Random,
        send: Send,
        on_applied: collections.abc.Callable[[], None],
    ) -> None:
        self.name = name
        self.founders = founders
        self.folder = folder
        self.clock = timer
        self.started_ms = timer.now_ms()
        self.rng = rng
        self.send = send
        self.on_applied = on_applied
        self.seen_progress = (0, 0)
        self.machine = machine.DeploymentStateMachine()
        self.targets: frozenset[str] = frozenset(founders)
        self.replica: replica.Replica | None = None
        self.store: store.Store | None = None
        self.writes: gevent.queue.Queue[parts.Persist] = gevent.queue.Queue()
        self.applied = gevent.event.Event()
        self.seen_role: tuple[str, int, str] = ("", 0, "")

    def start(self, supervisor: supervising.Supervisor) -> None:
        """Open the data folder and take part."""
        self.open()
        supervisor.spawn("writes", self.write_forever)

    def open(self) -> bool:
        """Build the replica from what the data folder holds."""
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
            self.founders,
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
        """Write batch after batch; open the folder anew after a failure."""
        while True:
            if self.store is None or self.replica is None:
                gevent.sleep(REOPEN_S)
                self.open()
                continue
            own, log = self.store, self.replica
            persist = self.get_writes()
            failure = own.apply(persist)
            if failure is not None:
                self.lose_store(failure)
            elif self.replica is log:
                self.run(log.persisted(persist.batch))

    def get_writes(self) -> parts.Persist:
        """Return all that waits to be written, as one batch that takes one sync."""
        first: parts.Persist = self.writes.get()
        records = list(first.records)
        batch = first.batch
        while not self.writes.empty() and not self.writes.peek().snapshot:
            more = self.writes.get()
            records += more.records
            batch = more.batch
        return dataclasses.replace(first, batch=batch, records=tuple(records))

    def lose_store(self, failure: store.StoreFailure) -> None:
        """Take no part until the data folder can be used again."""
        emit.emit(catalogue.LOG_STORE_LOST, detail=failure.detail)
        if self.replica is not None:
            self.replica.stop()
        self.replica = None
        self.store = None

    def run(self, produced: parts.Effects) -> None:
        """Carry out what the replica asks for."""
        for effect in produced:
            if isinstance(effect, effects.Send):
                self.send(effect)
            elif isinstance(effect, parts.Persist):
                self.writes.put(effect)
        self.note_role()
        progress = (self.machine.batches, self.machine.restores)
        if progress != self.seen_progress:
            self.seen_progress = progress
            self.on_applied()
        self.applied.set()
        self.applied.clear()

    def note_role(self) -> None:
        """Log a change of what this replica is."""
        if self.replica is None:
            return
        own = self.replica
        leader = own.leader.name if own.leader is not None else ""
        role = (str(own.role), own.wal.term, leader)
        if own.role in (roles.Role.PRE_CANDIDATE, roles.Role.CANDIDATE):
            return
        if role == self.seen_role:
            return
        self.seen_role = role
        emit.emit(
            catalogue.LOG_ROLE,
            role=role[0],
            term=role[1],
            leader=leader,
            voters=len(own.wal.latest_members.voters),
        )

    def tick(self) -> None:
        """Do what is due."""
        if self.replica is not None:
            self.run(self.replica.tick())

    def update_targets(self, known: list[choosing.ControlVm]) -> None:
        """Choose the control VMs that are to share the log."""
        if self.replica is None:
            return
        voters = {voter.name for voter in self.replica.wal.latest_members.voters}
        heard = {each.name for each in known}
        uptime_ms = self.clock.now_ms() - self.started_ms
        unheard = [
            choosing.ControlVm(name, uptime_ms) for name in sorted(voters - heard)
        ]
        names = choosing.select_replicas(voters | set(self.founders), known + unheard)
        if names != self.targets:
            self.targets = names
            self.replica.set_targets(names)

    def leave(self) -> None:
        """Lead no longer, so that another replica is elected before this one ends."""
        if self.replica is not None and self.replica.is_leader:
            self.replica.step_down()

    def on_message(self, message: messages.Message) -> None:
        """Take a message of another replica."""
        if self.replica is not None:
            self.run(self.replica.on_message(message))

    def get_leader(self) -> str:
        """Return the name of the leader, empty when none is known."""
        if self.replica is None or self.replica.leader is None:
            return ""
        return self.replica.leader.name

    def has_leader(self) -> bool:
        """Say whether the log has a leader that this replica hears, or is one."""
        return self.replica is not None and self.replica.has_leader()

    def is_caught_up_leader(self) -> bool:
        """Say whether what this replica holds is surely the newest."""
        own = self.replica
        return own is not None and own.is_leader and own.is_caught_up

    def propose(self, version: int, body: bytes) -> Taken | NotLeader | Unclear:
        """Commit a manifest; waits for a quorum's disks."""
        if not self.is_caught_up_leader():
            leader = self.get_leader()
            return NotLeader(leader if leader != self.name else "")
        assert self.replica is not None
        if self.get_version() >= version:
            return Taken()
        stored = manifest_machine.StoredManifest(version, body)
        self.propose_batch(commands.Batch(self.clock.wall_ms(), (stored,)))
        deadline_ms = self.clock.now_ms() + int(COMMIT_TIMEOUT_S * clock.SECOND_MS)
        while self.get_version() < version:
            left_ms = deadline_ms - self.clock.now_ms()
            if left_ms <= 0 or self.replica is None:
                return Unclear(reasons.Reason.NO_QUORUM)
            self.applied.wait(left_ms / clock.SECOND_MS)
        return Taken()

    def get_version(self) -> int:
        """Return the version of the newest committed manifest."""
        return self.machine.manifests.stored.version

    def propose_batch(self, batch: commands.Batch) -> None:
        """Add a batch of commands to the log; this replica must lead it."""
        if self.replica is not None and self.replica.leader_state is not None:
            self.run(self.replica.propose(commands.ENCODER.encode(batch)))

    def read(self) -> NewestManifest | NotLeader:
        """Return the newest manifest if this replica surely holds it."""
        if self.is_caught_up_leader():
            return NewestManifest(self.machine.manifests.stored)
        leader = self.get_leader()
        return NotLeader(leader if leader != self.name else "")
