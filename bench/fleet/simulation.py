"""A deployment's membership in simulated time: processes, links and faults.

Every process runs the membership and the choice of the dispatcher as a real one does,
with links that open when it wants them and take a moment to connect.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import heapq
import itertools

from knapweedbeam_core import clock, effects
from knapweedbeam_core.fleet import (
    dispatcher_role,
    job_routes,
    membership,
    messages,
    participant,
    sharding,
)

TICK_MS = 20
LINK_UPDATE_INTERVAL_MS = 200
CONNECT_MS = 5
LATENCY_MS = 1
# A link whose peer acknowledges nothing breaks after this time.
UNACKED_MS = 600
START_SPREAD_MS = 300
WALL_MS = 1_700_000_000_000

Heartbeat = messages.Presence | messages.Alive
Measure = collections.abc.Callable[[Heartbeat], int]


@dataclasses.dataclass(slots=True)
class Link:
    """An outgoing link; `broken_ms` is when its peer stopped to acknowledge."""

    connected_ms: int
    is_up: bool = False
    broken_ms: int | None = None


class ShiftedClock:
    """The clock of one process, which stands still while the process is frozen."""

    def __init__(self, base: clock.ManualClock) -> None:
        self.base = base

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""
        return self.base.now_ms()

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return self.base.wall_ms()


class Process:
    """One process: its part in the deployment, its links and what it sends."""

    def __init__(
        self,
        name: str,
        is_core: bool,
        domain: str,
        seeds: collections.abc.Iterable[str],
        number: int,
        timer: clock.Clock,
        start_ms: int,
        endpoint_count: int,
    ) -> None:
        self.name = name
        self.incarnation = number
        self.work = sharding.Work(endpoint_count, False, False)
        self.is_core = is_core
        self.domain = domain
        self.clock = timer
        self.members = membership.Membership(name, is_core, seeds, timer)
        self.role = dispatcher_role.DispatcherRole(self.members, number, timer)
        self.participant = participant.Participant(self.members, self.role, timer)
        self.sharding = sharding.Sharding(self.members, self.role, number, timer)
        self.routes = job_routes.JobRoutes(self.members)
        self.links: dict[str, Link] = {}
        self.next_tick_ms = start_ms
        self.link_update_ms = start_ms
        self.has_open_jobs = False
        self.is_ready = True
        self.is_frozen = False
        self.inbox: list[tuple[str, Heartbeat]] = []

    def build_presence(self) -> messages.Presence:
        """Return this process's state."""
        return messages.Presence(
            name=self.name,
            is_core=self.is_core,
            domain=self.domain,
            control=f"{self.name}:8080" if self.is_core else "",
            is_ready=self.is_ready,
            is_stopping=False,
            generation=self.role.generation,
            highest=self.members.highest_generation,
            following=self.role.following.name,
            using=self.participant.target,
            manifest_version=1,
            members=self.members.candidates,
            incarnation=self.incarnation,
            shards=self.sharding.table if self.role.generation else (),
            refused=tuple(token for _, token in sorted(self.sharding.refused)),
            refused_shards=tuple(shard for shard, _ in sorted(self.sharding.refused)),
        )

    def tick(self) -> list[effects.Send]:
        """Do what is due and return the heartbeats to send."""
        update = self.participant.update(self.build_presence())
        self.sharding.update(self.build_presence(), self.work)
        self.routes.update(update, self.sharding.table)
        return self.participant.build_heartbeats(
            self.build_presence(), self.has_open_jobs
        )

    def receive(self, sender: str, message: Heartbeat) -> None:
        """Handle a heartbeat."""
        self.participant.receive(message, sender)


@dataclasses.dataclass(slots=True)
class Traffic:
    """Heartbeats and their bytes that a process sent and received, and new links."""

    sent: int = 0
    received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    connections: int = 0


class Simulation:
    """Processes of a deployment and the network between them."""

    def __init__(
        self,
        core_count: int,
        entry_count: int,
        domain_count: int = 3,
        seed_count: int = 3,
        measure: Measure | None = None,
        endpoint_count: int = 0,
    ) -> None:
        self.endpoint_count = endpoint_count
        self.clock = clock.ManualClock(0, WALL_MS)
        self.measure = measure
        self.domain_count = domain_count
        self.seeds = [f"c{number}" for number in range(min(core_count, seed_count))]
        self.processes: dict[str, Process] = {}
        self.traffic: dict[str, Traffic] = collections.defaultdict(Traffic)
        self.cut: set[tuple[str, str]] = set()
        self.down: set[str] = set()
        self.extra_latency_ms: dict[str, int] = {}
        self.current = ""
        self.in_flight: list[tuple[int, int, str, str, Heartbeat]] = []
        self.order = itertools.count()
        self.numbers = itertools.count(1)
        names = [(f"c{number}", True) for number in range(core_count)]
        names += [(f"e{number:04d}", False) for number in range(entry_count)]
        for place, (name, is_core) in enumerate(names):
            self.start(name, is_core, (place * 37) % START_SPREAD_MS)

    def start(self, name: str, is_core: bool, delay_ms: int = 0) -> Process:
        """Start a process, or start it again with an empty memory."""
        number = next(self.numbers)
        digits = int(name.lstrip("ce"))
        self.processes[name] = Process(
            name,
            is_core,
            f"d{digits % self.domain_count}",
            self.seeds,
            number,
            ShiftedClock(self.clock),
            self.clock.now_ms() + delay_ms,
            self.endpoint_count,
        )
        self.down.discard(name)
        return self.processes[name]

    def stop(self, *names: str) -> None:
        """Let processes end at once, without a word."""
        self.down |= set(names)

    def cut_apart(self, some: list[str], others: list[str]) -> None:
        """Drop all messages between two groups of processes."""
        for one, other in itertools.product(some, others):
            self.cut |= {(one, other), (other, one)}

    def get_running(self) -> dict[str, Process]:
        """Return the processes that run."""
        return {
            name: process
            for name, process in self.processes.items()
            if name not in self.down
        }

    def get_dispatchers(self) -> list[str]:
        """Return the running processes that dispatch."""
        return [
            name
            for name, process in self.get_running().items()
            if process.role.generation and not process.is_frozen
        ]

    def list_unserved(self) -> list[str]:
        """Return the running entry VMs whose jobs reach no dispatcher."""
        running = self.get_running()
        return [
            name
            for name, process in running.items()
            if not process.is_core and not self.is_served(process)
        ]

    def is_served(self, process: Process) -> bool:
        """Return whether a process's jobs reach a dispatcher, directly or relayed."""
        targets = process.routes.list_targets()
        if targets:
            return all(
                self.reaches_owner(process, shard, target.name)
                for shard, target in enumerate(targets)
            )
        target = self.find_target(process)
        if target is None or target.role.generation:
            return target is not None
        relayed_to = None if target.is_core else self.find_target(target)
        return relayed_to is not None and bool(relayed_to.role.generation)

    def reaches_owner(self, process: Process, shard: int, name: str) -> bool:
        """Return whether jobs of a shard that go to `name` reach their owner."""
        if name != process.name and not self.is_reachable(process.name, name):
            return False
        target = self.processes[name]
        if target.is_frozen:
            return False
        if shard in target.sharding.list_own_tokens():
            return True
        table = target.sharding.table if target.role.generation else ()
        if not table and not target.is_core and target is not process:
            # A relay sends jobs to the owners that it knows.
            table = target.routes.table
        if len(table) <= shard or not self.is_reachable(name, table[shard].name):
            return False
        owner = self.processes[table[shard].name]
        return not owner.is_frozen and shard in owner.sharding.list_own_tokens()

    def list_owners(self) -> list[list[str]]:
        """Return the running processes that own each shard, in their own view."""
        owners: dict[int, list[str]] = {}
        for name, process in self.get_running().items():
            for shard in process.sharding.list_own_tokens():
                owners.setdefault(shard, []).append(name)
        return [owners[shard] for shard in sorted(owners)]

    def find_target(self, process: Process) -> Process | None:
        """Return the process that a process's jobs go to, None if out of reach."""
        name = process.participant.target
        if name != process.name and not self.is_reachable(process.name, name):
            return None
        target = self.processes[name]
        return None if target.is_frozen else target

    def is_reachable(self, sender: str, receiver: str) -> bool:
        """Return whether messages from `sender` arrive at `receiver`."""
        is_running = receiver in self.processes and receiver not in self.down
        return is_running and (sender, receiver) not in self.cut

    def advance(self, by_ms: int) -> None:
        """Let time pass, a millisecond at a time."""
        for _ in range(by_ms):
            self.clock.advance(1)
            self.deliver()
            for name, process in list(self.processes.items()):
                if self.clock.now_ms() < process.next_tick_ms or name in self.down:
                    continue
                if not process.is_frozen:
                    self.run_tick(process)

    def measure_outage_ms(self, at_most_ms: int) -> int:
        """Return after which time all entry VMs are served, at most `at_most_ms`."""
        for passed_ms in range(0, at_most_ms, TICK_MS):
            if passed_ms and not self.list_unserved():
                return passed_ms
            self.advance(TICK_MS)
        return at_most_ms

    def run_tick(self, process: Process) -> None:
        """Run one tick of a process that is up."""
        self.current = process.name
        now_ms = self.clock.now_ms()
        process.next_tick_ms = now_ms + TICK_MS
        inbox, process.inbox = process.inbox, []
        for sender, message in inbox:
            process.receive(sender, message)
        if now_ms >= process.link_update_ms:
            process.link_update_ms = now_ms + LINK_UPDATE_INTERVAL_MS
            self.update_links(process)
        self.connect(process)
        for send in process.tick():
            self.send(process, send)

    def update_links(self, process: Process) -> None:
        """Open and close the links that a process wants or no longer wants."""
        process.members.remove_stale()
        peers = process.members.get_link_peers()
        for name in set(process.links) - peers:
            del process.links[name]
        for name in sorted(peers - set(process.links)):
            process.links[name] = Link(self.clock.now_ms() + CONNECT_MS)

    def connect(self, process: Process) -> None:
        """Finish connecting links, and reconnect those that broke."""
        now_ms = self.clock.now_ms()
        for name, link in process.links.items():
            is_broken = link.broken_ms is not None and (
                now_ms - link.broken_ms > UNACKED_MS or name in self.down
            )
            if is_broken:
                link.is_up, link.broken_ms = False, None
                process.participant.on_link_down(name)
                link.connected_ms = now_ms + LINK_UPDATE_INTERVAL_MS
            if link.is_up or now_ms < link.connected_ms:
                continue
            if not self.is_reachable(process.name, name):
                continue
            link.is_up = True
            self.traffic[process.name].connections += 1
            process.participant.heartbeats.on_link_up(name)

    def send(self, process: Process, send: effects.Send) -> None:
        """Put a heartbeat on its way if the link is up."""
        link = process.links.get(send.to)
        if link is None or not link.is_up:
            return
        message = send.message
        assert isinstance(message, messages.Presence | messages.Alive)
        size = self.measure(message) if self.measure is not None else 0
        traffic = self.traffic[process.name]
        traffic.sent += 1
        traffic.bytes_sent += size
        if not self.is_reachable(process.name, send.to):
            if link.broken_ms is None:
                link.broken_ms = self.clock.now_ms()
            return
        arrival_ms = self.clock.now_ms() + LATENCY_MS
        arrival_ms += self.extra_latency_ms.get(send.to, 0)
        entry = (arrival_ms, next(self.order), process.name, send.to, message)
        heapq.heappush(self.in_flight, entry)

    def deliver(self) -> None:
        """Deliver the heartbeats that have arrived."""
        now_ms = self.clock.now_ms()
        while self.in_flight and self.in_flight[0][0] <= now_ms:
            _, _, sender, receiver, message = heapq.heappop(self.in_flight)
            if not self.is_reachable(sender, receiver):
                continue
            self.current = receiver
            process = self.processes[receiver]
            traffic = self.traffic[receiver]
            traffic.received += 1
            if self.measure is not None:
                traffic.bytes_received += self.measure(message)
            if process.is_frozen:
                process.inbox.append((sender, message))
            else:
                process.receive(sender, message)
