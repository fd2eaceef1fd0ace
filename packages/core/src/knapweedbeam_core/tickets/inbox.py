"""Hands each message between coordinators to the role that it is meant for."""

from __future__ import annotations

import collections.abc
import typing

from knapweedbeam_core import clock, effects, ids, jobs, outcomes
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import (
    claiming,
    key_messages,
    messages,
    owner,
    records,
    registrar,
    resolver,
    ticket,
    witness,
)

Handler = collections.abc.Callable[[ids.ProcessId, typing.Any], parts.Effects]


class Inbox:
    """Checks whom a message names before a role acts on it."""

    def __init__(
        self,
        me: ids.ProcessId,
        key: bytes,
        time: clock.Clock,
        owned: owner.Owner,
        watched: witness.Witness,
        sought: resolver.Resolver,
        keys: registrar.Registrar,
        claims: claiming.Claiming,
    ) -> None:
        self.me = me
        self.key = key
        self.clock = time
        self.owner = owned
        self.witness = watched
        self.resolver = sought
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
            key_messages.ClaimKey: keys.on_claim,
            key_messages.KeyClaimed: claims.on_claimed,
            key_messages.ClaimRefused: claims.on_refused,
            key_messages.RecordClaim: keys.on_record,
            key_messages.ClaimRecorded: keys.on_recorded,
            key_messages.FetchRanges: keys.ranges.on_fetch,
            key_messages.RangeHandedOver: keys.ranges.on_handed_over,
            key_messages.AskNotes: keys.ranges.opening.on_ask,
            key_messages.NotesTold: keys.ranges.opening.on_told,
            key_messages.NoteOpened: keys.ranges.opening.on_note,
            key_messages.OpenedNoted: keys.ranges.on_noted,
        }

    def take(self, sender: ids.ProcessId, message: effects.Message) -> parts.Effects:
        """Take one message."""
        return self.handlers[type(message)](sender, message)

    def on_submit(
        self, sender: ids.ProcessId, message: messages.SubmitJob
    ) -> parts.Effects:
        """Take a forwarded submission."""
        wanted = self.find_owned(sender, message.ticket, message.member)
        if not isinstance(wanted, ticket.Ticket):
            return wanted
        job = jobs.Job(
            message.ticket,
            message.member,
            message.service,
            message.job_class,
            self.clock.now_ms() + message.left_ms,
            message.tasks,
            message.repeatable,
        )
        return self.owner.submit(wanted, job, sender)

    def on_find(
        self, sender: ids.ProcessId, message: messages.FindOutcome
    ) -> parts.Effects:
        """Give a job's outcome to another process."""
        wanted = self.find_owned(sender, message.ticket, message.member)
        if not isinstance(wanted, ticket.Ticket):
            return wanted
        return self.owner.look_up(wanted, sender)

    def on_cancel(
        self, sender: ids.ProcessId, message: messages.CancelTicket
    ) -> parts.Effects:
        """Cancel a job for another process."""
        wanted = self.find_owned(sender, message.ticket, message.member)
        if not isinstance(wanted, ticket.Ticket):
            return wanted
        return self.owner.cancel(wanted, message.member, sender)

    def find_owned(
        self, sender: ids.ProcessId, text: str, member: str
    ) -> ticket.Ticket | parts.Effects:
        """Return a ticket that this run owns, or what to answer instead."""
        wanted = ticket.parse(self.key, text, member)
        if isinstance(wanted, outcomes.Refusal):
            answer = messages.TicketAnswered(text, wanted)
            return [effects.Send(sender.name, answer)]
        if wanted.owner != self.me:
            return [effects.Send(sender.name, messages.WrongRun(text))]
        return wanted

    def on_pending(
        self, sender: ids.ProcessId, message: messages.TicketPending
    ) -> parts.Effects:
        """Go on waiting for an owner that holds the job."""
        return self.resolver.on_pending(message.ticket, sender)

    def on_answered(
        self, sender: ids.ProcessId, message: messages.TicketAnswered
    ) -> parts.Effects:
        """Take the answer of an owner or a witness."""
        return self.resolver.on_answered(message, sender)

    def on_wrong_run(
        self, sender: ids.ProcessId, message: messages.WrongRun
    ) -> parts.Effects:
        """Go on without a process that another run took the place of."""
        named = ticket.read(message.ticket)
        if named is None:
            return []
        if named.owner != self.me:
            return self.resolver.on_wrong_run(message.ticket, sender)
        ended = named.witness
        if ended is None or not resolver.is_successor(sender, ended):
            return []
        return self.owner.on_loss(ended, records.Event.ENDED)

    def on_begin(
        self, sender: ids.ProcessId, message: messages.BeginJob
    ) -> parts.Effects:
        """Record a job as begun."""
        wanted = self.find_watched(sender, message.ticket, message.member)
        if not isinstance(wanted, ticket.Ticket):
            return wanted
        return self.witness.on_begin(wanted, message.member, sender)

    def on_settle(
        self, sender: ids.ProcessId, message: messages.SettleJob
    ) -> parts.Effects:
        """Keep the outcome of another owner's job."""
        wanted = self.find_watched(sender, message.ticket, message.member)
        if not isinstance(wanted, ticket.Ticket):
            return wanted
        return self.witness.on_settle(wanted, message, sender)

    def on_seal(
        self, sender: ids.ProcessId, message: messages.SealTicket
    ) -> parts.Effects:
        """Tell what became of a silent owner's job."""
        wanted = self.find_watched(sender, message.ticket, message.member)
        if not isinstance(wanted, ticket.Ticket):
            return wanted
        return self.witness.on_seal(wanted, message, sender)

    def find_watched(
        self, sender: ids.ProcessId, text: str, member: str
    ) -> ticket.Ticket | parts.Effects:
        """Return a ticket that this run watches over, or what to answer instead."""
        wanted = ticket.parse(self.key, text, member)
        if isinstance(wanted, outcomes.Refusal):
            return []
        if wanted.witness != self.me:
            return [effects.Send(sender.name, messages.WrongRun(text))]
        return wanted

    def on_recorded(
        self, sender: ids.ProcessId, message: messages.BeginRecorded
    ) -> parts.Effects:
        """Start a job that its witness holds as begun."""
        record = self.find_record(sender, message.ticket)
        if record is None:
            return []
        return self.hear(sender) + self.owner.on_recorded(record)

    def on_refused(
        self, sender: ids.ProcessId, message: messages.BeginRefused
    ) -> parts.Effects:
        """Give up a job that its witness will not hold as begun."""
        record = self.find_record(sender, message.ticket)
        if record is None:
            return []
        return self.hear(sender) + self.owner.on_refused(record, message.reason)

    def on_settle_recorded(
        self, sender: ids.ProcessId, message: messages.SettleRecorded
    ) -> parts.Effects:
        """Reply where the witness holds the outcome."""
        done: parts.Effects = []
        for text in message.tickets:
            record = self.find_record(sender, text)
            if record is not None:
                done += self.owner.on_acknowledged(record)
        return done + self.hear(sender)

    def hear(self, sender: ids.ProcessId) -> parts.Effects:
        """Take a witness for reachable that was silent until now."""
        if not self.owner.witnesses.mark_heard(sender, self.clock.now_ms()):
            return []
        return self.owner.on_back(sender)

    def find_record(self, sender: ids.ProcessId, text: str) -> records.Record | None:
        """Return the record of a ticket whose witness is the sender."""
        record = self.owner.records.by_text.get(text)
        if record is None or record.ticket.witness != sender:
            return None
        return record

    def on_seal_refused(
        self, sender: ids.ProcessId, message: messages.SealRefused
    ) -> parts.Effects:
        """Take the word of a witness that a job has begun."""
        return self.resolver.on_seal_refused(message, sender)
