"""Messages of an owner to its witnesses, sent again until acknowledged."""

from __future__ import annotations

from knapweedbeam_core import clock, effects
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import messages, records, timers, witnesses

RETRY_MS = 200
UNREACHABLE_RETRY_MS = 30 * clock.SECOND_MS
WITNESS_TIMEOUT_MS = clock.SECOND_MS


class WitnessUpdates:
    """Sends and retries the begin and settle messages of an owner."""

    def __init__(
        self,
        time: clock.Clock,
        owner_timers: timers.Timers[str],
        selector: witnesses.WitnessSelector,
    ) -> None:
        self.clock = time
        self.witness_selector = selector
        self.timers = owner_timers
        self.queued: parts.Effects = []

    def send_begin(self, record: records.Record) -> parts.Effects:
        """Return the message that has the witness record the job as begun."""
        self.start_step(record)
        return [self.build_message(record)]

    def send_settle(self, record: records.Record) -> parts.Effects:
        """Have the witness store the outcome.

        For a repeatable job the message is batched until the next tick, because no
        reply waits for it. An unreachable witness gets it once it has returned.
        """
        self.start_step(record)
        if not self.is_reachable(record):
            self.schedule_slow_retry(record)
            return []
        if not record.repeatable:
            return [self.build_message(record)]
        self.queued.append(self.build_message(record))
        return []

    def flush(self) -> parts.Effects:
        """Return the messages queued for the next tick."""
        queued, self.queued = self.queued, []
        return queued

    def start_step(self, record: records.Record) -> None:
        """Start the timeout and the retry timer of a new step at the witness."""
        record.step_started_ms = self.clock.now_ms()
        self.timers.set(record.ticket.text, record.step_started_ms + RETRY_MS)

    def resend(self, record: records.Record) -> parts.Effects:
        """Send the message of the unacknowledged step again."""
        if self.is_reachable(record):
            due_ms = self.clock.now_ms() + RETRY_MS
            self.timers.set(record.ticket.text, due_ms)
        else:
            self.schedule_slow_retry(record)
        return [self.build_message(record)]

    def schedule_slow_retry(self, record: records.Record) -> None:
        """Schedule the next retry for a witness that is unreachable."""
        due_ms = self.clock.now_ms() + UNREACHABLE_RETRY_MS
        self.timers.set(record.ticket.text, due_ms)

    def is_reachable(self, record: records.Record) -> bool:
        """Return whether the witness of a record is live and responsive."""
        witness = record.ticket.witness
        return witness is not None and self.witness_selector.is_usable(witness)

    def is_overdue(self, record: records.Record) -> bool:
        """Return whether the witness has not answered for `WITNESS_TIMEOUT_MS`."""
        witness = record.ticket.witness
        assert witness is not None
        last_ms = max(
            record.step_started_ms,
            self.witness_selector.last_contact_ms.get(witness, 0),
        )
        return self.clock.now_ms() - last_ms >= WITNESS_TIMEOUT_MS

    def build_message(self, record: records.Record) -> effects.Effect:
        """Return the message for the current step of a record."""
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
