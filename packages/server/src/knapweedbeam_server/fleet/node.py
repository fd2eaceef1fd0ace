"""One process of a fleet: its parts, and the loop that drives them."""

from __future__ import annotations

import collections.abc
import dataclasses
import random
import typing

import gevent
import gevent.event
import xxhash

from knapweedbeam_core import clock, effects, ids, reasons
from knapweedbeam_core.fleet import leadership, membership
from knapweedbeam_core.fleet import messages as fleet_messages
from knapweedbeam_core.log import messages as log_messages
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import calls, desk, dispatcher, messages, notes, relay
from knapweedbeam_server.fleet import (
    manifest_log,
    orders,
    ports,
    supervising,
    telemetry,
)
from knapweedbeam_server.fleet import settings as settings_
from knapweedbeam_server.logs import catalogue, emit
from knapweedbeam_wire import links, registry

TICK_S = 0.02
# The group of links changes with members only, and a look at it costs some time.
LINKS_MS = 200
# A lost peer is to be noticed within half a second: see `membership.SILENT_MS`.
LINK_TIMES = links.LinkTimes(
    connect_s=0.5, handshake_s=0.5, silence_s=3.0, unacked_ms=600, max_retry_s=0.25
)
# Between two requests for the same manifest; an answer takes a few milliseconds.
WANTED_MS = 150
# An endpoint that signs off waits a second for the acknowledgement.
HELD_TIMEOUT_S = 0.8
# After a refused token this process lets another one dispatch.
REFUSED_PAUSE_MS = 1_000

MESSAGE_CLASSES = (*fleet_messages.CLASSES, *messages.CLASSES, *log_messages.CLASSES)
NOTE_EVENTS = {
    notes.Office: catalogue.OFFICE,
    notes.EndpointChanged: catalogue.POOL_ENDPOINT_CHANGED,
    notes.EndpointLost: catalogue.POOL_ENDPOINT_LOST,
    notes.EndpointRests: catalogue.POOL_ENDPOINT_RESTS,
    notes.EndpointFenced: catalogue.POOL_ENDPOINT_FENCED,
    notes.TasksPlaced: catalogue.POOL_TASKS_PLACED,
    notes.JobEnded: catalogue.POOL_JOB_ENDED,
    notes.JobRejoined: catalogue.POOL_JOB_REJOINED,
    notes.JobWithdrawn: catalogue.POOL_JOB_WITHDRAWN,
    notes.AttemptLost: catalogue.POOL_ATTEMPT_LOST,
}


Effect = dispatcher.Effect | desk.Settled


class Decoder(typing.Protocol):
    """Turns an operator's bytes into a manifest."""

    def __call__(self, body: bytes) -> manifest.Manifest | manifest.InvalidManifest:
        """Return the manifest, or why it is none."""


@dataclasses.dataclass(frozen=True, slots=True)
class AtControl:
    """The call belongs to the control interface at `address`, empty if unknown."""

    address: str


class Node:
    """The parts of one process."""

    def __init__(
        self,
        settings: settings_.FleetSettings,
        client: ports.EndpointClient,
        decode_manifest: Decoder,
        timer: clock.Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.clock = timer
        self.supervisor = supervising.Supervisor()
        self.decode_manifest = decode_manifest
        number = xxhash.xxh32_intdigest(settings.name.encode())
        self.members = membership.Membership(
            settings.name, settings.is_core, settings.seeds, timer
        )
        self.leadership = leadership.Leadership(self.members, number, timer)
        self.dispatcher = dispatcher.Dispatcher(
            settings.name, settings.endpoint_bounds, timer
        )
        self.telemetry = telemetry.Telemetry()
        self.orders = orders.Orders(self.dispatcher, client, self.run, self.telemetry)
        self.desk = desk.Desk(timer)
        self.relay = relay.Relay(timer)
        self.directory: manifest.Directory | None = None
        self.log = self.build_log(rng)
        self.links = links.Links(
            ids.ProcessId(settings.name, rng.getrandbits(62)),
            settings_.split_address(settings.name),
            (),
            settings.link_key,
            registry.build_codec(MESSAGE_CLASSES),
            self,
            LINK_TIMES,
            is_closed_group=False,
        )
        self.waiters: dict[str, list[gevent.event.AsyncResult[desk.Outcome]]] = {}
        self.held: dict[tuple[str, int, int], gevent.event.Event] = {}
        self.silent: set[str] = set()
        self.followed = ""
        self.is_stopping = False
        self.is_placing = False
        self.wanted_due_ms = 0
        self.links_due_ms = 0

    def build_log(self, rng: random.Random) -> manifest_log.ManifestLog | None:
        """Return the replica of a process that has a data folder."""
        if self.settings.data_folder is None:
            return None
        founders = self.settings.seeds if self.settings.is_first_start else ()
        return manifest_log.ManifestLog(
            self.settings.name,
            founders,
            self.settings.data_folder,
            self.clock,
            rng,
            self.send,
        )

    def start(self) -> None:
        """Open the links and begin to tick."""
        emit.emit(
            catalogue.FLEET_STARTED,
            process=self.settings.name,
            role="core" if self.settings.is_core else "entry",
            domain=self.settings.domain,
            first_start=self.settings.is_first_start,
        )
        if self.log is not None:
            self.log.start(self.supervisor)
        self.links.start()
        self.supervisor.spawn("ticks", self.tick_forever)

    # Effects.

    def send(self, sent: effects.Send) -> None:
        """Send a message; one to this process itself is handled in the next turn."""
        if sent.to == self.settings.name:
            gevent.get_hub().loop.run_callback(self.on_own_message, sent.message)
        else:
            self.links.send(sent.to, sent.message)

    def on_own_message(self, message: effects.Message) -> None:
        """Take a message of this process to itself."""
        gevent.spawn(self.take, self.settings.name, message)

    def run(self, produced: collections.abc.Sequence[Effect]) -> None:
        """Carry out what the decisions ask for."""
        for effect in produced:
            match effect:
                case effects.Send():
                    self.send(effect)
                case calls.Start() | calls.Stop() | calls.BeginHolding():
                    self.orders.take(effect)
                case desk.Settled():
                    self.settle(effect)
                case _:
                    self.note(effect)
        if self.dispatcher.fence and not self.is_placing:
            self.is_placing = True
            gevent.spawn(self.place)

    def place(self) -> None:
        """Place tasks once after all events that came in one turn of the loop."""
        produced = self.dispatcher.place()
        self.run(produced)
        self.is_placing = False

    def note(self, note: notes.Note) -> None:
        """Log a decision, and leave the office where an endpoint refused it."""
        event = NOTE_EVENTS[type(note)]
        emit.emit(event, **dataclasses.asdict(note))
        self.telemetry.note_event(event.name)
        is_refused = isinstance(note, notes.EndpointFenced)
        if is_refused and self.leadership.generation == self.dispatcher.fence:
            self.leadership.was_refused(REFUSED_PAUSE_MS)

    def settle(self, settled: desk.Settled) -> None:
        """Give an outcome to all callers that wait for the job."""
        for waiter in self.waiters.pop(settled.job_id, ()):
            waiter.set(settled.outcome)

    # Time.

    def tick_forever(self) -> None:
        """Drive all parts."""
        while True:
            self.tick()
            gevent.sleep(TICK_S)

    def tick(self) -> None:
        """Do what is due."""
        now_ms = self.clock.now_ms()
        own = self.build_presence()
        choice = self.leadership.update(own)
        if self.leadership.generation != own.generation:
            self.announce()
        self.run(self.dispatcher.set_fence(self.leadership.generation))
        self.follow(choice)
        own = self.build_presence()
        for sent in self.members.build_heartbeats(own):
            self.send(sent)
        self.note_silent()
        self.run(self.dispatcher.tick())
        self.run(self.desk.tick())
        if self.log is not None:
            self.log.tick()
            self.take_manifest(self.log.machine.stored.version)
        if now_ms >= self.links_due_ms:
            self.links_due_ms = now_ms + LINKS_MS
            self.update_links()

    def build_presence(self) -> fleet_messages.Presence:
        """Return what this process says of itself."""
        return fleet_messages.Presence(
            self.settings.name,
            self.settings.is_core,
            self.settings.domain,
            self.settings.control,
            bool(self.dispatcher.endpoints),
            self.is_stopping,
            self.leadership.generation,
            self.members.highest_generation,
            self.leadership.following.name,
            self.desk.dispatcher,
            self.get_manifest_version(),
        )

    def follow(self, choice: leadership.Choice) -> None:
        """Send open jobs to another dispatcher once it is in office.

        Until then the one that was followed may still have its office. Where none is
        heard, another entry VM that reaches one passes the jobs on.
        """
        name = choice.name if choice.generation else self.find_substitute()
        if name == self.followed:
            return
        self.followed = name
        emit.emit(
            catalogue.FOLLOWING,
            dispatcher=name,
            generation=choice.generation,
            jobs=len(self.desk.jobs),
        )
        self.run(self.desk.follow(name))

    def find_substitute(self) -> str:
        """Return where jobs go while the choice is not in office."""
        is_lost = self.followed and not self.members.is_live(self.followed)
        if self.settings.is_core or not is_lost:
            return self.followed
        return self.members.find_relay() or self.followed

    def update_links(self) -> None:
        """Link to the members that are known now."""
        self.members.forget_old()
        self.relay.forget_old()
        peers = []
        for name in sorted(self.members.get_links()):
            host, port = settings_.split_address(name)
            peers.append(links.PeerAddress(name, host, port))
        self.links.set_peers(peers)
        if self.log is not None:
            self.log.update_targets(self.members.list_core())

    def note_silent(self) -> None:
        """Log members that fell silent, and give up what they held open."""
        now_ms = self.clock.now_ms()
        for name, member in self.members.members.items():
            if member.presence is None or self.members.is_live(name):
                continue
            if name in self.silent:
                continue
            self.silent.add(name)
            emit.emit(
                catalogue.MEMBER_SILENT, peer=name, silent_ms=now_ms - member.heard_ms
            )
            self.run(self.dispatcher.on_entry_lost(name))

    # Messages.

    def on_message(self, sender: ids.ProcessId, message: effects.Message) -> None:
        """Take a message from another process."""
        self.take(sender.name, message)

    def link_up(self, peer: ids.ProcessId) -> None:
        """Hear that a link is up; heartbeats tell more."""

    def link_down(self, name: str, detail: str) -> None:
        """Hear that a link went down."""
        emit.emit(catalogue.PEER_DOWN, peer=name, reason=detail)

    def link_refused(self, address: str, detail: str) -> None:
        """Hear that an incoming link was closed for what it sent."""
        emit.emit(catalogue.LINK_REFUSED_FRAME, peer=address, detail=detail)

    def take(self, sender: str, message: effects.Message) -> None:
        """Hand a message to the part that it is for."""
        match message:
            case fleet_messages.Presence():
                self.hear(message)
            case messages.Submit():
                self.take_submit(sender, message)
            case messages.Withdraw():
                self.run(self.dispatcher.on_withdraw(message))
                self.run(self.relay.withdraw(self.desk.dispatcher, message))
            case messages.JobComplete() | messages.JobFailed():
                self.run(self.desk.on_ended(sender, message))
                self.run(self.relay.bring_back(message))
            case messages.JobRefused():
                self.run(self.desk.on_refused(sender, message))
                self.run(self.relay.bring_back(message))
            case messages.NotDispatching(job_id, _):
                self.run(self.desk.on_not_dispatching(sender, job_id))
            case messages.EndpointNews():
                self.take_news(sender, message)
            case messages.EndpointNewsHeld():
                self.take_held(message)
            case messages.EndpointGone():
                self.run(self.dispatcher.on_gone(message))
            case fleet_messages.ManifestWanted(held_version):
                self.pass_manifest(sender, held_version)
            case fleet_messages.ManifestNews(version, body):
                self.put_in_force(version, body)
            case _:
                if self.log is not None:
                    self.log.on_message(typing.cast(log_messages.Message, message))

    def take_submit(self, sender: str, submit: messages.Submit) -> None:
        """Dispatch a job, or pass it on for an entry VM that is cut off."""
        dispatcher_name = self.desk.dispatcher
        is_relay = not self.dispatcher.fence and not self.settings.is_core
        if is_relay and self.members.is_in_office(dispatcher_name):
            self.run(self.relay.pass_on(sender, dispatcher_name, submit))
        else:
            self.run(self.dispatcher.on_submit(sender, submit))

    def hear(self, presence: fleet_messages.Presence) -> None:
        """Take a heartbeat."""
        if self.members.hear(presence):
            self.silent.discard(presence.name)
            emit.emit(
                catalogue.MEMBER_HEARD,
                peer=presence.name,
                core=presence.is_core,
                generation=presence.generation,
            )
            self.pass_endpoints(presence)
        if presence.using == self.settings.name:
            self.run(self.dispatcher.on_entry_heard(presence.name))
        elif presence.using:
            self.run(self.dispatcher.on_entry_lost(presence.name))
        now_ms = self.clock.now_ms()
        lacks = presence.manifest_version > self.get_manifest_version()
        if lacks and now_ms >= self.wanted_due_ms:
            self.wanted_due_ms = now_ms + WANTED_MS
            wanted = fleet_messages.ManifestWanted(self.get_manifest_version())
            self.send(effects.Send(presence.name, wanted))

    def pass_endpoints(self, presence: fleet_messages.Presence) -> None:
        """Tell a process that was silent which endpoints there are."""
        is_standby = presence.name in self.members.get_standbys()
        if not self.leadership.generation or not (presence.is_core or is_standby):
            return
        for news in self.dispatcher.list_news():
            self.send(effects.Send(presence.name, news))

    # Manifests.

    def get_manifest_version(self) -> int:
        """Return the version in force here, 0 before the first."""
        return self.directory.manifest.version if self.directory is not None else 0

    def take_manifest(self, version: int) -> None:
        """Put in force what the log has committed."""
        if self.log is not None and version > self.get_manifest_version():
            self.put_in_force(version, self.log.machine.stored.body)

    def put_in_force(self, version: int, body: bytes) -> None:
        """Handle requests by a newer manifest from now on."""
        if version <= self.get_manifest_version():
            return
        decoded = self.decode_manifest(body)
        if isinstance(decoded, manifest.InvalidManifest):
            emit.emit(catalogue.MANIFEST_REFUSED, detail=decoded.detail)
            return
        self.directory = manifest.Directory(decoded)
        emit.emit(
            catalogue.MANIFEST_IN_FORCE,
            version=version,
            queues=len(decoded.queues),
            services=len(decoded.services),
        )
        self.announce()

    def announce(self) -> None:
        """Tell the others at once what changed here."""
        self.members.due_ms = 0

    def pass_manifest(self, to: str, held_version: int) -> None:
        """Send the manifest in force to a process that lacks it."""
        if self.directory is None or self.get_manifest_version() <= held_version:
            return
        known = self.directory.manifest
        news = fleet_messages.ManifestNews(known.version, known.body)
        self.send(effects.Send(to, news))

    def propose_manifest(
        self, decoded: manifest.Manifest
    ) -> manifest_log.Taken | AtControl | manifest_log.Unclear:
        """Commit an operator's manifest, or say who can."""
        if self.log is None:
            return AtControl("")
        answer = self.log.propose(decoded.version, decoded.body)
        if isinstance(answer, manifest_log.Taken):
            self.take_manifest(self.log.machine.stored.version)
        if isinstance(answer, manifest_log.Elsewhere):
            return AtControl(self.get_control(answer.name))
        return answer

    def read_manifest(self) -> manifest_log.Newest | AtControl:
        """Return the newest manifest, or who surely has it."""
        if self.log is None:
            return AtControl("")
        answer = self.log.read()
        if isinstance(answer, manifest_log.Elsewhere):
            return AtControl(self.get_control(answer.name))
        return answer

    def get_control(self, name: str) -> str:
        """Return the address of a live member's control interface."""
        for known in self.members.get_live():
            if known.name == name:
                return known.control
        return ""

    # Endpoints.

    def hear_endpoint(self, news: messages.EndpointNews) -> bool:
        """Take an endpoint's word; say whether it may count on being heard.

        An endpoint that leaves is acknowledged only once its dispatcher knows.
        """
        self.run(self.dispatcher.on_endpoint_news(news))
        hubs = self.members.get_core_names() | set(self.members.get_standbys())
        for name in sorted(hubs - {self.settings.name}):
            self.send(effects.Send(name, news))
        if news.state != messages.EndpointState.LEAVING or self.leadership.generation:
            return True
        key = (news.endpoint, news.born_ms, news.sequence)
        event = self.held.setdefault(key, gevent.event.Event())
        try:
            return bool(event.wait(HELD_TIMEOUT_S))
        finally:
            self.held.pop(key, None)

    def take_news(self, sender: str, news: messages.EndpointNews) -> None:
        """Take an endpoint's word that another process passed on."""
        self.run(self.dispatcher.on_endpoint_news(news))
        if self.leadership.generation:
            held = messages.EndpointNewsHeld(news.endpoint, news.born_ms, news.sequence)
            self.send(effects.Send(sender, held))

    def take_held(self, held: messages.EndpointNewsHeld) -> None:
        """Let an endpoint that leaves be acknowledged."""
        event = self.held.get((held.endpoint, held.born_ms, held.sequence))
        if event is not None:
            event.set()

    def lose_endpoint(self, gone: messages.EndpointGone) -> None:
        """Take an endpoint's farewell and pass it on."""
        self.run(self.dispatcher.on_gone(gone))
        hubs = self.members.get_core_names() | set(self.members.get_standbys())
        for name in sorted(hubs - {self.settings.name}):
            self.send(effects.Send(name, gone))

    def get_dispatcher_control(self) -> str:
        """Return where endpoints best announce themselves, empty if unknown."""
        if self.leadership.generation:
            return self.settings.control
        return self.get_control(self.followed)

    # Jobs.

    def submit(
        self,
        job_id: str,
        queue: manifest.Queue,
        spec: str,
        steps: tuple[messages.SubmittedStep, ...],
        patience_ms: int,
    ) -> gevent.event.AsyncResult[desk.Outcome]:
        """Take a job and return what its outcome will be set in."""
        waiter: gevent.event.AsyncResult[desk.Outcome] = gevent.event.AsyncResult()
        self.waiters.setdefault(job_id, []).append(waiter)
        self.run(self.desk.take(job_id, queue, spec, steps, patience_ms))
        return waiter

    def leave(
        self, job_id: str, waiter: gevent.event.AsyncResult[desk.Outcome]
    ) -> None:
        """Give up a job once its last caller left."""
        waiting = self.waiters.get(job_id, [])
        if waiter in waiting:
            waiting.remove(waiter)
        if not waiting:
            self.waiters.pop(job_id, None)
            self.run(self.desk.withdraw(job_id))

    def cancel(self, job_id: str) -> bool:
        """Cancel a job that is open here; say whether there was one."""
        is_open = job_id in self.desk.jobs
        self.run(self.desk.withdraw(job_id))
        unknown = desk.Unknown(reasons.Reason.CANCELLED)
        self.settle(desk.Settled(job_id, unknown))
        return is_open

    def is_serving(self) -> bool:
        """Say whether this process can take callers' jobs now."""
        return (
            not self.is_stopping
            and self.directory is not None
            and bool(self.desk.dispatcher)
        )

    def has_office(self) -> bool:
        """Say whether this process still dispatches."""
        return self.leadership.generation != 0

    def get_metrics(self) -> bytes:
        """Return the metrics of this process as text."""
        self.telemetry.measure(self.dispatcher)
        self.telemetry.open.set(len(self.desk.jobs))
        self.telemetry.members.set(len(self.members.get_live()))
        self.telemetry.version.set(self.get_manifest_version())
        return self.telemetry.render()

    def stop(self) -> None:
        """Take part in nothing new; what is open goes on."""
        self.is_stopping = True
        if self.log is not None:
            self.log.leave()
        emit.emit(catalogue.FLEET_STOPPING, jobs=len(self.desk.jobs))
        self.announce()
