"""One simulated process of a deployment: the decisions of a real one, without I/O.

It mirrors `knapweedbeam_server.fleet.node` and `message_router`, which drive the same
parts with real links and calls.
"""

from __future__ import annotations

import collections.abc
import typing
import zlib

from bench.fleet import endpoint_calls, link_host, links, routing
from bench.fleet import network as networks
from knapweedbeam_core import clock, effects
from knapweedbeam_core.evacuations import holder
from knapweedbeam_core.evacuations import machine as evacuation_machine
from knapweedbeam_core.fleet import (
    dispatcher_role,
    job_routes,
    membership,
    participant,
    sharding,
)
from knapweedbeam_core.fleet import messages as fleet_messages
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import (
    attempt_tracker,
    calls,
    dispatcher,
    log_events,
    messages,
    open_jobs,
    relay,
    shards,
)

TICK_MS = 20
LINK_UPDATE_INTERVAL_MS = 200
ENTRY_CHECK_INTERVAL_MS = 100
SPEEDS_INTERVAL_MS = 1_000
REFUSED_TOKEN_PAUSE_MS = 1_000

Effect = dispatcher.Effect | open_jobs.Settled
Waiter = collections.abc.Callable[[open_jobs.Outcome], None]


class World(typing.Protocol):
    """The deployment around a process."""

    clock: clock.ManualClock
    network: networks.Network
    endpoints_per_shard: int
    bounds: attempt_tracker.ProtocolBounds

    @property
    def now_ms(self) -> int:
        """Return the time."""

    def schedule_after(self, delay_ms: int, call: networks.Action) -> None:
        """Run an action after a delay."""

    def find_running(self, name: str) -> Node | None:
        """Return the running process with a name."""

    def record(self, name: str, event: object) -> None:
        """Write to the log of a process."""

    def build_calls(self, node: Node) -> endpoint_calls.EndpointCalls:
        """Return the calls to endpoints of a process."""


class Node:
    """The parts of one process. A frozen one does nothing until it wakes."""

    def __init__(
        self,
        world: World,
        name: str,
        domain: str,
        is_core: bool,
        seeds: tuple[str, ...],
        incarnation: int,
    ) -> None:
        self.world = world
        self.name = name
        self.domain = domain
        self.is_core = is_core
        self.incarnation = incarnation
        timer = world.clock
        number = zlib.crc32(name.encode())
        self.members = membership.Membership(name, is_core, seeds, timer)
        self.role = dispatcher_role.DispatcherRole(self.members, number, timer)
        self.participant = participant.Participant(self.members, self.role, timer)
        self.sharding = sharding.Sharding(
            self.members, self.role, incarnation, timer, world.endpoints_per_shard
        )
        self.shards = shards.ShardedDispatcher(name, world.bounds, timer)
        self.job_routes = job_routes.JobRoutes(self.members)
        self.open_jobs = open_jobs.OpenJobs(timer)
        self.relay = relay.Relay(timer)
        self.evacuations = holder.EvacuationHolder()
        self.router = routing.MessageRouter(self)
        self.links = links.Links(link_host.LinkHost(self))
        self.calls = world.build_calls(self)
        self.waiters: dict[str, list[Waiter]] = {}
        self.is_placement_due = False
        self.links_due_ms = self.entries_due_ms = self.speeds_due_ms = 0
        self.is_frozen = False
        self.is_dead = False
        self.backlog: list[networks.Action] = []
        self.tokens: dict[int, int] = {}

    @property
    def now_ms(self) -> int:
        """Return the time."""
        return self.world.now_ms

    # Time.

    def do(self, action: networks.Action) -> None:
        """Run an action now, or once this process wakes."""
        if self.is_frozen:
            self.backlog.append(action)
        elif not self.is_dead:
            action()

    def schedule_after(self, delay_ms: int, call: networks.Action) -> None:
        """Run an action of this process after a delay."""
        self.world.schedule_after(delay_ms, lambda: self.do(call))

    def thaw(self, is_tick_first: bool) -> None:
        """Wake: handle all that has come meanwhile, timers before or after it."""
        self.is_frozen = False
        backlog, self.backlog = self.backlog, []
        if is_tick_first and not self.is_dead:
            self.tick()
        for action in backlog:
            self.do(action)

    def tick_forever(self) -> None:
        """Run `tick` at fixed intervals."""
        self.tick()
        self.schedule_after(TICK_MS, self.tick_forever)

    def tick(self) -> None:
        """Do what is due in all parts."""
        update = self.participant.update(self.build_presence())
        self.update_shards()
        for member in update.silent:
            self.run(self.shards.on_entry_lost(member.name))
        self.follow(update)
        if self.now_ms >= self.entries_due_ms:
            self.entries_due_ms = self.now_ms + ENTRY_CHECK_INTERVAL_MS
            self.participant.ask_silent(self.shards.list_entries())
        has_open_jobs = bool(self.open_jobs.jobs or self.relay.jobs)
        presence = self.build_presence()
        self.run(self.participant.build_heartbeats(presence, has_open_jobs))
        self.run(self.shards.tick())
        self.run(self.open_jobs.tick())
        if self.now_ms >= self.links_due_ms:
            self.links_due_ms = self.now_ms + LINK_UPDATE_INTERVAL_MS
            self.members.remove_stale()
            self.relay.forget_old()
            self.links.set_peers(self.members.get_link_peers())
        self.links.tick()
        if self.now_ms >= self.speeds_due_ms:
            self.speeds_due_ms = self.now_ms + SPEEDS_INTERVAL_MS
            if self.shards.is_active():
                self.send_to_candidates(self.shards.list_speeds())

    def update_shards(self) -> None:
        """Dispatch on the shards that this process owns."""
        work = sharding.Work(
            self.shards.count_endpoints(), self.shards.has_jobs(), False
        )
        table = self.sharding.update(self.build_presence(), work)
        tokens = self.sharding.list_own_tokens()
        if tokens != self.tokens:
            self.world.record(self.name, f"tokens {tokens}")
            self.tokens = tokens
        self.run(self.shards.set_tokens(max(1, len(table)), tokens))

    def follow(self, update: participant.Update) -> None:
        """Send open jobs to other processes if the update says so."""
        routes = self.job_routes
        if routes.update(update, self.sharding.table):
            self.world.record(self.name, f"follows {routes.lead}")
        self.run(self.open_jobs.follow(routes.lead, routes.list_targets()))

    def build_presence(self) -> fleet_messages.Presence:
        """Return this process's state."""
        return fleet_messages.Presence(
            self.name,
            self.is_core,
            self.domain,
            f"{self.name}:8080" if self.is_core else "",
            bool(self.shards.count_endpoints()),
            False,
            self.role.generation,
            self.members.highest_generation,
            self.role.following.name,
            self.open_jobs.dispatcher,
            1,
            members=self.members.candidates,
            incarnation=self.incarnation,
            shards=self.sharding.table if self.role.generation else (),
            refused=tuple(token for _, token in sorted(self.sharding.refused)),
            refused_shards=tuple(shard for shard, _ in sorted(self.sharding.refused)),
            evacuation_version=self.evacuations.held.version,
            evacuated=self.evacuations.held.domains,
        )

    def apply_evacuations(self, heard: evacuation_machine.EvacuatedDomains) -> None:
        """Put evacuations in force if they are newer."""
        if self.evacuations.update(heard):
            self.shards.set_evacuated(frozenset(heard.domains))
            self.run([])

    # Effects.

    def run(self, produced: collections.abc.Sequence[Effect]) -> None:
        """Carry out the effects of decisions."""
        for effect in produced:
            match effect:
                case effects.Send():
                    self.send(effect)
                case (
                    calls.Start() | calls.Stop() | calls.StartPolling() | calls.Probe()
                ):
                    self.world.record(self.name, effect)
                    self.calls.spawn(effect)
                case open_jobs.Settled():
                    self.set_outcome(effect)
                case calls.RequestAdvice() | calls.RecordEnd() | calls.RecordCrash():
                    pass
                case _:
                    self.handle_log_event(effect)
        if not self.is_placement_due and self.shards.count_queued():
            self.is_placement_due = True
            pause_ms = self.shards.get_placement_pause_ms()
            self.schedule_after(pause_ms, self.place)

    def send(self, send: effects.Send) -> None:
        """Send a message; one to this process is handled in the loop's next turn."""
        if send.to == self.name:
            self.schedule_after(0, lambda: self.router.route(self.name, send.message))
        else:
            self.links.send(send.to, send.message)

    def place(self) -> None:
        """Place tasks, once for all events of one turn of the loop."""
        for owner in self.shards.list_active():
            self.run(owner.place())
        self.is_placement_due = False

    def handle_log_event(self, event: log_events.LogEvent) -> None:
        """Log a decision; give up the role or a shard if an endpoint refused it."""
        self.world.record(self.name, event)
        if not isinstance(event, log_events.EndpointFenced):
            return
        is_shard = self.sharding.handle_refused_token(event.fence)
        if not is_shard and event.fence == self.role.generation:
            self.role.handle_refused_token(REFUSED_TOKEN_PAUSE_MS)

    def send_to_candidates(self, message: effects.Message) -> None:
        """Send a message to every other process that may dispatch."""
        candidates = self.members.get_core_names() | set(self.members.get_standbys())
        for name in sorted(candidates - {self.name}):
            self.send(effects.Send(name, message))

    def handle_announcement(self, announcement: messages.EndpointNews) -> None:
        """Handle an endpoint's announcement and forward it."""
        self.run(self.shards.on_announcement(announcement))
        self.send_to_candidates(announcement)

    # Jobs.

    def submit(
        self,
        job_id: str,
        queue: manifest.Queue,
        steps: tuple[messages.SubmittedStep, ...],
        patience_ms: int,
        waiter: Waiter,
    ) -> None:
        """Submit a job for a caller, whom `waiter` passes its outcome."""
        self.waiters.setdefault(job_id, []).append(waiter)
        self.run(self.open_jobs.submit(job_id, queue, "spec", steps, patience_ms))

    def remove_waiter(self, job_id: str, waiter: Waiter) -> None:
        """Remove a caller that left; withdraw the job after the last one."""
        waiting = self.waiters.get(job_id, [])
        if waiter in waiting:
            waiting.remove(waiter)
        if not waiting:
            self.waiters.pop(job_id, None)
            self.run(self.open_jobs.withdraw(job_id))

    def set_outcome(self, settled: open_jobs.Settled) -> None:
        """Pass a job's outcome to all callers that wait for it."""
        self.world.record(self.name, settled)
        for waiter in self.waiters.pop(settled.job_id, ()):
            waiter(settled.outcome)
