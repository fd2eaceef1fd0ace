"""Simulated control VMs, each with a replica of the log and its disk."""

from __future__ import annotations

import random

from control import cluster

from knapweedbeam_core import clock, effects
from knapweedbeam_core.entry import parts
from knapweedbeam_core.log import choosing, members, replica

STEP_MS = 10
UPDATE_MS = 200
LATENCY_MS = (1, 5)
SYNC_MS = (9, 20)
# A VM that starts learns of the others within this time.
DISCOVERY_MS = 300


class CommandList:
    """A state machine that keeps all commands."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, data: bytes) -> None:
        self.commands.append(data)

    def take_snapshot(self) -> bytes:
        return b"\n".join(self.commands)

    def restore(self, state: bytes) -> None:
        self.commands = state.split(b"\n") if state else []


class ControlVm:
    """One control VM; `heard_ms` is when it last heard each of the others."""

    def __init__(self, name: str, initial_names: tuple[str, ...]) -> None:
        self.name = name
        self.initial_names = initial_names
        self.id = members.ReplicaId(name, f"disk of {name}")
        self.disk = cluster.Disk(self.id.identity)
        self.machine = CommandList()
        self.replica: replica.Replica | None = None
        self.started_ms = 0
        self.heard_ms: dict[str, int] = {}

    def is_leader(self) -> bool:
        """Return whether this VM leads and may answer reads."""
        current = self.replica
        return current is not None and current.is_leader and current.is_caught_up


class Deployment:
    """Control VMs in virtual time, which fail, return and are replaced.

    The first `founder_count` of them found the log; `committed` are the commands that a
    leader has acknowledged. The VMs in `cut_off` hear only each other.
    """

    def __init__(
        self,
        vm_count: int,
        founder_count: int = 3,
        seed: int = 1,
        tolerated_losses: int = 1,
    ) -> None:
        self.tolerated_losses = tolerated_losses
        self.rng = random.Random(seed)
        self.clock = clock.ManualClock(100_000, 1_700_000_000_000)
        self.vms: dict[str, ControlVm] = {}
        self.messages: list[tuple[int, str, str, effects.Message]] = []
        self.committed: list[bytes] = []
        self.cut_off: frozenset[str] = frozenset()
        self.proposed = 0
        self.update_due_ms = 0
        founders = tuple(f"v{number}" for number in range(founder_count))
        for number in range(vm_count):
            self.add(f"v{number}", founders)

    @property
    def now_ms(self) -> int:
        """Return the time."""
        return self.clock.now_ms()

    def add(self, name: str, founders: tuple[str, ...] = ()) -> None:
        """Add a VM with an empty disk; one that is added later founds no log."""
        self.vms[name] = ControlVm(name, founders)
        self.start(name)

    def start(self, name: str) -> None:
        """Start the process of a VM with what is on its disk."""
        vm = self.vms[name]
        vm.started_ms = self.now_ms
        vm.heard_ms = {}
        vm.machine = CommandList()
        vm.replica = replica.Replica(
            vm.id,
            vm.initial_names,
            vm.disk.load(),
            vm.machine,
            self.clock,
            random.Random(self.rng.random()),
        )

    def kill(self, *names: str) -> None:
        """Cut the power of VMs: what was not synced is lost."""
        for name in names:
            vm = self.vms[name]
            vm.replica = None
            vm.disk.crash(self.rng)

    def remove(self, name: str) -> None:
        """Remove a VM for good."""
        self.kill(name)
        del self.vms[name]

    def cut(self, *names: str) -> None:
        """Cut VMs off from all others, or end the cut if none is named."""
        self.cut_off = frozenset(names)

    def is_connected(self, name: str, other: str) -> bool:
        """Return whether two VMs hear each other."""
        return (name in self.cut_off) == (other in self.cut_off)

    def get_running(self) -> list[ControlVm]:
        """Return the VMs that run."""
        return [vm for vm in self.vms.values() if vm.replica is not None]

    def find_leader(self) -> ControlVm | None:
        """Return the VM that leads the log, None if there is none."""
        return next((vm for vm in self.get_running() if vm.is_leader()), None)

    def get_voter_names(self) -> list[str]:
        """Return the names of the voters that the leader knows."""
        leader = self.find_leader()
        if leader is None or leader.replica is None:
            return []
        return sorted(v.name for v in leader.replica.wal.latest_members.voters)

    def commit(self, timeout_ms: int, command: bytes = b"") -> bool:
        """Propose a command until it is committed; return whether it was in time."""
        self.proposed += 1
        command = command or b"c%d" % self.proposed
        until_ms = self.now_ms + timeout_ms
        proposed_by: ControlVm | None = None
        while self.now_ms < until_ms:
            leader = self.find_leader()
            if leader is not None and command in leader.machine.commands:
                self.committed.append(command)
                return True
            if leader is not None and leader is not proposed_by:
                assert leader.replica is not None
                self.carry_out(leader, leader.replica.propose(command))
                proposed_by = leader
            self.step()
        return False

    def advance(self, by_ms: int) -> None:
        """Let time pass."""
        until_ms = self.now_ms + by_ms
        while self.now_ms < until_ms:
            self.step()

    def step(self) -> None:
        """Deliver messages, finish syncs and tick, once."""
        self.clock.advance(STEP_MS)
        due = [each for each in self.messages if each[0] <= self.now_ms]
        self.messages = [each for each in self.messages if each[0] > self.now_ms]
        for _, sender, to, message in due:
            self.deliver(sender, to, message)
        is_update_due = self.now_ms >= self.update_due_ms
        if is_update_due:
            self.update_due_ms = self.now_ms + UPDATE_MS
        for vm in self.get_running():
            self.finish_syncs(vm)
            if is_update_due:
                self.update_targets(vm)
            assert vm.replica is not None
            self.carry_out(vm, vm.replica.tick())

    def update_targets(self, vm: ControlVm) -> None:
        """Tell a replica which control VMs should replicate the log."""
        assert vm.replica is not None
        for other in self.get_running():
            is_known = self.now_ms - max(other.started_ms, vm.started_ms) > DISCOVERY_MS
            if is_known and self.is_connected(vm.name, other.name):
                vm.heard_ms[other.name] = self.now_ms
        vm.heard_ms[vm.name] = self.now_ms
        contacts = [
            choosing.ControlVm(name, self.now_ms - heard_ms)
            for name, heard_ms in vm.heard_ms.items()
        ]
        uptime_ms = self.now_ms - vm.started_ms
        voters = {voter.name for voter in vm.replica.wal.latest_members.voters}
        vm.replica.set_targets(
            choosing.find_targets(
                voters, vm.initial_names, contacts, uptime_ms, self.tolerated_losses
            )
        )

    def deliver(self, sender: str, to: str, message: effects.Message) -> None:
        """Deliver a message if its receiver runs."""
        vm = self.vms.get(to)
        if vm is None or not self.is_connected(sender, to):
            return
        if vm.replica is not None:
            self.carry_out(vm, vm.replica.on_message(message))  # type: ignore[arg-type]

    def finish_syncs(self, vm: ControlVm) -> None:
        """Complete the writes whose sync is over."""
        while vm.disk.unsynced and vm.disk.unsynced[0][0] <= self.now_ms:
            _, persist = vm.disk.unsynced.pop(0)
            vm.disk.sync(persist)
            assert vm.replica is not None
            self.carry_out(vm, vm.replica.persisted(persist.batch))

    def carry_out(self, vm: ControlVm, produced: parts.Effects) -> None:
        """Send messages and start writes."""
        for effect in produced:
            if isinstance(effect, effects.Send):
                due_ms = self.now_ms + self.rng.randint(*LATENCY_MS)
                self.messages.append((due_ms, vm.name, effect.to, effect.message))
            elif isinstance(effect, parts.Persist):
                due_ms = self.now_ms + self.rng.randint(*SYNC_MS)
                vm.disk.unsynced.append((due_ms, effect))
