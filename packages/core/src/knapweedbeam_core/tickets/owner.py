"""The owner of tickets: it alone has their jobs started, each one once."""

from __future__ import annotations

from knapweedbeam_core import clock, effects, ids, jobs, outcomes, reasons, rules
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import (
    job_data,
    messages,
    recording,
    records,
    replies,
    ticket,
    timers,
    witnesses,
)

SUBMIT_WINDOW_MS = 15 * clock.MINUTE_MS
MAX_RECORDS = 500_000


class Owner:
    """Keeps the jobs of the tickets minted here, until their retention ends.

    A ticket may be submitted until `SUBMIT_WINDOW_MS` after it was minted, by
    this process's monotonic clock, and its record outlives that window. So a
    ticket without a record was either never submitted or is too old to be.
    """

    def __init__(
        self,
        me: ids.ProcessId,
        time: clock.Clock,
        memory_budget: job_data.MemoryBudget,
        chosen: witnesses.Witnesses,
    ) -> None:
        self.me = me
        self.clock = time
        self.memory_budget = memory_budget
        self.witnesses = chosen
        self.rules = rules.Rules()
        self.records = records.Records()
        self.timers: timers.Timers[str] = timers.Timers()
        self.replies = replies.Replies(me)
        self.recording = recording.Recording(time, self.timers, chosen)
        self.stopping = False

    def submit(
        self, wanted: ticket.Ticket, job: jobs.Job, asker: ids.ProcessId
    ) -> parts.Effects:
        """Take a submission that arrived at `asker`."""
        digest = job_data.get_submission_digest(job)
        record = self.records.by_text.get(wanted.text)
        if record is None:
            return self.accept(wanted, job, digest, asker)
        if record.digest and record.digest != digest:
            refusal = outcomes.Refusal(reasons.Reason.CONFLICT, "body")
            return [self.replies.build(wanted.text, asker.name, refusal, digest)]
        return self.ask(record, asker)

    def accept(
        self,
        wanted: ticket.Ticket,
        job: jobs.Job,
        digest: bytes,
        asker: ids.ProcessId,
    ) -> parts.Effects:
        """Take a submission whose ticket has no record."""
        if self.is_too_old(wanted):
            return [self.replies.build_expired(wanted, asker)]
        if len(self.records.by_text) >= MAX_RECORDS:
            full = outcomes.Refusal(reasons.Reason.OVERLOADED, "tickets")
            return [self.replies.build(wanted.text, asker.name, full)]
        record = records.Record(
            wanted,
            job.member,
            digest,
            job.repeatable,
            self.get_retention_ms(job.service),
        )
        record.add_asker(asker.name)
        size = job_data.get_job_bytes(job)
        reason = self.find_obstacle(wanted, job, size)
        if reason is not None:
            return self.add_not_run(record, reason)
        self.hold(record, size)
        self.records.add(record)
        return [effects.Enqueue(job)]

    def find_obstacle(
        self, wanted: ticket.Ticket, job: jobs.Job, size: int
    ) -> reasons.Reason | None:
        """Return why a job cannot be taken, or none."""
        if self.stopping:
            return reasons.Reason.STOPPING
        witness = wanted.witness
        if witness is not None and witness not in self.witnesses.live:
            return reasons.Reason.WITNESS_LOST
        if not self.memory_budget.has_space(job.member, size):
            return reasons.Reason.MEMORY
        return None

    def add_not_run(
        self, record: records.Record, reason: reasons.Reason
    ) -> parts.Effects:
        """Keep a ticket as not run, so that no later submission runs either."""
        self.records.add(record)
        return self.finish(record, records.Event.SETTLE, replies.build_not_run(reason))

    def look_up(self, wanted: ticket.Ticket, asker: ids.ProcessId) -> parts.Effects:
        """Give the outcome to `asker`, now or once it is known."""
        record = self.records.by_text.get(wanted.text)
        if record is not None:
            return self.ask(record, asker)
        if self.is_too_old(wanted):
            return [self.replies.build_expired(wanted, asker)]
        unknown = outcomes.Refusal(reasons.Reason.NOT_FOUND, "not submitted")
        return [self.replies.build(wanted.text, asker.name, unknown)]

    def cancel(
        self, wanted: ticket.Ticket, member: str, asker: ids.ProcessId
    ) -> parts.Effects:
        """Cancel a job, or keep an unused ticket from ever running."""
        record = self.records.by_text.get(wanted.text)
        if record is None and self.is_too_old(wanted):
            return [self.replies.build_expired(wanted, asker)]
        if record is None:
            retention_ms = rules.ServiceRules("").retention_ms
            record = records.Record(wanted, member, b"", False, retention_ms)
            record.add_asker(asker.name)
            return self.add_not_run(record, reasons.Reason.CANCELLED)
        if record.outcome is not None:
            return self.ask(record, asker)
        record.add_asker(asker.name)
        return [effects.CancelJob(wanted.text)]

    def ask(self, record: records.Record, asker: ids.ProcessId) -> parts.Effects:
        """Answer `asker` now, or note that it waits."""
        text = record.ticket.text
        if record.replied and record.outcome is not None:
            return [self.replies.build(text, asker.name, record.outcome)]
        record.add_asker(asker.name)
        if asker.name == self.me.name:
            return []
        return [effects.Send(asker.name, messages.TicketPending(text))]

    def begin(self, text: str) -> parts.Effects:
        """Have the witness record the job as begun."""
        record = self.records.by_text.get(text)
        if record is None or not record.apply(records.Event.BEGIN):
            return []
        if record.ticket.witness is None:
            return self.on_recorded(record)
        return self.recording.send_begin(record)

    def on_recorded(self, record: records.Record) -> parts.Effects:
        """Start a job that its witness holds as begun, or that has no witness."""
        if not record.apply(records.Event.RECORDED):
            return []
        self.timers.drop(record.ticket.text)
        return [effects.JobBegun(record.ticket.text)]

    def on_refused(
        self, record: records.Record, reason: reasons.Reason
    ) -> parts.Effects:
        """Give up a job that its witness will not hold as begun."""
        if record.state is not records.State.BEGINNING:
            return []
        return self.give_up(record, records.Event.REFUSED, reason)

    def on_acknowledged(self, record: records.Record) -> parts.Effects:
        """Reply, now that the witness holds the outcome."""
        if not record.apply(records.Event.ACKNOWLEDGED):
            return []
        return self.close(record)

    def on_witness(self, record: records.Record, event: records.Event) -> parts.Effects:
        """Go on without a witness that is silent or has ended."""
        if record.state in records.NOT_BEGUN:
            return self.give_up(record, event, reasons.Reason.WITNESS_LOST)
        if record.apply(event):
            return self.close(record)
        return self.reply(record) if record.outcome is not None else []

    def give_up(
        self, record: records.Record, event: records.Event, reason: reasons.Reason
    ) -> parts.Effects:
        """End a job that was not begun, and have the dispatcher drop it."""
        dropped: parts.Effects = [effects.JobAbandoned(record.ticket.text)]
        return dropped + self.finish(record, event, replies.build_not_run(reason))

    def settle(self, text: str, outcome: outcomes.Outcome) -> parts.Effects:
        """Keep the outcome that the dispatcher came to."""
        record = self.records.by_text.get(text)
        if record is None or record.outcome is not None:
            return []
        return self.finish(record, records.Event.SETTLE, outcome)

    def finish(
        self, record: records.Record, event: records.Event, outcome: outcomes.Outcome
    ) -> parts.Effects:
        """Keep an outcome, tell the witness what it needs to know, and reply."""
        record.apply(event)
        record.outcome = outcome
        self.hold(record, job_data.get_outcome_bytes(outcome))
        if record.state is records.State.SETTLED:
            return self.close(record)
        witness = record.ticket.witness
        if witness is None or self.witnesses.is_ended(witness):
            record.apply(records.Event.ENDED)
            return self.close(record)
        done = self.recording.send_settle(record)
        if self.stopping:
            done += self.recording.flush()
        if record.repeatable or not self.witnesses.is_usable(witness):
            done += self.reply(record)
        return done

    def close(self, record: records.Record) -> parts.Effects:
        """Reply, and keep the settled record for its retention time."""
        self.records.close(record)
        window_end_ms = record.ticket.owner_ms + SUBMIT_WINDOW_MS
        kept_ms = self.clock.now_ms() + record.retention_ms
        self.timers.set(record.ticket.text, max(window_end_ms, kept_ms) + 1)
        return self.reply(record)

    def reply(self, record: records.Record) -> parts.Effects:
        """Answer all who asked, once."""
        if record.outcome is None:
            return []
        record.replied = True
        text = record.ticket.text
        names, record.askers = record.askers, ()
        return [self.replies.build(text, name, record.outcome) for name in names]

    def on_live(self, change: witnesses.Change) -> parts.Effects:
        """Go on without the witnesses that went, and with those that came back."""
        done: parts.Effects = []
        for witness in sorted(change.lost):
            ended = self.witnesses.is_ended(witness)
            event = records.Event.ENDED if ended else records.Event.SILENT
            done += self.on_loss(witness, event)
        for witness in sorted(change.back):
            done += self.on_back(witness)
        return done

    def on_loss(self, witness: ids.ProcessId, event: records.Event) -> parts.Effects:
        """Go on without a witness that is silent or has ended."""
        self.witnesses.mark_silent(witness)
        done: parts.Effects = []
        for record in self.records.get_open(witness):
            done += self.on_witness(record, event)
        return done

    def on_back(self, witness: ids.ProcessId) -> parts.Effects:
        """Tell a witness that is back what it missed."""
        done: parts.Effects = []
        for record in self.records.get_open(witness):
            if record.state is records.State.SETTLING:
                done += self.recording.resend(record)
        return done

    def tick(self) -> parts.Effects:
        """Retry what is not acknowledged and forget what has expired."""
        done = self.recording.flush()
        for text in self.timers.pop_due(self.clock.now_ms()):
            done += self.on_due(self.records.by_text[text])
        return done

    def on_due(self, record: records.Record) -> parts.Effects:
        """Do what is due for one record."""
        if record.apply(records.Event.EXPIRE):
            self.hold(record, 0)
            del self.records.by_text[record.ticket.text]
            return []
        if not self.recording.is_overdue(record):
            return self.recording.resend(record)
        witness = record.ticket.witness
        assert witness is not None
        if not self.witnesses.is_usable(witness):
            return self.recording.resend(record)
        self.recording.park(record)
        return self.on_loss(witness, records.Event.SILENT)

    def hold(self, record: records.Record, size: int) -> None:
        """Count `size` bytes as held by a record, in place of what it held."""
        self.memory_budget.add(record.member, size - record.held_bytes)
        record.held_bytes = size

    def is_too_old(self, wanted: ticket.Ticket) -> bool:
        """Say whether a ticket may be submitted for the first time no more."""
        return self.clock.now_ms() - wanted.owner_ms > SUBMIT_WINDOW_MS

    def get_retention_ms(self, service: str) -> int:
        """Return how long outcomes of a service are kept."""
        known = self.rules.services.get(service, rules.ServiceRules(service))
        return known.retention_ms
