"""Replies of a ticket's owner to callers at this or another process."""

from __future__ import annotations

from knapweedbeam_core import clock, effects, ids, outcomes, reasons
from knapweedbeam_core.tickets import messages, ticket_codec

MEMORY_RETRY_AFTER_MS = clock.SECOND_MS


class ReplyBuilder:
    """Builds the effect that delivers a reply to the requesting process."""

    def __init__(self, me: ids.ProcessId) -> None:
        self.me = me

    def build_reply(
        self, text: str, name: str, result: messages.Result, digest: bytes = b""
    ) -> effects.Effect:
        """Return the reply to the callers at the process `name`."""
        if name == self.me.name:
            return effects.Answer(text, result, digest)
        return effects.Send(name, messages.TicketAnswered(text, result, digest))

    def build_expired(
        self, ticket: ticket_codec.Ticket, requester: ids.ProcessId
    ) -> effects.Effect:
        """Return the reply for a ticket past its retention time."""
        outcome = outcomes.Failed(reasons.Reason.EXPIRED)
        return self.build_reply(ticket.text, requester.name, outcome)


def build_not_run(reason: reasons.Reason) -> outcomes.NotRun:
    """Return the outcome of an abandoned job.

    The caller may retry at once with another ticket, except after `MEMORY`.
    """
    if reason is reasons.Reason.MEMORY:
        return outcomes.NotRun(reason, MEMORY_RETRY_AFTER_MS)
    return outcomes.NotRun(reason)
