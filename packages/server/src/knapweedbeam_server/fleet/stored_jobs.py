"""The shell of stored jobs: callers' questions, and ends on their way to the log."""

from __future__ import annotations

import collections.abc
import typing

import gevent
import gevent.event

from knapweedbeam_core import clock, effects
from knapweedbeam_core.pool import calls, dispatcher
from knapweedbeam_core.stored import client, ledger, messages, service
from knapweedbeam_server.fleet import replicated_log
from knapweedbeam_server.logs import catalogue, emit

# A dispatcher asks the log's leader again for the stored jobs after this long.
BEGIN_PAUSE_MS = 200


Effect = effects.Send | client.Answered | service.Propose


class Host(typing.Protocol):
    """What the process around it offers."""

    clock: clock.Clock
    dispatcher: dispatcher.Dispatcher
    log: replicated_log.ReplicatedLog | None

    def send(self, sent: effects.Send) -> None:
        """Send a message."""

    def run(self, produced: collections.abc.Sequence[typing.Any]) -> None:
        """Carry out a dispatcher's effects."""

    def find_log_leader(self) -> str:
        """Return the process that leads the log, empty if unknown."""

    def get_dispatcher_name(self) -> str:
        """Return the dispatcher that is followed, empty for none."""


class StoredJobs:
    """One process's part in stored jobs."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.service = service.StoredJobService(host.clock)
        self.client = client.StoredJobClient(host.clock)
        self.answers: dict[int, gevent.event.AsyncResult[messages.Told]] = {}
        self.ends: list[messages.NotedEnd] = []
        self.begin_due_ms = 0
        self.restores = 0

    # Callers.

    def submit(self, job: messages.StoredJob) -> messages.Told:
        """Have a job kept; waits for the log."""
        question = messages.KeepJob(self.client.allocate_number(), job)
        return self.ask(question, job.job_id, job.terms.queue)

    def cancel(self, job_id: str, queue: str) -> messages.Told:
        """Have a job cancelled; waits for the log."""
        question = messages.CancelJob(self.client.allocate_number(), job_id, queue)
        return self.ask(question, job_id, queue)

    def look_up(self, job_id: str, queue: str) -> messages.Told:
        """Return a job's state."""
        question = messages.LookUpJob(self.client.allocate_number(), job_id, queue)
        return self.ask(question, job_id, queue)

    def count_waiting(self, queue: str) -> messages.Told:
        """Return how many jobs of a queue have not begun."""
        question = messages.CountWaiting(self.client.allocate_number(), queue)
        return self.ask(question, "", queue)

    def ask(self, question: messages.Request, job_id: str, queue: str) -> messages.Told:
        """Ask and wait for the answer."""
        began_ms = self.host.clock.now_ms()
        answer: gevent.event.AsyncResult[messages.Told] = gevent.event.AsyncResult()
        self.answers[question.number] = answer
        self.run(self.client.start_request(question))
        told: messages.Told = answer.get()
        emit.emit(
            catalogue.STORED_ANSWERED,
            question=type(question).__name__,
            job_id=job_id,
            queue=queue,
            verdict=str(told.verdict),
            took_ms=self.host.clock.now_ms() - began_ms,
            leader=self.client.leader,
        )
        return told

    def run(self, produced: collections.abc.Sequence[Effect]) -> None:
        """Carry out what the parts ask for."""
        for effect in produced:
            match effect:
                case effects.Send():
                    self.host.send(effect)
                case client.Answered(number, told):
                    answer = self.answers.pop(number, None)
                    if answer is not None:
                        answer.set(told)
                case service.Propose(batch) if self.host.log is not None:
                    self.host.log.propose_batch(batch)

    # Messages.

    def take(self, sender: str, message: effects.Message) -> None:
        """Take a message about stored jobs."""
        match message:
            case messages.Told():
                self.run(self.client.on_reply(message))
            case messages.CountWaiting(number, queue):
                self.host.send(effects.Send(sender, self.count(number, queue)))
            case messages.KeepJob() | messages.CancelJob() | messages.LookUpJob():
                self.update_service()
                self.run(self.service.on_request(sender, message))
            case messages.NoteEnds():
                self.update_service()
                self.run(self.service.on_ends(message))
            case messages.BeginDispatch():
                self.update_service()
                self.run(self.service.on_begin_dispatch(message))

    def count(self, number: int, queue: str) -> messages.Told:
        """Answer how many jobs of a queue wait, if they are placed here."""
        stored_scheduler = self.host.dispatcher.stored_scheduler
        if not stored_scheduler.term:
            return messages.Told(number, messages.Verdict.ELSEWHERE)
        waiting = stored_scheduler.count_waiting(queue)
        return messages.Told(number, messages.Verdict.COUNTED, waiting)

    def update_service(self) -> None:
        """Let the registrar see the ledger as it is now."""
        log = self.host.log
        if log is not None:
            self.service.update(log.machine.ledger, log.is_caught_up_leader())

    # The log.

    def on_applied(self) -> None:
        """Take what the log has applied."""
        log = self.host.log
        assert log is not None
        changes = log.machine.take_changes()
        stored_scheduler = self.host.dispatcher.stored_scheduler
        if log.machine.restores != self.restores:
            self.restores = log.machine.restores
            stored_scheduler.require_registration()
        self.update_service()
        if self.service.is_sure:
            self.note_changes(changes)
        self.run(self.service.on_changes(changes))
        self.run(self.service.on_applied())
        self.host.run(stored_scheduler.on_changes(changes, log.machine.ledger))

    def note_changes(self, changes: list[ledger.Change]) -> None:
        """Log which jobs were accepted and which have ended."""
        assert self.host.log is not None
        known = self.host.log.machine.ledger
        for change in changes:
            match change:
                case ledger.Accepted(job_id) | ledger.Cancelled(job_id):
                    self.note_job(job_id, known)
                case ledger.EndsRecorded(ends):
                    for job_id in sorted({end.task.partition(".")[0] for end in ends}):
                        entry = known.entries.get(job_id)
                        if entry is not None and not entry.is_open:
                            self.note_job(job_id, known)

    def note_job(self, job_id: str, known: ledger.Ledger) -> None:
        """Log the state of one job."""
        entry = known.entries.get(job_id)
        if entry is not None:
            emit.emit(
                catalogue.STORED_CHANGED,
                job_id=job_id,
                state=str(entry.verdict),
                left=entry.left,
            )

    def note_end(self, effect: calls.RecordEnd) -> None:
        """Send an end to the log's leader, together with others of the same turn."""
        if not self.ends:
            gevent.spawn(self.send_ends)
        end = effect.end
        is_done = end.kind == calls.EndKind.DONE
        self.ends.append(
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
        """Send the ends that were noted; the keeper sends lost ones again."""
        ends, self.ends = tuple(self.ends), []
        leader = self.host.find_log_leader()
        if leader:
            noted = messages.NoteEnds(self.host.dispatcher.fence, ends)
            self.host.send(effects.Send(leader, noted))

    # Time.

    def has_stored(self) -> bool:
        """Say whether the ledger of this process holds any jobs."""
        log = self.host.log
        return log is not None and bool(log.machine.ledger.entries)

    def tick(self) -> None:
        """Do what is due."""
        now_ms = self.host.clock.now_ms()
        leader = self.host.find_log_leader()
        self.run(self.client.set_recipients(leader, self.host.get_dispatcher_name()))
        self.run(self.client.tick())
        log = self.host.log
        if log is None:
            return
        self.update_service()
        self.run(self.service.tick())
        own = self.host.dispatcher
        if log.has_leader():
            own.stored_scheduler.record_log_contact()
        is_due = leader and now_ms >= self.begin_due_ms
        if own.fence and own.stored_scheduler.needs_registration and is_due:
            self.begin_due_ms = now_ms + BEGIN_PAUSE_MS
            begin = messages.BeginDispatch(own.fence, now_ms)
            self.host.send(effects.Send(leader, begin))
