"""Routes each message between coordinators to the role that handles it."""

from __future__ import annotations

import collections.abc
import typing

from knapweedbeam_core import clock, effects, ids, jobs, outcomes
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import (
    key_claims,
    key_messages,
    messages,
    owner,
    records,
    registrar,
    resolver,
    ticket_codec,
    witness,
)

Handler = collections.abc.Callable[[ids.ProcessId, typing.Any], parts.Effects]


class MessageRouter:
    """Validates the ticket and the processes of a message before a role handles it."""

    def __init__(
        self,
        me: ids.ProcessId,
        key: bytes,
        time: clock.Clock,
        owner_role: owner.Owner,
        witness_role: witness.Witness,
        ticket_resolver: resolver.Resolver,
        key_registrar: registrar.Registrar,
        key_claimer: key_claims.KeyClaimer,
    ) -> None:
        self.me = me
        self.key = key
        self.clock = time
        self.owner = owner_role
        self.witness = witness_role
        self.resolver = ticket_resolver
        self.handlers: dict[type, Handler] = {
            messages.SubmitJob: self.on_submit,
            messages.FindOutcome: self.on_find,
            messages.CancelTicket: self.on_cancel,
            messages.TicketPending: self.on_pending,
            messages.TicketAnswered: self.on_answered,
            messages.WrongRun: self.on_wrong_run,
            messages.BeginJob: self.on_begin,
            messages.BeginRecorded: self.on_recorded,
            messages.BeginRefused: self.on_refused,
            messages.SettleJob: self.on_settle,
            messages.SettleRecorded: self.on_settle_recorded,
            messages.SealTicket: self.on_seal,
            messages.SealRefused: self.on_seal_refused,
            key_messages.ClaimKey: key_registrar.on_claim_key,
            key_messages.KeyClaimed: key_claimer.on_key_claimed,
            key_messages.ClaimRefused: key_claimer.on_claim_refused,
            key_messages.RecordClaim: key_registrar.on_record_claim,
            key_messages.ClaimRecorded: key_registrar.on_claim_recorded,
            key_messages.FetchRanges: key_registrar.ranges.on_fetch_ranges,
            key_messages.RangeHandedOver: key_registrar.ranges.on_handed_over,
            key_messages.AskNotes: key_registrar.ranges.opened_ranges.on_ask_notes,
            key_messages.NotesTold: key_registrar.ranges.opened_ranges.on_notes_told,
            key_messages.NoteOpened: key_registrar.ranges.opened_ranges.on_note_opened,
            key_messages.OpenedNoted: key_registrar.ranges.on_opened_noted,
        }

    def handle(self, sender: ids.ProcessId, message: effects.Message) -> parts.Effects:
        """Handle a message."""
        return self.handlers[type(message)](sender, message)

    def on_submit(
        self, sender: ids.ProcessId, message: messages.SubmitJob
    ) -> parts.Effects:
        """Handle a forwarded submission."""
        ticket = self.parse_owned(sender, message.ticket, message.member)
        if not isinstance(ticket, ticket_codec.Ticket):
            return ticket
        job = jobs.Job(
            message.ticket,
            message.member,
            message.service,
            message.job_class,
            self.clock.now_ms() + message.left_ms,
            message.tasks,
            message.repeatable,
        )
        return self.owner.submit(ticket, job, sender)

    def on_find(
        self, sender: ids.ProcessId, message: messages.FindOutcome
    ) -> parts.Effects:
        """Handle a request for a job's outcome from another process."""
        ticket = self.parse_owned(sender, message.ticket, message.member)
        if not isinstance(ticket, ticket_codec.Ticket):
            return ticket
        return self.owner.look_up(ticket, sender)

    def on_cancel(
        self, sender: ids.ProcessId, message: messages.CancelTicket
    ) -> parts.Effects:
        """Cancel a job on request of another process."""
        ticket = self.parse_owned(sender, message.ticket, message.member)
        if not isinstance(ticket, ticket_codec.Ticket):
            return ticket
        return self.owner.cancel(ticket, message.member, sender)

    def parse_owned(
        self, sender: ids.ProcessId, text: str, member: str
    ) -> ticket_codec.Ticket | parts.Effects:
        """Return a ticket that this incarnation owns, or the refusal to send."""
        ticket = ticket_codec.parse(self.key, text, member)
        if isinstance(ticket, outcomes.Refusal):
            answer = messages.TicketAnswered(text, ticket)
            return [effects.Send(sender.name, answer)]
        if ticket.owner != self.me:
            return [effects.Send(sender.name, messages.WrongRun(text))]
        return ticket

    def on_pending(
        self, sender: ids.ProcessId, message: messages.TicketPending
    ) -> parts.Effects:
        """Handle an owner's notice that it holds the job."""
        return self.resolver.on_pending(message.ticket, sender)

    def on_answered(
        self, sender: ids.ProcessId, message: messages.TicketAnswered
    ) -> parts.Effects:
        """Handle the answer of an owner or a witness."""
        return self.resolver.on_answered(message, sender)

    def on_wrong_run(
        self, sender: ids.ProcessId, message: messages.WrongRun
    ) -> parts.Effects:
        """Handle a notice that a restarted process has replaced the addressed one."""
        ticket = ticket_codec.parse_unverified(message.ticket)
        if ticket is None:
            return []
        if ticket.owner != self.me:
            return self.resolver.on_wrong_run(message.ticket, sender)
        witness_id = ticket.witness
        if witness_id is None or not resolver.is_successor(sender, witness_id):
            return []
        return self.owner.on_witness_lost(witness_id, records.Event.ENDED)

    def on_begin(
        self, sender: ids.ProcessId, message: messages.BeginJob
    ) -> parts.Effects:
        """Record a job as begun."""
        ticket = self.parse_witnessed(sender, message.ticket, message.member)
        if not isinstance(ticket, ticket_codec.Ticket):
            return ticket
        return self.witness.on_begin(ticket, message.member, sender)

    def on_settle(
        self, sender: ids.ProcessId, message: messages.SettleJob
    ) -> parts.Effects:
        """Store the outcome of another owner's job."""
        ticket = self.parse_witnessed(sender, message.ticket, message.member)
        if not isinstance(ticket, ticket_codec.Ticket):
            return ticket
        return self.witness.on_settle(ticket, message, sender)

    def on_seal(
        self, sender: ids.ProcessId, message: messages.SealTicket
    ) -> parts.Effects:
        """Report the outcome of an unresponsive owner's job, or seal its ticket."""
        ticket = self.parse_witnessed(sender, message.ticket, message.member)
        if not isinstance(ticket, ticket_codec.Ticket):
            return ticket
        return self.witness.on_seal(ticket, message, sender)

    def parse_witnessed(
        self, sender: ids.ProcessId, text: str, member: str
    ) -> ticket_codec.Ticket | parts.Effects:
        """Return a ticket that this incarnation witnesses, or the effects instead."""
        ticket = ticket_codec.parse(self.key, text, member)
        if isinstance(ticket, outcomes.Refusal):
            return []
        if ticket.witness != self.me:
            return [effects.Send(sender.name, messages.WrongRun(text))]
        return ticket

    def on_recorded(
        self, sender: ids.ProcessId, message: messages.BeginRecorded
    ) -> parts.Effects:
        """Start a job that its witness has recorded as begun."""
        record = self.find_record(sender, message.ticket)
        if record is None:
            return []
        return self.record_witness_contact(sender) + self.owner.on_recorded(record)

    def on_refused(
        self, sender: ids.ProcessId, message: messages.BeginRefused
    ) -> parts.Effects:
        """Abandon a job that its witness refuses to record as begun."""
        record = self.find_record(sender, message.ticket)
        if record is None:
            return []
        return self.record_witness_contact(sender) + self.owner.on_refused(
            record, message.reason
        )

    def on_settle_recorded(
        self, sender: ids.ProcessId, message: messages.SettleRecorded
    ) -> parts.Effects:
        """Reply to the callers of jobs whose outcomes the witness has stored."""
        produced: parts.Effects = []
        for text in message.tickets:
            record = self.find_record(sender, text)
            if record is not None:
                produced += self.owner.on_acknowledged(record)
        return produced + self.record_witness_contact(sender)

    def record_witness_contact(self, sender: ids.ProcessId) -> parts.Effects:
        """Record that a witness answered, and resend what it missed."""
        if not self.owner.witness_selector.record_contact(sender, self.clock.now_ms()):
            return []
        return self.owner.on_witness_returned(sender)

    def find_record(self, sender: ids.ProcessId, text: str) -> records.Record | None:
        """Return the record of a ticket whose witness is the sender."""
        record = self.owner.records.by_text.get(text)
        if record is None or record.ticket.witness != sender:
            return None
        return record

    def on_seal_refused(
        self, sender: ids.ProcessId, message: messages.SealRefused
    ) -> parts.Effects:
        """Handle a witness's refusal to seal a ticket."""
        return self.resolver.on_seal_refused(message, sender)
