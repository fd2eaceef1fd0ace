"""What an owner has its witnesses record, sent again until they answer."""

from __future__ import annotations

from knapweedbeam_core import clock, effects
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import messages, records, timers, witnesses

RETRY_MS = 200
PARKED_RETRY_MS = 30 * clock.SECOND_MS
SILENCE_MS = clock.SECOND_MS


class Recording:
    """Sends the begin and settle messages of an owner."""

    def __init__(
        self,
        time: clock.Clock,
        due: timers.Timers[str],
        chosen: witnesses.Witnesses,
    ) -> None:
        self.clock = time
        self.witnesses = chosen
        self.timers = due
        self.waiting: parts.Effects = []

    def send_begin(self, record: records.Record) -> parts.Effects:
        """Ask the witness to record the job as begun."""
        self.start(record)
        return [self.build(record)]

    def send_settle(self, record: records.Record) -> parts.Effects:
        """Have the witness keep the outcome, at the next tick if nobody waits.

        A witness out of reach is told once it is back.
        """
        self.start(record)
        if not self.is_reachable(record):
            self.park(record)
            return []
        if not record.repeatable:
            return [self.build(record)]
        self.waiting.append(self.build(record))
        return []

    def flush(self) -> parts.Effects:
        """Return the messages that waited for a tick."""
        waiting, self.waiting = self.waiting, []
        return waiting

    def start(self, record: records.Record) -> None:
        """Start the time for a new step at the witness."""
        record.since_ms = self.clock.now_ms()
        self.timers.set(record.ticket.text, record.since_ms + RETRY_MS)

    def resend(self, record: records.Record) -> parts.Effects:
        """Send the step again that is not acknowledged."""
        if self.is_reachable(record):
            due_ms = self.clock.now_ms() + RETRY_MS
            self.timers.set(record.ticket.text, due_ms)
        else:
            self.park(record)
        return [self.build(record)]

    def park(self, record: records.Record) -> None:
        """Try a witness that is out of reach only now and then."""
        due_ms = self.clock.now_ms() + PARKED_RETRY_MS
        self.timers.set(record.ticket.text, due_ms)

    def is_reachable(self, record: records.Record) -> bool:
        """Say whether the witness of a record is live and answers."""
        witness = record.ticket.witness
        return witness is not None and self.witnesses.is_usable(witness)

    def is_overdue(self, record: records.Record) -> bool:
        """Say whether the witness has been silent for too long."""
        witness = record.ticket.witness
        assert witness is not None
        last_ms = max(record.since_ms, self.witnesses.heard_ms.get(witness, 0))
        return self.clock.now_ms() - last_ms >= SILENCE_MS

    def build(self, record: records.Record) -> effects.Effect:
        """Return the message for the step that a record is at."""
        witness = record.ticket.witness
        assert witness is not None
        text = record.ticket.text
        if record.outcome is None:
            return effects.Send(witness.name, messages.BeginJob(text, record.member))
        settle = messages.SettleJob(
            text,
            record.member,
            record.outcome,
            record.retention_ms,
            not record.repeatable,
        )
        return effects.Send(witness.name, settle)
