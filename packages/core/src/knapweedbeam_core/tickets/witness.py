"""The witness of other processes' jobs: it records and seals, and starts nothing."""

from __future__ import annotations

import dataclasses
import enum

from knapweedbeam_core import clock, effects, ids, outcomes, reasons
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import job_data, messages, ticket, timers

KEEP_MS = 30 * clock.MINUTE_MS
MARGIN_MS = clock.MINUTE_MS
MAX_ENTRIES = 500_000
MAX_OWNERS = 10_000


class Seen(enum.Enum):
    """What a witness knows of a job."""

    BEGUN = enum.auto()
    SETTLED = enum.auto()
    SEALED = enum.auto()


@dataclasses.dataclass(slots=True)
class Entry:
    """One job at its witness; a sealed one has an outcome too."""

    ticket: ticket.Ticket
    member: str
    seen: Seen
    outcome: outcomes.Outcome | None = None
    held_bytes: int = 0


class Forgotten:
    """Up to which ticket of each owner entries have been dropped.

    A ticket minted no later may have had an entry, so that nothing is known of
    it. Owners' own monotonic time orders the tickets of one run of an owner.
    """

    def __init__(self) -> None:
        self.up_to_ms: dict[ids.ProcessId, int] = {}
        self.others = False

    def add(self, dropped: ticket.Ticket) -> None:
        """Note that the entry of a ticket has been dropped."""
        owner = dropped.owner
        up_to_ms = max(self.up_to_ms.pop(owner, 0), dropped.owner_ms)
        self.up_to_ms[owner] = up_to_ms
        if len(self.up_to_ms) > MAX_OWNERS:
            del self.up_to_ms[next(iter(self.up_to_ms))]
            self.others = True

    def may_hold(self, wanted: ticket.Ticket) -> bool:
        """Say whether an entry of this ticket may have been dropped."""
        up_to_ms = self.up_to_ms.get(wanted.owner)
        if up_to_ms is None:
            return self.others
        return wanted.owner_ms <= up_to_ms


class Witness:
    """Holds which jobs have begun, their outcomes, and seals."""

    def __init__(
        self, me: ids.ProcessId, time: clock.Clock, memory_budget: job_data.MemoryBudget
    ) -> None:
        self.me = me
        self.clock = time
        self.memory_budget = memory_budget
        self.entries: dict[str, Entry] = {}
        self.timers: timers.Timers[str] = timers.Timers()
        self.forgotten = Forgotten()
        self.live: frozenset[ids.ProcessId] = frozenset()
        self.settled: dict[str, list[str]] = {}

    def on_begin(
        self, wanted: ticket.Ticket, member: str, sender: ids.ProcessId
    ) -> parts.Effects:
        """Record a job as begun, unless its ticket is sealed."""
        if sender != wanted.owner:
            return []
        entry = self.entries.get(wanted.text)
        if entry is None:
            return [self.add_begun(wanted, member)]
        if entry.seen is Seen.BEGUN:
            recorded = messages.BeginRecorded(wanted.text)
            return [effects.Send(sender.name, recorded)]
        if entry.seen is Seen.SEALED:
            return [self.build_refused(wanted, reasons.Reason.SEALED)]
        return []

    def add_begun(self, wanted: ticket.Ticket, member: str) -> effects.Effect:
        """Record a job as begun where nothing speaks against it."""
        if self.forgotten.may_hold(wanted):
            return self.build_refused(wanted, reasons.Reason.WITNESS_LOST)
        if not self.has_space(member):
            return self.build_refused(wanted, reasons.Reason.MEMORY)
        self.put(Entry(wanted, member, Seen.BEGUN), KEEP_MS)
        recorded = messages.BeginRecorded(wanted.text)
        return effects.Send(wanted.owner.name, recorded)

    def on_settle(
        self,
        wanted: ticket.Ticket,
        message: messages.SettleJob,
        sender: ids.ProcessId,
    ) -> parts.Effects:
        """Keep the outcome of a job."""
        if sender != wanted.owner:
            return []
        entry = self.entries.get(wanted.text)
        if entry is None or entry.seen is Seen.BEGUN:
            self.keep(wanted, message, entry)
        if message.urgent:
            recorded = messages.SettleRecorded((wanted.text,))
            return [effects.Send(sender.name, recorded)]
        self.settled.setdefault(sender.name, []).append(wanted.text)
        return []

    def keep(
        self, wanted: ticket.Ticket, message: messages.SettleJob, entry: Entry | None
    ) -> None:
        """Keep an outcome, of which the witness had room for the begun job."""
        if entry is None and self.forgotten.may_hold(wanted):
            return
        settled = Entry(wanted, message.member, Seen.SETTLED, message.outcome)
        self.put(settled, message.retention_ms + MARGIN_MS)

    def on_seal(
        self,
        wanted: ticket.Ticket,
        message: messages.SealTicket,
        asker: ids.ProcessId,
    ) -> parts.Effects:
        """Tell what became of a job; one that was not begun never will be."""
        entry = self.entries.get(wanted.text)
        owner_live = wanted.owner in self.live
        waits = entry is None and owner_live and not message.insists
        if waits or (entry is not None and entry.outcome is None):
            refused = messages.SealRefused(wanted.text, owner_live)
            return [effects.Send(asker.name, refused)]
        if entry is not None and entry.outcome is not None:
            result = entry.outcome
        else:
            result = self.seal(wanted, message.member)
        answer = messages.TicketAnswered(wanted.text, result)
        return [effects.Send(asker.name, answer)]

    def seal(self, wanted: ticket.Ticket, member: str) -> outcomes.Outcome:
        """Seal a ticket that has no entry; return what is then true of it."""
        if self.forgotten.may_hold(wanted):
            return outcomes.Failed(reasons.Reason.EXPIRED)
        if len(self.entries) >= MAX_ENTRIES:
            return outcomes.Failed(reasons.Reason.OUTCOME_UNKNOWN)
        sealed = outcomes.NotRun(reasons.Reason.SEALED)
        self.put(Entry(wanted, member, Seen.SEALED, sealed), KEEP_MS)
        return sealed

    def has_space(self, member: str) -> bool:
        """Say whether one more job may be recorded as begun."""
        if len(self.entries) >= MAX_ENTRIES:
            return False
        return self.memory_budget.has_space(member, job_data.RECORD_BYTES)

    def put(self, entry: Entry, keep_ms: int) -> None:
        """Keep an entry, in place of an earlier one of the same ticket."""
        text = entry.ticket.text
        before = self.entries.get(text)
        held_before = before.held_bytes if before is not None else 0
        entry.held_bytes = job_data.get_outcome_bytes(entry.outcome)
        self.memory_budget.add(entry.member, entry.held_bytes - held_before)
        self.entries[text] = entry
        self.timers.set(text, self.clock.now_ms() + keep_ms)

    def tick(self) -> parts.Effects:
        """Drop expired entries and acknowledge what was settled since."""
        for text in self.timers.pop_due(self.clock.now_ms()):
            entry = self.entries.pop(text)
            self.memory_budget.add(entry.member, -entry.held_bytes)
            self.forgotten.add(entry.ticket)
        done: parts.Effects = []
        for name, texts in self.settled.items():
            done.append(effects.Send(name, messages.SettleRecorded(tuple(texts))))
        self.settled.clear()
        return done

    def build_refused(
        self, wanted: ticket.Ticket, reason: reasons.Reason
    ) -> effects.Effect:
        """Return the refusal to record a job as begun."""
        refused = messages.BeginRefused(wanted.text, reason)
        return effects.Send(wanted.owner.name, refused)
