"""The owner of tickets: only the owner starts their jobs, each at most once."""

from __future__ import annotations

from knapweedbeam_core import clock, effects, ids, jobs, outcomes, reasons, rules
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import (
    job_data,
    messages,
    records,
    replies,
    ticket_codec,
    timers,
    witness_updates,
    witnesses,
)

SUBMIT_WINDOW_MS = 15 * clock.MINUTE_MS
MAX_RECORDS = 500_000


class Owner:
    """Holds the jobs of the tickets minted here until their retention ends.

    A ticket may be submitted until `SUBMIT_WINDOW_MS` after it was minted, by this
    process's monotonic clock, and its record is kept longer than that. A ticket
    without a record was therefore never submitted or is too old to be submitted.
    """

    def __init__(
        self,
        me: ids.ProcessId,
        time: clock.Clock,
        memory_budget: job_data.MemoryBudget,
        selector: witnesses.WitnessSelector,
    ) -> None:
        self.me = me
        self.clock = time
        self.memory_budget = memory_budget
        self.witness_selector = selector
        self.rules = rules.Rules()
        self.records = records.Records()
        self.timers: timers.Timers[str] = timers.Timers()
        self.replies = replies.ReplyBuilder(me)
        self.witness_updates = witness_updates.WitnessUpdates(
            time, self.timers, selector
        )
        self.is_stopping = False

    def submit(
        self, ticket: ticket_codec.Ticket, job: jobs.Job, requester: ids.ProcessId
    ) -> parts.Effects:
        """Handle a submission that arrived at `requester`."""
        digest = job_data.get_submission_digest(job)
        record = self.records.by_text.get(ticket.text)
        if record is None:
            return self.accept(ticket, job, digest, requester)
        if record.digest and record.digest != digest:
            refusal = outcomes.Refusal(reasons.Reason.CONFLICT, "body")
            return [
                self.replies.build_reply(ticket.text, requester.name, refusal, digest)
            ]
        return self.answer_or_wait(record, requester)

    def accept(
        self,
        ticket: ticket_codec.Ticket,
        job: jobs.Job,
        digest: bytes,
        requester: ids.ProcessId,
    ) -> parts.Effects:
        """Accept or refuse a submission whose ticket has no record."""
        if self.is_too_old(ticket):
            return [self.replies.build_expired(ticket, requester)]
        if len(self.records.by_text) >= MAX_RECORDS:
            full = outcomes.Refusal(reasons.Reason.OVERLOADED, "tickets")
            return [self.replies.build_reply(ticket.text, requester.name, full)]
        record = records.Record(
            ticket,
            job.member,
            digest,
            job.repeatable,
            self.get_retention_ms(job.service),
        )
        record.add_waiting_process(requester.name)
        size = job_data.get_job_bytes(job)
        reason = self.find_rejection_reason(ticket, job, size)
        if reason is not None:
            return self.add_not_run(record, reason)
        self.set_held_bytes(record, size)
        self.records.add(record)
        return [effects.Enqueue(job)]

    def find_rejection_reason(
        self, ticket: ticket_codec.Ticket, job: jobs.Job, size: int
    ) -> reasons.Reason | None:
        """Return why a job cannot be accepted, or none."""
        if self.is_stopping:
            return reasons.Reason.STOPPING
        witness = ticket.witness
        if witness is not None and witness not in self.witness_selector.live:
            return reasons.Reason.WITNESS_LOST
        if not self.memory_budget.has_space(job.member, size):
            return reasons.Reason.MEMORY
        return None

    def add_not_run(
        self, record: records.Record, reason: reasons.Reason
    ) -> parts.Effects:
        """Record a ticket as not run, so that no later submission runs either."""
        self.records.add(record)
        return self.finish(record, records.Event.SETTLE, replies.build_not_run(reason))

    def look_up(
        self, ticket: ticket_codec.Ticket, requester: ids.ProcessId
    ) -> parts.Effects:
        """Answer `requester` with the outcome, now or once it is known."""
        record = self.records.by_text.get(ticket.text)
        if record is not None:
            return self.answer_or_wait(record, requester)
        if self.is_too_old(ticket):
            return [self.replies.build_expired(ticket, requester)]
        unknown = outcomes.Refusal(reasons.Reason.NOT_FOUND, "not submitted")
        return [self.replies.build_reply(ticket.text, requester.name, unknown)]

    def cancel(
        self, ticket: ticket_codec.Ticket, member: str, requester: ids.ProcessId
    ) -> parts.Effects:
        """Cancel a job, or prevent an unused ticket from ever running."""
        record = self.records.by_text.get(ticket.text)
        if record is None and self.is_too_old(ticket):
            return [self.replies.build_expired(ticket, requester)]
        if record is None:
            retention_ms = rules.ServiceRules("").retention_ms
            record = records.Record(ticket, member, b"", False, retention_ms)
            record.add_waiting_process(requester.name)
            return self.add_not_run(record, reasons.Reason.CANCELLED)
        if record.outcome is not None:
            return self.answer_or_wait(record, requester)
        record.add_waiting_process(requester.name)
        return [effects.CancelJob(ticket.text)]

    def answer_or_wait(
        self, record: records.Record, requester: ids.ProcessId
    ) -> parts.Effects:
        """Answer `requester` now, or record that it waits."""
        text = record.ticket.text
        if record.is_replied and record.outcome is not None:
            return [self.replies.build_reply(text, requester.name, record.outcome)]
        record.add_waiting_process(requester.name)
        if requester.name == self.me.name:
            return []
        return [effects.Send(requester.name, messages.TicketPending(text))]

    def begin(self, text: str) -> parts.Effects:
        """Have the witness record the job as begun."""
        record = self.records.by_text.get(text)
        if record is None or not record.apply(records.Event.BEGIN):
            return []
        if record.ticket.witness is None:
            return self.on_recorded(record)
        return self.witness_updates.send_begin(record)

    def on_recorded(self, record: records.Record) -> parts.Effects:
        """Start a job that has no witness or that its witness recorded as begun."""
        if not record.apply(records.Event.RECORDED):
            return []
        self.timers.drop(record.ticket.text)
        return [effects.JobBegun(record.ticket.text)]

    def on_refused(
        self, record: records.Record, reason: reasons.Reason
    ) -> parts.Effects:
        """Abandon a job that its witness refuses to record as begun."""
        if record.state is not records.State.BEGINNING:
            return []
        return self.abandon(record, records.Event.REFUSED, reason)

    def on_acknowledged(self, record: records.Record) -> parts.Effects:
        """Reply to the callers once the witness has stored the outcome."""
        if not record.apply(records.Event.ACKNOWLEDGED):
            return []
        return self.close(record)

    def handle_witness_loss(
        self, record: records.Record, event: records.Event
    ) -> parts.Effects:
        """Continue a job without a witness that is unresponsive or has ended."""
        if record.state in records.NOT_BEGUN:
            return self.abandon(record, event, reasons.Reason.WITNESS_LOST)
        if record.apply(event):
            return self.close(record)
        return self.reply(record) if record.outcome is not None else []

    def abandon(
        self, record: records.Record, event: records.Event, reason: reasons.Reason
    ) -> parts.Effects:
        """End a job that has not begun, and have the dispatcher drop it."""
        dropped: parts.Effects = [effects.JobAbandoned(record.ticket.text)]
        return dropped + self.finish(record, event, replies.build_not_run(reason))

    def settle(self, text: str, outcome: outcomes.Outcome) -> parts.Effects:
        """Handle the outcome that the dispatcher reports."""
        record = self.records.by_text.get(text)
        if record is None or record.outcome is not None:
            return []
        return self.finish(record, records.Event.SETTLE, outcome)

    def finish(
        self, record: records.Record, event: records.Event, outcome: outcomes.Outcome
    ) -> parts.Effects:
        """Store an outcome, send it to the witness if needed, and reply."""
        record.apply(event)
        record.outcome = outcome
        self.set_held_bytes(record, job_data.get_outcome_bytes(outcome))
        if record.state is records.State.SETTLED:
            return self.close(record)
        witness = record.ticket.witness
        if witness is None or self.witness_selector.is_ended(witness):
            record.apply(records.Event.ENDED)
            return self.close(record)
        produced = self.witness_updates.send_settle(record)
        if self.is_stopping:
            produced += self.witness_updates.flush()
        if record.repeatable or not self.witness_selector.is_usable(witness):
            produced += self.reply(record)
        return produced

    def close(self, record: records.Record) -> parts.Effects:
        """Reply to the callers and keep the settled record for its retention time."""
        self.records.close(record)
        window_end_ms = record.ticket.owner_ms + SUBMIT_WINDOW_MS
        kept_ms = self.clock.now_ms() + record.retention_ms
        self.timers.set(record.ticket.text, max(window_end_ms, kept_ms) + 1)
        return self.reply(record)

    def reply(self, record: records.Record) -> parts.Effects:
        """Answer all waiting processes once."""
        if record.outcome is None:
            return []
        record.is_replied = True
        text = record.ticket.text
        names, record.waiting_processes = record.waiting_processes, ()
        return [self.replies.build_reply(text, name, record.outcome) for name in names]

    def on_live(self, change: witnesses.Change) -> parts.Effects:
        """Handle witnesses that left the live set or joined it again."""
        produced: parts.Effects = []
        for witness in sorted(change.lost):
            ended = self.witness_selector.is_ended(witness)
            event = records.Event.ENDED if ended else records.Event.SILENT
            produced += self.on_witness_lost(witness, event)
        for witness in sorted(change.joined):
            produced += self.on_witness_returned(witness)
        return produced

    def on_witness_lost(
        self, witness: ids.ProcessId, event: records.Event
    ) -> parts.Effects:
        """Continue all open jobs of a witness that is unresponsive or has ended."""
        self.witness_selector.mark_unresponsive(witness)
        produced: parts.Effects = []
        for record in self.records.get_open(witness):
            produced += self.handle_witness_loss(record, event)
        return produced

    def on_witness_returned(self, witness: ids.ProcessId) -> parts.Effects:
        """Resend unacknowledged outcomes to a witness that has returned."""
        produced: parts.Effects = []
        for record in self.records.get_open(witness):
            if record.state is records.State.SETTLING:
                produced += self.witness_updates.resend(record)
        return produced

    def tick(self) -> parts.Effects:
        """Resend unacknowledged messages and remove expired records."""
        produced = self.witness_updates.flush()
        for text in self.timers.pop_due(self.clock.now_ms()):
            produced += self.on_due(self.records.by_text[text])
        return produced

    def on_due(self, record: records.Record) -> parts.Effects:
        """Handle the due timer of a record."""
        if record.apply(records.Event.EXPIRE):
            self.set_held_bytes(record, 0)
            del self.records.by_text[record.ticket.text]
            return []
        if not self.witness_updates.is_overdue(record):
            return self.witness_updates.resend(record)
        witness = record.ticket.witness
        assert witness is not None
        if not self.witness_selector.is_usable(witness):
            return self.witness_updates.resend(record)
        self.witness_updates.schedule_slow_retry(record)
        return self.on_witness_lost(witness, records.Event.SILENT)

    def set_held_bytes(self, record: records.Record, size: int) -> None:
        """Set the bytes that a record counts towards the memory budget."""
        self.memory_budget.add(record.member, size - record.held_bytes)
        record.held_bytes = size

    def is_too_old(self, ticket: ticket_codec.Ticket) -> bool:
        """Return whether a ticket is too old for its first submission."""
        return self.clock.now_ms() - ticket.owner_ms > SUBMIT_WINDOW_MS

    def get_retention_ms(self, service: str) -> int:
        """Return how long the outcomes of a service are kept."""
        service_rules = self.rules.services.get(service, rules.ServiceRules(service))
        return service_rules.retention_ms
