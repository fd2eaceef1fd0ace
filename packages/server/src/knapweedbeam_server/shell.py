"""Carry out what the node decides, and bring it events."""

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
from knapweedbeam_server import history, recorder, status, waiters
from knapweedbeam_server.http import auth, operators
from knapweedbeam_server.logs import catalogue, emit
from knapweedbeam_server.tasks import starter
from knapweedbeam_wire import links as wire_links
from knapweedbeam_wire import store

STALL_MS = 250
IDLE_TICK_MS = 100
MS_PER_S = 1_000


@dataclasses.dataclass(slots=True)
class Counters:
    """What the HTTP servers tell the shell."""

    open_requests: int = 0
    stopping: bool = False

    def is_stopping(self) -> bool:
        """Say whether connections are to be closed after their reply."""
        return self.stopping


class Shell:
    """One process: the node, its links, its tasks and those who wait."""

    def __init__(
        self,
        me: ids.ProcessId,
        domain: str,
        own_clock: clock.Clock,
        authenticator: auth.Authenticator,
        record: recorder.Recorder,
    ) -> None:
        self.me = me
        self.domain = domain
        self.clock = own_clock
        self.authenticator = authenticator
        self.recorder = record
        self.histograms = record.histograms
        self.job_waiters = waiters.JobWaiters()
        self.proposal_waiters = waiters.ProposalWaiters()
        self.counters = Counters()
        self.to_save: gevent.queue.SimpleQueue = gevent.queue.SimpleQueue()
        self.node: nodes.Node
        self.control: control.Control
        self.dispatcher: dispatcher.Dispatcher
        self.links: wire_links.Links
        self.starter: starter.TaskStarter
        self.ready = False
        self.alone = False

    def connect(
        self,
        node: nodes.Node,
        governing: control.Control,
        dispatching: dispatcher.Dispatcher,
        links: wire_links.Links,
        tasks: starter.TaskStarter,
    ) -> None:
        """Take the parts that need the shell themselves."""
        self.node = node
        self.control = governing
        self.dispatcher = dispatching
        self.links = links
        self.starter = tasks

    # Events from the callers' calls.

    def get_rules(self) -> rules.Rules:
        """Return the rules in force."""
        return self.node.rules

    def now_ms(self) -> int:
        """Return monotonic time."""
        return self.clock.now_ms()

    def mint(self, member: str, count: int) -> tuple[str, ...] | outcomes.Refusal:
        """Mint tickets."""
        tickets = self.node.coordinator.mint(member, count)
        if not isinstance(tickets, outcomes.Refusal):
            self.recorder.minted(member, len(tickets))
        return tickets

    def submit(self, job: jobs.Job) -> outcomes.Refusal | None:
        """Take a submission; return a refusal that is for this call alone."""
        self.recorder.submitted(job, job.ticket)
        return self.carry_out_call(job.ticket, self.node.submit(job))

    def submit_new(self, job: jobs.Job, key: str) -> str | outcomes.Refusal:
        """Take a submission without a ticket; return what to wait for.

        The effects follow in the next turn, when the call waits already.
        """
        taken = self.node.submit_new(job, key)
        if isinstance(taken, outcomes.Refusal):
            return taken
        handle, followed = taken
        self.recorder.submitted(job, handle, key)
        gevent.spawn(self.carry_out, followed)
        return handle

    def look_up(self, ticket: str, member: str) -> outcomes.Refusal | None:
        """Ask for an outcome."""
        return self.carry_out_call(ticket, self.node.look_up(ticket, member))

    def cancel(self, ticket: str, member: str) -> outcomes.Refusal | None:
        """Cancel a job."""
        return self.carry_out_call(ticket, self.node.cancel(ticket, member))

    def carry_out_call(
        self, ticket: str, found: parts.Effects
    ) -> outcomes.Refusal | None:
        """Carry out a call's effects; a refusal at once is for that call alone.

        Others may wait for the same ticket rightfully.
        """
        refusal = None
        others: parts.Effects = []
        for effect in found:
            match effect:
                case effects.Answer(own, outcomes.Refusal() as refused) if (
                    own == ticket
                ):
                    refusal = refused
                case _:
                    others.append(effect)
        self.carry_out(others)
        return refusal

    # Events from endpoints, the platform and operators.

    def announce(
        self, announcement: parts.Announcement
    ) -> parts.EndpointLease | outcomes.Refusal:
        """Take an endpoint's announcement."""
        answer, followed = self.node.announce(announcement)
        self.recorder.announced(announcement)
        self.carry_out(followed)
        return answer

    def report_usage(self, report: parts.UsageReport) -> None:
        """Take a worker's usage."""
        self.carry_out(self.node.report_usage(report))

    def propose(self, call: int, bundle: str) -> None:
        """Roll a bundle."""
        self.carry_out(self.node.propose(call, bundle))

    def get_bundle(self, version: int) -> str | outcomes.Refusal:
        """Return an accepted bundle."""
        return self.node.control.get_bundle(version)

    def is_ready(self) -> bool:
        """Say whether callers' work is taken."""
        if self.counters.stopping:
            return False
        if self.alone:
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
        """Return a member's limits and what is used of them here."""
        return self.control.get_usage(member)

    def list_endpoints(self) -> tuple[listing.EndpointListing, ...]:
        """Return the endpoints known here."""
        return listing.list_endpoints(self.dispatcher)

    # Events from links.

    def on_message(self, sender: ids.ProcessId, message: effects.Message) -> None:
        """Take a message from a proved sender."""
        self.carry_out(self.node.on_message(sender, message))

    def link_up(self, peer: ids.ProcessId) -> None:
        """Hear that the link to a peer is up."""
        emit.emit(catalogue.PEER_UP, peer=peer.name, incarnation=peer.incarnation)

    def link_down(self, name: str, detail: str) -> None:
        """Hear that the link to a peer went down."""
        emit.emit(catalogue.PEER_DOWN, peer=name, reason=detail)

    def link_refused(self, address: str, detail: str) -> None:
        """Hear that an incoming link was closed for what it sent."""
        emit.emit(catalogue.LINK_REFUSED_FRAME, peer=address, detail=detail)

    def task_ended(self, end: effects.TaskEnd) -> None:
        """Take the end of a task."""
        self.recorder.task_ended(end)
        self.carry_out(self.node.handle_task_end(end))

    # Effects.

    def carry_out(self, found: parts.Effects) -> None:
        """Carry out effects in order."""
        for effect in found:
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
                    self.to_save.put(effect)
                case parts.ProposalAnswered(call, answer):
                    self.proposal_waiters.resolve(call, answer)

    def start_task(self, start: effects.StartTask) -> None:
        """Start a task."""
        self.recorder.started(start)
        self.starter.start(start)

    def stop_task(self, stop: effects.StopTask) -> None:
        """Ask for the stop of a task."""
        self.recorder.stopped()
        self.starter.stop(stop)

    def answer(self, answer: effects.Answer) -> None:
        """Give an answer to those who wait."""
        if not isinstance(answer.outcome, outcomes.Refusal):
            ticket = answer.key_ticket or answer.ticket
            self.recorder.answered(ticket, answer.outcome)
        self.job_waiters.resolve(answer)

    def observe(self, effect: parts.Effect) -> None:
        """Note what the parts of the node tell each other."""
        if isinstance(effect, parts.RulesInForce):
            self.authenticator.rules = effect.rules
        self.recorder.observe(effect)

    # Greenlets.

    def run_ticks(self) -> None:
        """Tick the node; say when the loop stood still."""
        due_ms = self.clock.now_ms()
        while True:
            due_ms += parts.TICK_MS if self.is_busy() else IDLE_TICK_MS
            gevent.sleep(max(due_ms - self.clock.now_ms(), 0) / MS_PER_S)
            late_ms = self.clock.now_ms() - due_ms
            if late_ms > STALL_MS:
                emit.emit(catalogue.LOOP_STALLED, stall_ms=late_ms)
            if late_ms > parts.TICK_MS:
                due_ms = self.clock.now_ms()
            self.carry_out(self.node.tick())
            self.follow_readiness()

    def is_busy(self) -> bool:
        """Say whether callers wait, so that ticks must come often."""
        return bool(self.counters.open_requests or self.recorder.get_open_jobs())

    def follow_readiness(self) -> None:
        """Note when the process becomes ready, or is so no more."""
        ready = self.is_ready()
        if ready == self.ready:
            return
        self.ready = ready
        if ready:
            self.recorder.ready(self.node.rules.version)
        elif not self.counters.stopping:
            emit.emit(catalogue.NOT_READY, reason="no bundle or no data folder")

    def run_saves(self, disk: store.Store) -> None:
        """Save what the replica asks for, in order."""
        while True:
            persist = self.to_save.get()
            failure = disk.apply(persist)
            if failure is not None:
                self.fail_disk(failure)
                return
            self.carry_out(self.node.persisted(persist.batch))

    def fail_disk(self, failure: store.StoreFailure) -> None:
        """Stop the replica; the process goes on without it."""
        emit.emit(catalogue.STORE_FAILED, reason=failure.fault, detail=failure.detail)
        self.carry_out(self.node.control.persist_failed())

    def flush_records(self) -> None:
        """Flush the history and the metrics each second."""
        while True:
            gevent.sleep(history.FLUSH_MS / MS_PER_S)
            links = self.links.outgoing.values()
            levels = recorder.Levels(
                self.counters.open_requests,
                sum(link.connected for link in links),
                self.node.rules.version,
            )
            self.recorder.flush(levels)

    # Stopping.

    def stop(self) -> None:
        """Start a graceful stop."""
        self.counters.stopping = True
        self.recorder.stopping()
        self.carry_out(self.node.stop())

    def is_idle(self) -> bool:
        """Say whether nothing is left to answer."""
        return (
            self.node.dispatcher.is_idle()
            and self.node.coordinator.is_idle()
            and not self.starter.running
            and not self.counters.open_requests
        )

    def close(self, cut: int) -> None:
        """End the history."""
        self.recorder.close(cut)

    def get_unanswered(self) -> int:
        """Return how many requests a stop would cut now."""
        return max(self.counters.open_requests, self.recorder.get_open_jobs())
