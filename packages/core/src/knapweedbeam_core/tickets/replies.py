"""The answers that an owner gives, here or at another process."""

from __future__ import annotations

from knapweedbeam_core import clock, effects, ids, outcomes, reasons
from knapweedbeam_core.tickets import messages, ticket

MEMORY_RETRY_AFTER_MS = clock.SECOND_MS


class Replies:
    """Builds the effect that carries an answer to where it was asked for."""

    def __init__(self, me: ids.ProcessId) -> None:
        self.me = me

    def build(
        self, text: str, name: str, result: messages.Result, digest: bytes = b""
    ) -> effects.Effect:
        """Return the answer for the callers at the process `name`."""
        if name == self.me.name:
            return effects.Answer(text, result, digest)
        return effects.Send(name, messages.TicketAnswered(text, result, digest))

    def build_expired(
        self, wanted: ticket.Ticket, asker: ids.ProcessId
    ) -> effects.Effect:
        """Return the answer for a ticket past its retention time."""
        expired = outcomes.Failed(reasons.Reason.EXPIRED)
        return self.build(wanted.text, asker.name, expired)


def build_not_run(reason: reasons.Reason) -> outcomes.NotRun:
    """Return the outcome of a job given up; another ticket may do better at once."""
    if reason is reasons.Reason.MEMORY:
        return outcomes.NotRun(reason, MEMORY_RETRY_AFTER_MS)
    return outcomes.NotRun(reason)
