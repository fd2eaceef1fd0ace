"""Starts the processes of a deployment, rolls out its first bundle and stops them."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import signal
import time

import gevent
import msgspec
from gevent import socket

from bench import (
    calls,
    children,
    deployment,
    events,
    files,
    host,
    relay,
)
from knapweedbeam_core import ids
from knapweedbeam_server import history, system_clock

FIRST_BLOCK = 20
BLOCK_COUNT = 200
GUARD_OCTET = 255
GUARD_PORT = 7999
LISTEN_TIMEOUT_S = 30.0
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 25.0
FAKE_STOP_TIMEOUT_S = 3.0
MAX_HOSTS = 4
CALL_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.05
MAX_LIFETIME_S = 900.0


class ClusterError(Exception):
    """A process failed to start or a call to it failed, as the message says."""


@dataclasses.dataclass(slots=True)
class Block:
    """A block of loopback addresses that is reserved for one run.

    The `guard` socket listens in the block, which marks it as used.
    """

    number: int
    guard: socket.socket

    def release(self) -> None:
        """Release the block to other runs."""
        self.guard.close()


def reserve_block() -> Block:
    """Reserve a free block of addresses `127.{number}.x.y`.

    Raises `ClusterError` if all blocks are in use.
    """
    for step in range(BLOCK_COUNT):
        number = FIRST_BLOCK + (os.getpid() + step) % BLOCK_COUNT
        guard = socket.socket()
        try:
            guard.bind((f"127.{number}.{GUARD_OCTET}.1", GUARD_PORT))
        except OSError:
            guard.close()
            continue
        guard.listen(1)
        return Block(number, guard)
    raise ClusterError("every block of addresses is in use")


class Cluster:
    """The processes of one deployment; use it as a context manager."""

    def __init__(
        self,
        plan: deployment.Deployment,
        root: pathlib.Path,
        options: files.ServerOptions | None = None,
    ) -> None:
        self.plan = plan
        self.folder = files.RunFolder(root)
        self.options = options or files.ServerOptions()
        self.secrets = files.build_secrets()
        self.clock = system_clock.SystemClock()
        self.entries: dict[str, children.Child] = {}
        self.relays: children.Child | None = None
        self.hosts: list[children.Child] = []
        files.write_keys(self.folder)
        process = ids.ProcessId("bench", self.clock.wall_ms())
        path = self.folder.get_history("bench")
        self.history = history.FileHistory(
            path, process, self.clock, history.Role.BENCH
        )

    def __enter__(self) -> Cluster:
        """Return the cluster; `start` starts its processes."""
        return self

    def __exit__(self, *_error: object) -> None:
        """Stop every process that still runs."""
        self.stop_all()

    def start(self) -> None:
        """Start the relays, entry VMs and endpoints and roll out the first bundle.

        Returns when every entry VM is ready and every host process listens. Raises
        `ClusterError` if a process does not start.
        """
        self.start_relays()
        for vm in self.plan.vms:
            self.start_entry(vm)
        self.start_hosts()
        for vm in self.plan.vms:
            self.wait_for_listener(vm.operators, self.entries[vm.name])
        self.roll(1)
        for vm in self.plan.vms:
            self.wait_until_ready(vm)
        for index, child in enumerate(self.hosts):
            self.wait_for_listener(self.plan.get_platform(index), child)

    def start_relays(self) -> None:
        """Start the relays between failure domains."""
        plan = self.plan
        specs = tuple(
            relay.RelaySpec(
                plan.get_relay(source, target),
                target.links,
                source.domain,
                target.domain,
                plan.domain_delay_ms,
            )
            for source in plan.vms
            for target in plan.vms
            if source.domain != target.domain
        )
        if specs:
            spec = relay.RelaysSpec(plan.relays, specs, MAX_LIFETIME_S)
            self.relays = self.start_fake("relays", spec)
            self.wait_for_listener(plan.relays, self.relays)

    def start_fake(
        self, command: str, spec: msgspec.Struct, index: int = 0
    ) -> children.Child:
        """Start a bench command that reads its specification from a file."""
        path = self.folder.root / f"{command}{index}.json"
        path.write_bytes(msgspec.json.encode(spec))
        arguments = ["-m", "bench", command, str(path)]
        return children.Child(arguments, self.folder.get_log(f"{command}{index}"))

    def start_entry(self, vm: deployment.EntryVm) -> None:
        """Start or restart one entry VM."""
        files.write_settings(self.folder, self.plan, vm, self.secrets, self.options)
        path = str(self.folder.get_settings(vm.name))
        arguments = ["-m", "knapweedbeam_server", "serve", "--settings", path]
        self.entries[vm.name] = children.Child(arguments, self.folder.get_log(vm.name))

    def start_hosts(self) -> None:
        """Start the endpoints and the platform in at most `MAX_HOSTS` processes."""
        indexes = range(min(MAX_HOSTS, len(self.plan.endpoints)))
        for index in indexes:
            spec = self.build_host(index, len(indexes))
            self.hosts.append(self.start_fake("host", spec, index))

    def build_host(self, index: int, count: int) -> host.HostSpec:
        """Return the specification of one of `count` host processes."""
        return host.HostSpec(
            endpoints=self.plan.endpoints[index::count],
            entries={
                domain: tuple(vm.callers for vm in self.plan.get_vms(domain))
                for domain in self.plan.domains
            },
            endpoint_token=self.secrets.endpoint_token,
            platform_token=self.secrets.platform_token,
            platform=self.plan.get_platform(index),
            siblings=tuple(
                self.plan.get_platform(other)
                for other in range(count)
                if other != index
            ),
            history_folder=str(self.folder.histories),
            life_s=MAX_LIFETIME_S,
            seed=index + 1,
        )

    def wait_for_listener(self, address: str, child: children.Child) -> None:
        """Wait until a process accepts connections.

        Raises `ClusterError` if it ends or the timeout passes.
        """
        end_s = time.monotonic() + LISTEN_TIMEOUT_S
        while time.monotonic() < end_s and child.is_running:
            try:
                socket.create_connection(relay.parse_address(address), 1.0).close()
                return
            except OSError:
                gevent.sleep(POLL_INTERVAL_S)
        raise ClusterError(f"no process listens at {address}:\n{child.get_log_tail()}")

    def wait_until_ready(self, vm: deployment.EntryVm) -> None:
        """Wait until an entry VM reports that it is ready.

        Raises `ClusterError` if the timeout passes.
        """
        answer = self.call_until_success(vm.callers, "GET", "/readyz", READY_TIMEOUT_S)
        if answer is None:
            tail = self.entries[vm.name].get_log_tail()
            raise ClusterError(f"{vm.name} is not ready:\n{tail}")

    def call_until_success(
        self, address: str, method: str, path: str, timeout_s: float, body: bytes = b""
    ) -> calls.Reply | None:
        """Repeat a call until it succeeds, or return `None` after the timeout."""
        caller = calls.Caller(
            address, self.secrets.operator_token, CALL_TIMEOUT_S, connections=1
        )
        end_s = time.monotonic() + timeout_s
        try:
            while time.monotonic() < end_s:
                answer = caller.call(method, path, body)
                if isinstance(answer, calls.Reply) and answer.status < 300:
                    return answer
                gevent.sleep(POLL_INTERVAL_S)
        finally:
            caller.close()
        return None

    def roll(self, version: int) -> None:
        """Roll out a bundle of this version.

        The call may be repeated: a resent bundle gets the same answer.
        """
        text = files.build_bundle(self.plan, self.secrets, version).encode()
        target = next(vm for vm in self.plan.vms if vm.has_disk).operators
        answer = self.call_until_success(
            target, "POST", "/v1/bundles", READY_TIMEOUT_S, text
        )
        if answer is None:
            raise ClusterError(f"bundle {version} was not accepted")

    def get_status(self, vm: deployment.EntryVm) -> dict[str, object]:
        """Return the status of an entry VM, empty if it does not answer."""
        caller = calls.Caller(
            vm.operators, self.secrets.operator_token, CALL_TIMEOUT_S, connections=1
        )
        answer = caller.call("GET", "/v1/status")
        caller.close()
        return answer.get_json() if isinstance(answer, calls.Reply) else {}

    def post_control(self, address: str, path: str, change: msgspec.Struct) -> None:
        """Send a change to one of the bench's own processes."""
        caller = calls.Caller(address, "", CALL_TIMEOUT_S, connections=1)
        answer = caller.call("POST", path, msgspec.json.encode(change))
        caller.close()
        if isinstance(answer, calls.CallFailure) or answer.status != 200:
            raise ClusterError(f"{path} failed: {answer}")

    def change_endpoint(self, name: str, change: host.Control) -> None:
        """Change the fault, the speed or the leaving state of an endpoint."""
        index = [each.name for each in self.plan.endpoints].index(name)
        address = self.plan.get_platform(index % len(self.hosts))
        self.post_control(address, host.CONTROL_PREFIX + name, change)

    def partition_domain(self, domain: str) -> None:
        """Partition the entry VMs of a failure domain from all others."""
        names = tuple(vm.name for vm in self.plan.get_vms(domain))
        self.history.write(events.CutOff(domain, names))
        self.post_control(self.plan.relays, relay.CUT_PATH, relay.DomainChange(domain))

    def heal_domain(self, domain: str) -> None:
        """End the partition of a failure domain."""
        names = tuple(vm.name for vm in self.plan.get_vms(domain))
        self.post_control(self.plan.relays, relay.HEAL_PATH, relay.DomainChange(domain))
        self.history.write(events.Healed(domain, names))

    def kill(self, name: str) -> None:
        """Kill an entry VM with SIGKILL."""
        self.history.write(events.Killed(name))
        child = self.entries.pop(name)
        child.send_signal(signal.SIGKILL)
        child.wait(children.KILL_TIMEOUT_S)

    def stop(self, name: str) -> int | None:
        """Stop an entry VM gracefully and return its exit status.

        Returns `None` if it had to be killed.
        """
        self.history.write(events.StopSent(name))
        child = self.entries.pop(name)
        status = child.terminate(STOP_TIMEOUT_S)
        self.history.write(events.Exited(name, -1 if status is None else status))
        return status

    def stop_all(self) -> None:
        """Stop all entry VMs concurrently, then the bench's own processes."""
        stops = [gevent.spawn(self.stop, name) for name in list(self.entries)]
        gevent.joinall(stops)
        own_processes = [*self.hosts, *([self.relays] if self.relays else [])]
        gevent.joinall(
            [
                gevent.spawn(child.terminate, FAKE_STOP_TIMEOUT_S)
                for child in own_processes
            ]
        )
        self.hosts = []
        self.relays = None
        self.history.close()
