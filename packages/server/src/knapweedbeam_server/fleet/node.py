"""One process of a deployment: its parts and the loop that drives them."""

from __future__ import annotations

import collections.abc
import dataclasses
import random

import gevent
import gevent.event
import xxhash

from knapweedbeam_core import clock, effects, ids, reasons
from knapweedbeam_core.fleet import (
    dispatcher_role,
    job_routes,
    load_meter,
    membership,
    participant,
    sharding,
)
from knapweedbeam_core.fleet import messages as fleet_messages
from knapweedbeam_core.log import messages as log_messages
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import (
    calls,
    cancellations,
    dispatcher,
    log_events,
    messages,
    open_jobs,
    relay,
    shards,
)
from knapweedbeam_core.stored import messages as stored_messages
from knapweedbeam_server.fleet import (
    announcing,
    endpoint_calls,
    endpoint_memory,
    evacuation_manager,
    loop_monitor,
    manifest_manager,
    message_router,
    ports,
    replicated_log,
    stored_jobs,
    supervising,
    telemetry,
)
from knapweedbeam_server.fleet import settings as settings_
from knapweedbeam_server.logs import catalogue, emit, faults
from knapweedbeam_wire import links, registry

TICK_INTERVAL_S = 0.02
# The set of links changes only with the members, and computing it takes time.
LINK_UPDATE_INTERVAL_MS = 200
# A start and its end wait for the loop once each, and objectives allow about 100 ms in
# addition to the work.
LOGGED_LAG_MS = 50
# A fraction of the silence after which an entry VM with open jobs is asked.
ENTRY_CHECK_INTERVAL_MS = 100
# Speeds change within seconds; a message takes about 40 bytes for each endpoint.
SPEEDS_INTERVAL_MS = 1_000
# A lost peer must be noticed within half a second: see `membership.UNRESPONSIVE_MS`.
LINK_TIMES = links.LinkTimes(
    connect_s=0.5,
    handshake_s=0.5,
    receive_timeout_s=3.0,
    unacked_ms=600,
    max_retry_s=0.25,
)
# Time after a refused token during which this process lets another one dispatch.
REFUSED_TOKEN_PAUSE_MS = 1_000

MESSAGE_CLASSES = (
    *fleet_messages.CLASSES,
    *messages.CLASSES,
    *stored_messages.CLASSES,
    *log_messages.CLASSES,
)
CATALOGUE_EVENTS = {
    log_events.DispatcherRoleChanged: catalogue.OFFICE,
    log_events.EndpointChanged: catalogue.POOL_ENDPOINT_CHANGED,
    log_events.EndpointLost: catalogue.POOL_ENDPOINT_LOST,
    log_events.EndpointCoolingDown: catalogue.POOL_ENDPOINT_RESTS,
    log_events.EndpointFenced: catalogue.POOL_ENDPOINT_FENCED,
    log_events.TasksPlaced: catalogue.POOL_TASKS_PLACED,
    log_events.JobEnded: catalogue.POOL_JOB_ENDED,
    log_events.JobRejoined: catalogue.POOL_JOB_REJOINED,
    log_events.JobWithdrawn: catalogue.POOL_JOB_WITHDRAWN,
    log_events.AttemptLost: catalogue.POOL_ATTEMPT_LOST,
    log_events.AttemptStopped: catalogue.POOL_ATTEMPT_STOPPED,
    log_events.AttemptClaimed: catalogue.POOL_ATTEMPT_CLAIMED,
    log_events.JobQuestioned: catalogue.POOL_JOB_QUESTIONED,
    log_events.JobTakenOver: catalogue.POOL_JOB_TAKEN_OVER,
    log_events.TaskSuspected: catalogue.POOL_TASK_SUSPECTED,
    log_events.StoredDispatchStarted: catalogue.STORED_OFFICE,
    log_events.StoredDispatchStopped: catalogue.STORED_LEFT,
    log_events.QueueLoad: catalogue.QUEUE_LOAD,
    log_events.RoomHeld: catalogue.ROOM_HELD,
    log_events.RoomShared: catalogue.ROOM_SHARED,
    log_events.RecoveryStepReached: catalogue.RECOVERY_STEP_REACHED,
    log_events.ProcessorFull: catalogue.PROCESSOR_FULL,
}


Effect = dispatcher.Effect | open_jobs.Settled


class Node:
    """The parts of one process and the loop that drives them."""

    def __init__(
        self,
        settings: settings_.FleetSettings,
        client: ports.EndpointClient,
        decode_manifest: manifest_manager.Decoder,
        timer: clock.Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.clock = timer
        self.supervisor = supervising.Supervisor()
        process_number = xxhash.xxh32_intdigest(settings.name.encode())
        self.members = membership.Membership(
            settings.name, settings.is_core, settings.seeds, timer
        )
        self.dispatcher_role = dispatcher_role.DispatcherRole(
            self.members, process_number, timer
        )
        self.participant = participant.Participant(
            self.members, self.dispatcher_role, timer
        )
        self.incarnation = rng.getrandbits(62)
        self.sharding = sharding.Sharding(
            self.members,
            self.dispatcher_role,
            self.incarnation,
            timer,
            settings.endpoints_per_shard,
        )
        self.shards = shards.ShardedDispatcher(
            settings.name, settings.endpoint_bounds, timer, settings.room_policy
        )
        self.telemetry = telemetry.Telemetry()
        self.loop_monitor = loop_monitor.LoopMonitor(timer)
        self.load_meter = load_meter.LoadMeter(timer)
        self.endpoint_calls = endpoint_calls.EndpointCalls(
            self.shards, client, self.run, self.telemetry
        )
        self.open_jobs = open_jobs.OpenJobs(timer, settings.domain)
        self.cancellations = cancellations.Cancellations(timer, self.open_jobs)
        self.relay = relay.Relay(timer)
        self.log = self.build_log(rng)
        self.manifests = manifest_manager.ManifestManager(self, decode_manifest)
        self.evacuations = evacuation_manager.EvacuationManager(self, settings.domains)
        self.announcement_forwarder = announcing.AnnouncementForwarder(self)
        self.stored_jobs = stored_jobs.StoredJobs(self, rng)
        self.message_router = message_router.MessageRouter(self)
        self.links = links.Links(
            ids.ProcessId(settings.name, self.incarnation),
            settings_.split_address(settings.name),
            (),
            settings.link_key,
            registry.build_codec(MESSAGE_CLASSES),
            self,
            LINK_TIMES,
            is_closed_group=False,
        )
        self.waiters: dict[str, list[gevent.event.AsyncResult[open_jobs.Outcome]]] = {}
        self.job_routes = job_routes.JobRoutes(self.members)
        self.is_stopping = False
        self.is_placement_due = False
        self.links_due_ms = 0
        self.linked_version = -1
        self.speeds_due_ms = 0
        self.entries_due_ms = 0

    def build_log(self, rng: random.Random) -> replicated_log.ReplicatedLog | None:
        """Return this process's replica of the log, none without a data folder."""
        if self.settings.data_folder is None:
            return None
        initial_names = self.settings.seeds if self.settings.is_first_start else ()
        return replicated_log.ReplicatedLog(
            self.settings.name,
            initial_names,
            self.settings.data_folder,
            self.clock,
            rng,
            self.send,
            self.on_log_applied,
            self.settings.tolerated_losses,
        )

    def on_log_applied(self) -> None:
        """Pass on that the log has applied entries."""
        self.stored_jobs.on_applied()

    def start(self) -> None:
        """Open the links and start the loops."""
        emit.emit(
            catalogue.FLEET_STARTED,
            process=self.settings.name,
            role="core" if self.settings.is_core else "entry",
            domain=self.settings.domain,
            first_start=self.settings.is_first_start,
        )
        if self.log is not None:
            self.log.start(self.supervisor)
            memory = endpoint_memory.EndpointMemory(self, self.log.folder)
            memory.recall()
            self.supervisor.spawn("endpoints", memory.save_forever)
        self.links.start()
        self.supervisor.spawn("ticks", self.tick_forever)

    # Effects.

    def send(self, effect: effects.Send) -> None:
        """Send a message; one to this process is handled in the loop's next turn."""
        if effect.to == self.settings.name:
            gevent.get_hub().loop.run_callback(self.on_own_message, effect.message)
        else:
            self.links.send(effect.to, effect.message)

    def on_own_message(self, message: effects.Message) -> None:
        """Handle a message of this process to itself."""
        gevent.spawn(self.handle_own_message, message)

    def handle_own_message(self, message: effects.Message) -> None:
        """Route a message of this process to itself; an error concerns it alone."""
        try:
            self.message_router.route(self.settings.name, message)
        except Exception as error:
            kind = type(message).__name__
            self.message_failed(self.settings.name, kind, error)

    def run(self, produced: collections.abc.Sequence[Effect]) -> None:
        """Carry out the effects of decisions."""
        for effect in produced:
            match effect:
                case effects.Send():
                    self.send(effect)
                case (
                    calls.Start()
                    | calls.Stop()
                    | calls.StartPolling()
                    | calls.Probe()
                    | calls.RequestAdvice()
                ):
                    self.endpoint_calls.spawn(effect)
                case calls.RecordEnd():
                    self.stored_jobs.queue_end(effect)
                case calls.RecordCrash():
                    self.stored_jobs.send_crash(effect)
                case open_jobs.Settled():
                    self.set_outcome(effect)
                case _:
                    self.handle_log_event(effect)
        if not self.is_placement_due and self.shards.count_queued():
            self.is_placement_due = True
            gevent.spawn(self.place)

    def place(self) -> None:
        """Place tasks, once for all events of one turn of the loop."""
        try:
            pause_ms = self.shards.get_placement_pause_ms()
            if pause_ms:
                gevent.sleep(pause_ms / clock.SECOND_MS)
            for owner in self.shards.list_active():
                self.place_shard(owner)
        finally:
            self.is_placement_due = False

    def place_shard(self, owner: dispatcher.Dispatcher) -> None:
        """Place the tasks of one shard; an error concerns this placement alone."""
        try:
            self.run(owner.place())
        except Exception as error:
            emit.emit(
                catalogue.DECISION_FAILED,
                step="placement",
                subject=f"{len(owner.queue)} jobs",
                error=faults.describe(error),
            )

    def handle_log_event(self, log_event: log_events.LogEvent) -> None:
        """Log a decision; give up the dispatcher role if an endpoint refused it."""
        event = CATALOGUE_EVENTS[type(log_event)]
        emit.emit_record(event, log_event)
        self.telemetry.count_event(event.name)
        self.telemetry.count_run_event(log_event)
        if isinstance(log_event, log_events.EndpointFenced):
            self.handle_refused_token(log_event.fence)

    def handle_refused_token(self, token: int) -> None:
        """Give up the shard, or the dispatcher role, that a token stands for."""
        is_shard = self.sharding.handle_refused_token(token)
        if not is_shard and token == self.dispatcher_role.generation:
            self.dispatcher_role.handle_refused_token(REFUSED_TOKEN_PAUSE_MS)

    def set_outcome(self, settled: open_jobs.Settled) -> None:
        """Pass a job's outcome to all callers that wait for it."""
        for waiter in self.waiters.pop(settled.job_id, ()):
            waiter.set(settled.outcome)

    # Time.

    def tick_forever(self) -> None:
        """Run `tick` at fixed intervals."""
        while True:
            self.tick()
            self.loop_monitor.start_pause()
            gevent.sleep(TICK_INTERVAL_S)
            self.record_lag(self.loop_monitor.end_pause(TICK_INTERVAL_S))

    def record_lag(self, load: loop_monitor.LoopLoad | None) -> None:
        """Publish how late the event loop was in a window, and log a long delay."""
        if load is None:
            return
        self.telemetry.set_loop_load(load)
        if max(load.timer_lag_ms, load.wake_lag_ms) >= LOGGED_LAG_MS:
            emit.emit(catalogue.LOOP_LAGGED, **dataclasses.asdict(load))
        refusals = self.shards.take_evacuation_refusals()
        self.telemetry.evacuation_refusals.inc(refusals)
        calls_made = self.endpoint_calls.take_counts()
        if self.shards.is_active() and (self.shards.has_jobs() or calls_made.starts):
            emit.emit(
                catalogue.ENDPOINT_CALL_LOAD,
                **dataclasses.asdict(calls_made),
                running=self.shards.count_attempts(),
                held_back=self.shards.take_held_back(),
            )

    def tick(self) -> None:
        """Do what is due in all parts."""
        now_ms = self.clock.now_ms()
        self.load_meter.record_turn()
        self.endpoint_calls.client.record_tick()
        update = self.participant.update(self.build_presence())
        self.update_shards()
        for member in update.silent:
            self.handle_silent(member)
        self.follow(update)
        if now_ms >= self.entries_due_ms:
            self.entries_due_ms = now_ms + ENTRY_CHECK_INTERVAL_MS
            self.participant.ask_silent(self.shards.list_entries())
        self.send_heartbeats()
        self.run(self.shards.tick())
        self.run(self.open_jobs.tick())
        self.run(self.cancellations.tick())
        if self.log is not None:
            self.log.tick()
            self.manifests.apply_committed()
            self.evacuations.apply_committed()
        self.shards.set_stored_jobs(self.has_stored_jobs())
        self.stored_jobs.tick()
        if now_ms >= self.links_due_ms:
            self.links_due_ms = now_ms + LINK_UPDATE_INTERVAL_MS
            self.update_links()
            self.message_router.request_manifest()
        if now_ms >= self.speeds_due_ms:
            self.speeds_due_ms = now_ms + SPEEDS_INTERVAL_MS
            self.announcement_forwarder.send_speeds()

    def update_shards(self) -> None:
        """Dispatch on the shards that this process owns."""
        before, refused = self.sharding.table, frozenset(self.sharding.refused)
        work = sharding.Work(
            self.shards.count_endpoints(),
            self.shards.has_jobs(),
            self.has_stored_jobs(),
        )
        table = self.sharding.update(self.build_presence(), work)
        if table != before:
            self.log_shards(table)
        for token in {token for _, token in self.sharding.refused - refused}:
            emit.emit(catalogue.SHARD_TOKEN_ENDED, fence=token)
        tokens = self.sharding.list_own_tokens()
        self.run(self.shards.set_tokens(max(1, len(table)), tokens))

    def log_shards(self, table: sharding.Table) -> None:
        """Log how the endpoints are divided now."""
        emit.emit(
            catalogue.SHARDS_DIVIDED,
            count=max(1, len(table)),
            lead=bool(self.dispatcher_role.generation),
            owners=" ".join(owner.name for owner in table),
            fences=" ".join(str(owner.token) for owner in table),
            endpoints=self.shards.count_endpoints(),
        )

    def send_heartbeats(self) -> None:
        """Send the heartbeats that are due."""
        has_open_jobs = bool(self.open_jobs.jobs or self.relay.jobs)
        presence = self.build_presence()
        for heartbeat in self.participant.build_heartbeats(presence, has_open_jobs):
            self.send(heartbeat)

    def build_presence(self) -> fleet_messages.Presence:
        """Return this process's state."""
        return fleet_messages.Presence(
            self.settings.name,
            self.settings.is_core,
            self.settings.domain,
            self.settings.control,
            bool(self.shards.count_endpoints()),
            self.is_stopping,
            self.dispatcher_role.generation,
            self.members.highest_generation,
            self.dispatcher_role.following.name,
            self.open_jobs.dispatcher,
            self.manifests.get_version(),
            self.log is not None and self.log.is_caught_up_leader(),
            self.stored_jobs.has_jobs(),
            self.members.candidates,
            incarnation=self.incarnation,
            shards=self.sharding.table if self.dispatcher_role.generation else (),
            refused=tuple(token for _, token in sorted(self.sharding.refused)),
            refused_shards=tuple(shard for shard, _ in sorted(self.sharding.refused)),
            is_overloaded=self.load_meter.is_overloaded and self.shards.has_jobs(),
            evacuation_version=self.evacuations.held.version,
            evacuated=self.evacuations.held.domains,
        )

    def has_stored_jobs(self) -> bool:
        """Return whether any process is known to have stored jobs."""
        return self.stored_jobs.has_jobs() or self.members.has_stored()

    def find_log_leader(self) -> str:
        """Return the process that leads the log, empty if unknown."""
        if self.log is not None and self.log.is_caught_up_leader():
            return self.settings.name
        return self.members.find_log_leader()

    def get_primary_name(self) -> str:
        """Return the dispatcher that places stored jobs, empty for none."""
        return self.job_routes.get_primary()

    def get_control_address(self, name: str) -> str:
        """Return the address of a live member's control API."""
        presence = self.members.get_presence(name)
        return presence.control if presence is not None else ""

    def get_dispatcher_control_address(self, endpoint: str) -> str:
        """Return the control API that an endpoint should use, empty if unknown."""
        table = self.sharding.table
        if table:
            name = table[sharding.get_shard(endpoint, len(table))].name
        elif self.dispatcher_role.generation:
            name = self.settings.name
        else:
            name = self.job_routes.lead.name
        if name == self.settings.name:
            return self.settings.control
        return self.get_control_address(name)

    def follow(self, update: participant.Update) -> None:
        """Send open jobs to other processes if the update says so."""
        routes = self.job_routes
        if routes.update(update, self.sharding.table):
            emit.emit(
                catalogue.FOLLOWING,
                dispatcher=routes.lead.name,
                generation=update.choice.generation,
                jobs=len(self.open_jobs.jobs),
            )
        self.run(self.open_jobs.follow(routes.lead, routes.list_targets()))

    def update_links(self) -> None:
        """Remove stale members and relayed jobs, then update the links."""
        self.members.remove_stale()
        self.relay.forget_old()
        if self.linked_version != self.members.link_version:
            self.linked_version = self.members.link_version
            self.set_link_peers()
        if self.log is not None:
            self.log.update_targets(self.members.list_core_vms())

    def set_link_peers(self) -> None:
        """Keep links to the members that need one, and to no others."""
        peers = []
        for name in sorted(self.members.get_link_peers()):
            host, port = settings_.split_address(name)
            peers.append(links.PeerAddress(name, host, port))
        self.links.set_peers(peers)

    def on_message(self, sender: ids.ProcessId, message: effects.Message) -> None:
        """Handle a message from another process."""
        self.message_router.route(sender.name, message)

    def link_up(self, peer: ids.ProcessId) -> None:
        """Send this process's state on the new link."""
        self.participant.heartbeats.on_link_up(peer.name)

    def link_down(self, name: str, detail: str) -> None:
        """Log that a link went down, and find out whether its peer responds."""
        self.participant.on_link_down(name)
        emit.emit(catalogue.PEER_DOWN, peer=name, reason=detail)

    def link_refused(self, address: str, detail: str) -> None:
        """Log that an incoming link was closed because of what it sent."""
        emit.emit(catalogue.LINK_REFUSED_FRAME, peer=address, detail=detail)

    def message_failed(self, peer: str, kind: str, error: Exception) -> None:
        """Log that a message was dropped because of an unexpected error."""
        described = faults.describe(error)
        emit.emit(catalogue.MESSAGE_FAILED, peer=peer, kind=kind, error=described)

    def handle_silent(self, member: membership.Member) -> None:
        """Log that a member became unresponsive and report it to the dispatcher."""
        emit.emit(
            catalogue.MEMBER_SILENT,
            peer=member.name,
            silent_ms=self.members.get_silence_ms(member),
            interval_ms=member.interval_ms,
            asked=member.asked_ms is not None,
        )
        self.run(self.shards.on_entry_lost(member.name))

    # Jobs.

    def submit(
        self,
        job_id: str,
        queue: manifest.Queue,
        spec: str,
        steps: tuple[messages.SubmittedStep, ...],
        patience_ms: int,
    ) -> gevent.event.AsyncResult[open_jobs.Outcome]:
        """Submit a job; return the result in which its outcome will be set."""
        waiter: gevent.event.AsyncResult[open_jobs.Outcome] = gevent.event.AsyncResult()
        self.waiters.setdefault(job_id, []).append(waiter)
        self.run(self.open_jobs.submit(job_id, queue, spec, steps, patience_ms))
        return waiter

    def remove_waiter(
        self, job_id: str, waiter: gevent.event.AsyncResult[open_jobs.Outcome]
    ) -> None:
        """Remove a caller that left; withdraw the job after the last one."""
        waiting = self.waiters.get(job_id, [])
        if waiter in waiting:
            waiting.remove(waiter)
        if not waiting:
            self.waiters.pop(job_id, None)
            self.run(self.open_jobs.withdraw(job_id))

    def cancel(self, job_id: str, queue: str) -> bool:
        """Cancel a job, here or where it is open; return whether it was open here."""
        is_open = job_id in self.open_jobs.jobs
        if not is_open:
            self.run(self.cancellations.start(job_id, queue))
        self.run(self.open_jobs.withdraw(job_id))
        unknown = open_jobs.Unknown(reasons.Reason.CANCELLED)
        self.set_outcome(open_jobs.Settled(job_id, unknown))
        return is_open

    def is_serving(self) -> bool:
        """Return whether this process can accept callers' jobs now."""
        return (
            not self.is_stopping
            and self.manifests.queue_router is not None
            and bool(self.open_jobs.dispatcher)
        )

    def is_active_dispatcher(self) -> bool:
        """Return whether this process still dispatches."""
        return self.dispatcher_role.generation != 0 or self.shards.is_active()

    def get_metrics(self) -> bytes:
        """Return the metrics of this process as text."""
        self.telemetry.update_gauges(self.shards)
        self.telemetry.open_jobs.set(len(self.open_jobs.jobs))
        self.telemetry.live_members.set(len(self.members.get_live()))
        self.telemetry.manifest_version.set(self.manifests.get_version())
        self.telemetry.evacuated_domains.set(len(self.evacuations.held.domains))
        return self.telemetry.render()

    def stop(self) -> None:
        """Stop accepting new work; open jobs go on."""
        self.is_stopping = True
        if self.log is not None:
            self.log.step_down()
        emit.emit(catalogue.FLEET_STOPPING, jobs=len(self.open_jobs.jobs))
