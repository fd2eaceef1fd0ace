"""The witness of other processes' jobs: it records and seals but starts no jobs."""

from __future__ import annotations

import dataclasses
import enum

from knapweedbeam_core import clock, effects, ids, outcomes, reasons
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import job_data, messages, ticket_codec, timers

ENTRY_RETENTION_MS = 30 * clock.MINUTE_MS
RETENTION_MARGIN_MS = clock.MINUTE_MS
MAX_ENTRIES = 500_000
MAX_TRACKED_OWNERS = 10_000


class EntryState(enum.Enum):
    """The state of a job at its witness."""

    BEGUN = enum.auto()
    SETTLED = enum.auto()
    SEALED = enum.auto()


@dataclasses.dataclass(slots=True)
class Entry:
    """A job at its witness; a sealed one has an outcome too."""

    ticket: ticket_codec.Ticket
    member: str
    state: EntryState
    outcome: outcomes.Outcome | None = None
    held_bytes: int = 0


class DroppedEntries:
    """Tracks the latest ticket of each owner whose entry has been dropped.

    A ticket minted no later may have had an entry, so its state is unknown. The
    owner's monotonic clock orders the tickets of one incarnation of an owner.
    """

    def __init__(self) -> None:
        self.latest_ms: dict[ids.ProcessId, int] = {}
        self.has_untracked_owners = False

    def add(self, dropped: ticket_codec.Ticket) -> None:
        """Record that the entry of a ticket has been dropped."""
        owner = dropped.owner
        latest_ms = max(self.latest_ms.pop(owner, 0), dropped.owner_ms)
        self.latest_ms[owner] = latest_ms
        if len(self.latest_ms) > MAX_TRACKED_OWNERS:
            del self.latest_ms[next(iter(self.latest_ms))]
            self.has_untracked_owners = True

    def may_include(self, ticket: ticket_codec.Ticket) -> bool:
        """Return whether an entry of this ticket may have been dropped."""
        latest_ms = self.latest_ms.get(ticket.owner)
        if latest_ms is None:
            return self.has_untracked_owners
        return ticket.owner_ms <= latest_ms


class Witness:
    """Records which jobs have begun, their outcomes, and sealed tickets."""

    def __init__(
        self, me: ids.ProcessId, time: clock.Clock, memory_budget: job_data.MemoryBudget
    ) -> None:
        self.me = me
        self.clock = time
        self.memory_budget = memory_budget
        self.entries: dict[str, Entry] = {}
        self.timers: timers.Timers[str] = timers.Timers()
        self.dropped_entries = DroppedEntries()
        self.live: frozenset[ids.ProcessId] = frozenset()
        self.pending_acks: dict[str, list[str]] = {}

    def on_begin(
        self, ticket: ticket_codec.Ticket, member: str, sender: ids.ProcessId
    ) -> parts.Effects:
        """Record a job as begun, unless its ticket is sealed."""
        if sender != ticket.owner:
            return []
        entry = self.entries.get(ticket.text)
        if entry is None:
            return [self.add_begun(ticket, member)]
        if entry.state is EntryState.BEGUN:
            recorded = messages.BeginRecorded(ticket.text)
            return [effects.Send(sender.name, recorded)]
        if entry.state is EntryState.SEALED:
            return [self.build_refused(ticket, reasons.Reason.SEALED)]
        return []

    def add_begun(self, ticket: ticket_codec.Ticket, member: str) -> effects.Effect:
        """Record a job as begun, unless its entry may be lost or memory is short."""
        if self.dropped_entries.may_include(ticket):
            return self.build_refused(ticket, reasons.Reason.WITNESS_LOST)
        if not self.has_space(member):
            return self.build_refused(ticket, reasons.Reason.MEMORY)
        self.store(Entry(ticket, member, EntryState.BEGUN), ENTRY_RETENTION_MS)
        recorded = messages.BeginRecorded(ticket.text)
        return effects.Send(ticket.owner.name, recorded)

    def on_settle(
        self,
        ticket: ticket_codec.Ticket,
        message: messages.SettleJob,
        sender: ids.ProcessId,
    ) -> parts.Effects:
        """Store the outcome of a job; acknowledge at the next tick if not urgent."""
        if sender != ticket.owner:
            return []
        entry = self.entries.get(ticket.text)
        if entry is None or entry.state is EntryState.BEGUN:
            self.store_outcome(ticket, message, entry)
        if message.urgent:
            recorded = messages.SettleRecorded((ticket.text,))
            return [effects.Send(sender.name, recorded)]
        self.pending_acks.setdefault(sender.name, []).append(ticket.text)
        return []

    def store_outcome(
        self,
        ticket: ticket_codec.Ticket,
        message: messages.SettleJob,
        entry: Entry | None,
    ) -> None:
        """Store an outcome without a budget check: the begun job had passed one."""
        if entry is None and self.dropped_entries.may_include(ticket):
            return
        settled = Entry(ticket, message.member, EntryState.SETTLED, message.outcome)
        self.store(settled, message.retention_ms + RETENTION_MARGIN_MS)

    def on_seal(
        self,
        ticket: ticket_codec.Ticket,
        message: messages.SealTicket,
        requester: ids.ProcessId,
    ) -> parts.Effects:
        """Answer with a job's outcome; seal its ticket if the job has not begun."""
        entry = self.entries.get(ticket.text)
        owner_live = ticket.owner in self.live
        waits = entry is None and owner_live and not message.insists
        if waits or (entry is not None and entry.outcome is None):
            refused = messages.SealRefused(ticket.text, owner_live)
            return [effects.Send(requester.name, refused)]
        if entry is not None and entry.outcome is not None:
            result = entry.outcome
        else:
            result = self.seal(ticket, message.member)
        answer = messages.TicketAnswered(ticket.text, result)
        return [effects.Send(requester.name, answer)]

    def seal(self, ticket: ticket_codec.Ticket, member: str) -> outcomes.Outcome:
        """Seal a ticket that has no entry; return its outcome."""
        if self.dropped_entries.may_include(ticket):
            return outcomes.Failed(reasons.Reason.EXPIRED)
        if len(self.entries) >= MAX_ENTRIES:
            return outcomes.Failed(reasons.Reason.OUTCOME_UNKNOWN)
        sealed = outcomes.NotRun(reasons.Reason.SEALED)
        self.store(Entry(ticket, member, EntryState.SEALED, sealed), ENTRY_RETENTION_MS)
        return sealed

    def has_space(self, member: str) -> bool:
        """Return whether another job may be recorded as begun."""
        if len(self.entries) >= MAX_ENTRIES:
            return False
        return self.memory_budget.has_space(member, job_data.RECORD_OVERHEAD_BYTES)

    def store(self, entry: Entry, keep_ms: int) -> None:
        """Store an entry, replacing an earlier one of the same ticket."""
        text = entry.ticket.text
        before = self.entries.get(text)
        held_before = before.held_bytes if before is not None else 0
        entry.held_bytes = job_data.get_outcome_bytes(entry.outcome)
        self.memory_budget.add(entry.member, entry.held_bytes - held_before)
        self.entries[text] = entry
        self.timers.set(text, self.clock.now_ms() + keep_ms)

    def tick(self) -> parts.Effects:
        """Drop expired entries and acknowledge outcomes stored since the last tick."""
        for text in self.timers.pop_due(self.clock.now_ms()):
            entry = self.entries.pop(text)
            self.memory_budget.add(entry.member, -entry.held_bytes)
            self.dropped_entries.add(entry.ticket)
        produced: parts.Effects = []
        for name, texts in self.pending_acks.items():
            produced.append(effects.Send(name, messages.SettleRecorded(tuple(texts))))
        self.pending_acks.clear()
        return produced

    def build_refused(
        self, ticket: ticket_codec.Ticket, reason: reasons.Reason
    ) -> effects.Effect:
        """Return the message that refuses to record a job as begun."""
        refused = messages.BeginRefused(ticket.text, reason)
        return effects.Send(ticket.owner.name, refused)
