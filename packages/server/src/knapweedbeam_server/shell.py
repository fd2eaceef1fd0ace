"""The I/O around the node: pass it events and execute its effects."""

from __future__ import annotations

import dataclasses

import gevent
import gevent.queue

from knapweedbeam_core import clock, effects, ids, jobs, outcomes, rules
from knapweedbeam_core.control import control
from knapweedbeam_core.dispatch import dispatcher, listing
from knapweedbeam_core.entry import node as nodes
from knapweedbeam_core.entry import parts
from knapweedbeam_core.limits import limiter
from knapweedbeam_server import history, log_writer, recorder, status, waiters
from knapweedbeam_server.http import auth, operators
from knapweedbeam_server.logs import catalogue, emit, faults
from knapweedbeam_server.tasks import starter
from knapweedbeam_wire import links as wire_links
from knapweedbeam_wire import store

STALL_THRESHOLD_MS = 250
IDLE_TICK_MS = 100
MS_PER_S = 1_000


@dataclasses.dataclass(slots=True)
class Counters:
    """State that the HTTP servers and the shell share."""

    open_requests: int = 0
    stopping: bool = False

    def is_stopping(self) -> bool:
        """Return whether connections are to be closed after their reply."""
        return self.stopping


class Shell:
    """One process: the node, its links, its running tasks and the waiting calls."""

    def __init__(
        self,
        me: ids.ProcessId,
        domain: str,
        own_clock: clock.Clock,
        authenticator: auth.Authenticator,
        own_recorder: recorder.Recorder,
    ) -> None:
        self.me = me
        self.domain = domain
        self.clock = own_clock
        self.authenticator = authenticator
        self.recorder = own_recorder
        self.histograms = own_recorder.histograms
        self.job_waiters = waiters.JobWaiters()
        self.proposal_waiters = waiters.ProposalWaiters()
        self.counters = Counters()
        self.persist_queue: gevent.queue.SimpleQueue = gevent.queue.SimpleQueue()
        self.node: nodes.Node
        self.control: control.Control
        self.dispatcher: dispatcher.Dispatcher
        self.links: wire_links.Links
        self.starter: starter.TaskStarter
        self.was_ready = False
        self.is_standalone = False

    def connect(
        self,
        node: nodes.Node,
        control_part: control.Control,
        dispatcher_part: dispatcher.Dispatcher,
        links: wire_links.Links,
        task_starter: starter.TaskStarter,
    ) -> None:
        """Set the parts that cannot be built before the shell, as they refer to it."""
        self.node = node
        self.control = control_part
        self.dispatcher = dispatcher_part
        self.links = links
        self.starter = task_starter

    # Events from callers' HTTP calls.

    def get_rules(self) -> rules.Rules:
        """Return the rules in force."""
        return self.node.rules

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""
        return self.clock.now_ms()

    def mint(self, member: str, count: int) -> tuple[str, ...] | outcomes.Refusal:
        """Mint a block of tickets for a member."""
        tickets = self.node.coordinator.mint(member, count)
        if not isinstance(tickets, outcomes.Refusal):
            self.recorder.record_tickets(member, len(tickets))
        return tickets

    def submit(self, job: jobs.Job) -> outcomes.Refusal | None:
        """Submit a job; return a refusal that concerns only this call."""
        self.recorder.record_submission(job, job.ticket)
        return self.execute_call_effects(job.ticket, self.node.submit(job))

    def submit_new(self, job: jobs.Job, key: str) -> str | outcomes.Refusal:
        """Submit a job without a ticket; return the handle to wait for.

        The effects are executed in a new greenlet, so that the call already waits when
        the answer comes.
        """
        submission = self.node.submit_new(job, key)
        if isinstance(submission, outcomes.Refusal):
            return submission
        handle, node_effects = submission
        self.recorder.record_submission(job, handle, key)
        gevent.spawn(self.execute_effects, node_effects)
        return handle

    def look_up(self, ticket: str, member: str) -> outcomes.Refusal | None:
        """Request the outcome of a job."""
        return self.execute_call_effects(ticket, self.node.look_up(ticket, member))

    def cancel(self, ticket: str, member: str) -> outcomes.Refusal | None:
        """Cancel a job."""
        return self.execute_call_effects(ticket, self.node.cancel(ticket, member))

    def execute_call_effects(
        self, ticket: str, node_effects: parts.Effects
    ) -> outcomes.Refusal | None:
        """Execute a call's effects; return an immediate refusal of its ticket, if any.

        The refusal goes to this call only: other calls may be entitled to wait for
        the same ticket.
        """
        refusal = None
        others: parts.Effects = []
        for effect in node_effects:
            match effect:
                case effects.Answer(answered_ticket, outcomes.Refusal() as refused) if (
                    answered_ticket == ticket
                ):
                    refusal = refused
                case _:
                    others.append(effect)
        self.execute_effects(others)
        return refusal

    # Events from endpoints, the platform and operators.

    def announce(
        self, announcement: parts.Announcement
    ) -> parts.EndpointLease | outcomes.Refusal:
        """Handle an endpoint's announcement; return its lease or a refusal."""
        answer, node_effects = self.node.announce(announcement)
        self.recorder.record_announcement(announcement)
        self.execute_effects(node_effects)
        return answer

    def report_usage(self, report: parts.UsageReport) -> None:
        """Handle a usage report of a worker."""
        self.execute_effects(self.node.report_usage(report))

    def propose(self, call: int, bundle: str) -> None:
        """Propose a bundle to the replicated log."""
        self.execute_effects(self.node.propose(call, bundle))

    def get_bundle(self, version: int) -> str | outcomes.Refusal:
        """Return the text of an accepted bundle."""
        return self.node.control.get_bundle(version)

    def is_ready(self) -> bool:
        """Return whether the process accepts callers' work."""
        if self.counters.stopping:
            return False
        if self.is_standalone:
            return True
        return self.node.rules.version > 0 and self.node.control.is_ready()

    def get_status(self) -> operators.StatusContent:
        """Return the status of this process."""
        work = operators.WorkContent(
            self.is_ready(),
            self.counters.stopping,
            self.job_waiters.get_count(),
            self.starter.running,
        )
        return status.build_status(self.me, self.domain, self.node, self.links, work)

    def get_members(self) -> tuple[str, ...]:
        """Return the names of all members."""
        return tuple(sorted(self.node.rules.members))

    def get_usage(self, member: str) -> tuple[limiter.LimitUsage, ...]:
        """Return a member's limits and how much of each is used here."""
        return self.control.get_usage(member)

    def list_endpoints(self) -> tuple[listing.EndpointListing, ...]:
        """Return the endpoints that this process knows."""
        return listing.list_endpoints(self.dispatcher)

    # Events from links.

    def on_message(self, sender: ids.ProcessId, message: effects.Message) -> None:
        """Handle a message from an authenticated sender."""
        self.execute_effects(self.node.on_message(sender, message))

    def link_up(self, peer: ids.ProcessId) -> None:
        """Log that the link to a peer is up."""
        emit.emit(catalogue.PEER_UP, peer=peer.name, incarnation=peer.incarnation)

    def link_down(self, name: str, detail: str) -> None:
        """Log that the link to a peer is down."""
        emit.emit(catalogue.PEER_DOWN, peer=name, reason=detail)

    def link_refused(self, address: str, detail: str) -> None:
        """Log that an incoming link was closed because of what it sent."""
        emit.emit(catalogue.LINK_REFUSED_FRAME, peer=address, detail=detail)

    def message_failed(self, peer: str, kind: str, error: Exception) -> None:
        """Log that a message was dropped because of an unexpected error."""
        described = faults.describe(error)
        emit.emit(catalogue.MESSAGE_FAILED, peer=peer, kind=kind, error=described)

    def on_task_end(self, end: effects.TaskEnd) -> None:
        """Handle the end of a task."""
        self.recorder.record_task_end(end)
        self.execute_effects(self.node.handle_task_end(end))

    # Effects.

    def execute_effects(self, node_effects: parts.Effects) -> None:
        """Execute effects in order."""
        for effect in node_effects:
            match effect:
                case effects.Send(to, message):
                    self.links.send(to, message)
                case effects.StartTask():
                    self.start_task(effect)
                case effects.StopTask():
                    self.stop_task(effect)
                case effects.Answer():
                    self.answer(effect)
                case parts.Persist():
                    self.persist_queue.put(effect)
                case parts.ProposalAnswered(call, answer):
                    self.proposal_waiters.resolve(call, answer)

    def start_task(self, start: effects.StartTask) -> None:
        """Record the start of a task and post it to its endpoint."""
        self.recorder.record_start(start)
        self.starter.start(start)

    def stop_task(self, stop: effects.StopTask) -> None:
        """Record a stop request and send it to the platform."""
        self.recorder.record_stop_request()
        self.starter.stop(stop)

    def answer(self, answer: effects.Answer) -> None:
        """Record an outcome and pass the answer to the waiting calls."""
        if not isinstance(answer.outcome, outcomes.Refusal):
            ticket = answer.key_ticket or answer.ticket
            self.recorder.record_outcome(ticket, answer.outcome)
        self.job_waiters.resolve(answer)

    def observe(self, effect: parts.Effect) -> None:
        """Record an effect between parts; new rules also go to the authenticator."""
        if isinstance(effect, parts.RulesInForce):
            self.authenticator.rules = effect.rules
        self.recorder.observe(effect)

    # Greenlets.

    def run_ticks(self) -> None:
        """Tick the node until the process ends; log stalls of the event loop."""
        due_ms = self.clock.now_ms()
        while True:
            due_ms += parts.TICK_MS if self.is_busy() else IDLE_TICK_MS
            gevent.sleep(max(due_ms - self.clock.now_ms(), 0) / MS_PER_S)
            late_ms = self.clock.now_ms() - due_ms
            if late_ms > STALL_THRESHOLD_MS:
                emit.emit(catalogue.LOOP_STALLED, stall_ms=late_ms)
            if late_ms > parts.TICK_MS:
                due_ms = self.clock.now_ms()
            self.execute_effects(self.node.tick())
            self.record_readiness()

    def is_busy(self) -> bool:
        """Return whether requests or jobs are open, which need frequent ticks."""
        return bool(self.counters.open_requests or self.recorder.get_open_jobs())

    def record_readiness(self) -> None:
        """Record when the process becomes ready, and log when it no longer is."""
        ready = self.is_ready()
        if ready == self.was_ready:
            return
        self.was_ready = ready
        if ready:
            self.recorder.record_ready(self.node.rules.version)
        elif not self.counters.stopping:
            emit.emit(catalogue.NOT_READY, reason="no bundle or no data folder")

    def run_persistence(self, data_store: store.Store) -> None:
        """Write what the replica persists, in order, until the store fails."""
        writer = log_writer.LogWriter(
            data_store, self.hand_over_log, self.report_disk_space
        )
        while True:
            persist = self.persist_queue.get()
            failure = writer.write(persist)
            if failure is not None:
                self.handle_store_failure(failure)
                return
            self.execute_effects(self.node.persisted(persist.batch))

    def hand_over_log(self) -> None:
        """Let another replica lead while this one cannot write."""
        self.execute_effects(self.node.control.hand_over())

    def report_disk_space(self, waited_ms: int, detail: str) -> None:
        """Log that the disk is full, or that it has room again after `waited_ms`."""
        if waited_ms:
            emit.emit(catalogue.STORE_HAS_ROOM, waited_ms=waited_ms)
        else:
            emit.emit(catalogue.STORE_FULL, detail=detail)

    def handle_store_failure(self, failure: store.StoreFailure) -> None:
        """Log the failure and stop the replica; the process continues without it."""
        emit.emit(catalogue.STORE_FAILED, reason=failure.fault, detail=failure.detail)
        self.execute_effects(self.node.control.persist_failed())

    def flush_records(self) -> None:
        """Flush the history and the metrics every second."""
        while True:
            gevent.sleep(history.FLUSH_MS / MS_PER_S)
            links = self.links.outgoing.values()
            gauge_values = recorder.GaugeValues(
                self.counters.open_requests,
                sum(link.connected for link in links),
                self.node.rules.version,
            )
            self.recorder.flush(gauge_values)

    # Stopping.

    def stop(self) -> None:
        """Start a graceful stop: no new work is accepted."""
        self.counters.stopping = True
        self.recorder.record_stopping()
        self.execute_effects(self.node.stop())

    def is_idle(self) -> bool:
        """Return whether no job, task or request is open."""
        return (
            self.node.dispatcher.is_idle()
            and self.node.coordinator.is_idle()
            and not self.starter.running
            and not self.counters.open_requests
        )

    def close(self, cut: int) -> None:
        """Close the history; `cut` is the number of unanswered requests."""
        self.recorder.close(cut)

    def get_unanswered(self) -> int:
        """Return how many requests would get no answer if the process ended now."""
        return max(self.counters.open_requests, self.recorder.get_open_jobs())
