"""The shell of stored jobs: callers' requests, and ends that are sent to the log."""

from __future__ import annotations

import collections.abc
import random
import typing

import gevent
import gevent.event

from knapweedbeam_core import clock, effects
from knapweedbeam_core.pool import calls, jobs, shards
from knapweedbeam_core.stored import client, ledger, messages, service
from knapweedbeam_server.fleet import replicated_log
from knapweedbeam_server.logs import catalogue, emit

# Interval at which a dispatcher repeats its registration at the log's leader.
REGISTRATION_INTERVAL_MS = 200


Effect = effects.Send | client.Answered | service.Propose


class Host(typing.Protocol):
    """The parts and methods of the process that are used here."""

    clock: clock.Clock
    shards: shards.ShardedDispatcher
    log: replicated_log.ReplicatedLog | None

    def send(self, effect: effects.Send) -> None:
        """Send a message."""

    def run(self, produced: collections.abc.Sequence[typing.Any]) -> None:
        """Carry out a dispatcher's effects."""

    def find_log_leader(self) -> str:
        """Return the process that leads the log, empty if unknown."""

    def get_primary_name(self) -> str:
        """Return the dispatcher that places stored jobs, empty for none."""


class StoredJobs:
    """Handles callers' requests and log changes of stored jobs in one process."""

    def __init__(self, host: Host, rng: random.Random) -> None:
        self.host = host
        self.service = service.StoredJobService(host.clock)
        self.client = client.StoredJobClient(host.clock, rng)
        self.pending_replies: dict[int, gevent.event.AsyncResult[messages.Told]] = {}
        self.unsent_ends: list[messages.NotedEnd] = []
        self.registration_due_ms = 0
        self.last_restores = 0

    # Callers.

    def submit(self, job: messages.StoredJob) -> messages.Told:
        """Request that a job be stored; wait for the log."""
        request = messages.KeepJob(self.client.allocate_number(), job)
        return self.send_request(request, job.job_id, job.terms.queue)

    def cancel(self, job_id: str, queue: str) -> messages.Told:
        """Request that a job be cancelled; wait for the log."""
        request = messages.CancelJob(self.client.allocate_number(), job_id, queue)
        return self.send_request(request, job_id, queue)

    def look_up(self, job_id: str, queue: str) -> messages.Told:
        """Request a job's state."""
        request = messages.LookUpJob(self.client.allocate_number(), job_id, queue)
        return self.send_request(request, job_id, queue)

    def count_waiting(self, queue: str) -> messages.Told:
        """Request the number of jobs in a queue that have not begun."""
        request = messages.CountWaiting(self.client.allocate_number(), queue)
        return self.send_request(request, "", queue)

    def send_request(
        self, request: messages.Request, job_id: str, queue: str
    ) -> messages.Told:
        """Send a request and wait for its reply."""
        started_ms = self.host.clock.now_ms()
        pending: gevent.event.AsyncResult[messages.Told] = gevent.event.AsyncResult()
        self.pending_replies[request.number] = pending
        self.run(self.client.start_request(request))
        reply: messages.Told = pending.get()
        emit.emit(
            catalogue.STORED_ANSWERED,
            question=type(request).__name__,
            job_id=job_id,
            queue=queue,
            verdict=str(reply.verdict),
            took_ms=self.host.clock.now_ms() - started_ms,
            leader=self.client.leader,
        )
        return reply

    def run(self, produced: collections.abc.Sequence[Effect]) -> None:
        """Carry out the effects of the client and the service."""
        for effect in produced:
            match effect:
                case effects.Send():
                    self.host.send(effect)
                case client.Answered(number, reply):
                    pending = self.pending_replies.pop(number, None)
                    if pending is not None:
                        pending.set(reply)
                case service.Propose(batch) if self.host.log is not None:
                    self.host.log.propose_batch(batch)

    # Messages.

    def handle_message(self, sender: str, message: effects.Message) -> None:
        """Handle a message about stored jobs."""
        match message:
            case messages.Told():
                self.run(self.client.on_reply(message))
            case messages.CountWaiting(number, queue):
                self.host.send(
                    effects.Send(sender, self.build_count_reply(number, queue))
                )
            case messages.KeepJob() | messages.CancelJob() | messages.LookUpJob():
                self.update_service()
                self.run(self.service.on_request(sender, message))
            case messages.NoteEnds():
                self.update_service()
                self.run(self.service.on_ends(message))
            case messages.NoteCrashes():
                self.update_service()
                self.run(self.service.on_crashes(message))
            case messages.BeginDispatch():
                self.update_service()
                self.run(self.service.on_begin_dispatch(message))

    def build_count_reply(self, number: int, queue: str) -> messages.Told:
        """Return the number of waiting jobs in a queue, if this process places them."""
        stored_scheduler = self.host.shards.get_primary().stored_scheduler
        if not stored_scheduler.term:
            return messages.Told(number, messages.Verdict.ELSEWHERE)
        waiting = stored_scheduler.count_waiting(queue)
        return messages.Told(number, messages.Verdict.COUNTED, waiting)

    def update_service(self) -> None:
        """Pass the present ledger to the service."""
        log = self.host.log
        if log is not None:
            self.service.update(log.machine.ledger, log.is_caught_up_leader())

    # The log.

    def on_applied(self) -> None:
        """Handle changes that the log has applied."""
        log = self.host.log
        assert log is not None
        changes = log.machine.take_changes()
        stored_scheduler = self.host.shards.get_primary().stored_scheduler
        if log.machine.restores != self.last_restores:
            self.last_restores = log.machine.restores
            stored_scheduler.require_registration()
        self.update_service()
        if self.service.is_sure:
            self.log_changes(changes)
        self.run(self.service.on_changes(changes))
        self.run(self.service.on_applied())
        self.host.run(stored_scheduler.on_changes(changes, log.machine.ledger))

    def log_changes(self, changes: list[ledger.Change]) -> None:
        """Log the jobs that were accepted or cancelled or have ended."""
        assert self.host.log is not None
        current_ledger = self.host.log.machine.ledger
        for change in changes:
            match change:
                case ledger.Accepted(job_id) | ledger.Cancelled(job_id):
                    self.log_job_state(job_id, current_ledger)
                case ledger.EndsRecorded(tasks) | ledger.CrashesRecorded(tasks, _):
                    job_ids = {jobs.get_job_id(each.task) for each in tasks}
                    for job_id in sorted(job_ids):
                        entry = current_ledger.entries.get(job_id)
                        if entry is not None and not entry.is_open:
                            self.log_job_state(job_id, current_ledger)

    def log_job_state(self, job_id: str, current_ledger: ledger.Ledger) -> None:
        """Log the state of one job."""
        entry = current_ledger.entries.get(job_id)
        if entry is not None:
            emit.emit(
                catalogue.STORED_CHANGED,
                job_id=job_id,
                state=str(entry.verdict),
                left=entry.left,
            )

    def queue_end(self, effect: calls.RecordEnd) -> None:
        """Queue an end, to be sent to the log's leader with others of the same turn."""
        if not self.unsent_ends:
            gevent.spawn(self.send_ends)
        end = effect.end
        is_done = end.kind == calls.EndKind.DONE
        self.unsent_ends.append(
            messages.NotedEnd(
                effect.endpoint,
                effect.born_ms,
                end.place,
                end.task,
                end.number,
                is_done,
            )
        )

    def send_ends(self) -> None:
        """Send the queued ends; the stored-job scheduler resends lost ones."""
        ends, self.unsent_ends = tuple(self.unsent_ends), []
        leader = self.host.find_log_leader()
        if leader:
            message = messages.NoteEnds(self.host.shards.get_primary().fence, ends)
            self.host.send(effects.Send(leader, message))

    def send_crash(self, effect: calls.RecordCrash) -> None:
        """Send a crash to the log's leader; the stored-job scheduler resends it."""
        leader = self.host.find_log_leader()
        if leader:
            message = messages.NoteCrashes((effect.crash,), effect.is_retracted)
            self.host.send(effects.Send(leader, message))

    # Time.

    def has_jobs(self) -> bool:
        """Return whether the ledger of this process holds any jobs."""
        log = self.host.log
        return log is not None and bool(log.machine.ledger.entries)

    def tick(self) -> None:
        """Do what is due in the client and the service, and register if needed."""
        now_ms = self.host.clock.now_ms()
        leader = self.host.find_log_leader()
        self.run(self.client.set_recipients(leader, self.host.get_primary_name()))
        self.run(self.client.tick())
        log = self.host.log
        if log is None:
            return
        self.update_service()
        self.run(self.service.tick())
        own_dispatcher = self.host.shards.get_primary()
        if log.has_leader():
            own_dispatcher.stored_scheduler.record_log_contact()
        is_due = leader and now_ms >= self.registration_due_ms
        if (
            own_dispatcher.fence
            and own_dispatcher.stored_scheduler.needs_registration
            and is_due
        ):
            self.registration_due_ms = now_ms + REGISTRATION_INTERVAL_MS
            begin = messages.BeginDispatch(own_dispatcher.fence, now_ms)
            self.host.send(effects.Send(leader, begin))
