"""Check that random histories detect coordinators that break a guarantee."""

from __future__ import annotations

import re
import typing
import unittest

from knapweedbeam_core import effects, ids, outcomes, reasons
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import (
    coordinator,
    messages,
    records,
    ticket_codec,
    witness,
)
from tickets import simulation

SEEDS = 200
STEPS = 400
LOSS = 0.1


class StartsBeforeRecorded(coordinator.Coordinator):
    """An owner that starts a job before its witness has recorded it."""

    def begin(self, ticket_text: str) -> parts.Effects:
        produced = super().begin(ticket_text)
        record = self.owner.records.by_text.get(ticket_text)
        return produced if record is None else produced + self.owner.on_recorded(record)


class DropsSeals(coordinator.Coordinator):
    """A witness that does not keep seals."""

    def on_message(
        self, sender: ids.ProcessId, message: effects.Message
    ) -> parts.Effects:
        produced = super().on_message(sender, message)
        entries = self.witness.entries
        for text in [
            t for t, e in entries.items() if e.state is witness.EntryState.SEALED
        ]:
            del entries[text]
            self.witness.timers.drop(text)
        return produced


class DropsBegunJobs(coordinator.Coordinator):
    """A witness that acknowledges begun jobs without recording them."""

    def on_message(
        self, sender: ids.ProcessId, message: effects.Message
    ) -> parts.Effects:
        produced = super().on_message(sender, message)
        if isinstance(message, messages.BeginJob):
            self.witness.entries.pop(message.ticket, None)
            self.witness.timers.drop(message.ticket)
        return produced


class DropsOutcomes(coordinator.Coordinator):
    """An owner that drops the record of a job once it is settled."""

    def settle(self, ticket_text: str, outcome: outcomes.Outcome) -> parts.Effects:
        produced = super().settle(ticket_text, outcome)
        self.owner.records.by_text.pop(ticket_text, None)
        self.owner.timers.drop(ticket_text)
        return produced


class AcceptsTicketsOfEarlierRuns(coordinator.Coordinator):
    """A process that accepts the tickets of its earlier incarnations as its own."""

    def submit(self, job: typing.Any) -> parts.Effects:
        parsed = ticket_codec.parse_unverified(job.ticket)
        if parsed is not None and parsed.owner.name == self.me.name:
            return self.deliver_locally(self.owner.submit(parsed, job, self.me))
        return super().submit(job)


class RepliesTooEarly(coordinator.Coordinator):
    """An owner that replies before its witness has stored the outcome."""

    def settle(self, ticket_text: str, outcome: outcomes.Outcome) -> parts.Effects:
        produced = super().settle(ticket_text, outcome)
        record = self.owner.records.by_text.get(ticket_text)
        return produced if record is None else produced + self.owner.reply(record)


class MisroutesAnswers(coordinator.Coordinator):
    """An entry VM that delivers unexpected answers to the first waiting caller."""

    def on_message(
        self, sender: ids.ProcessId, message: effects.Message
    ) -> parts.Effects:
        if (
            isinstance(message, messages.TicketAnswered)
            and self.resolver.watches.by_text
        ):
            watch = next(iter(self.resolver.watches.by_text.values()))
            watch = self.resolver.watches.by_text.get(message.ticket, watch)
            return self.resolver.finish(watch, message.result)
        return super().on_message(sender, message)


class TruncatesAnswers(coordinator.Coordinator):
    """An owner that loses the last task's answer of a job."""

    def settle(self, ticket_text: str, outcome: outcomes.Outcome) -> parts.Effects:
        if isinstance(outcome, outcomes.Complete):
            outcome = outcomes.Complete(outcome.answers[:-1])
        return super().settle(ticket_text, outcome)


class ReportsFailedAsNotRun(coordinator.Coordinator):
    """An owner that reports failed jobs as not run."""

    def settle(self, ticket_text: str, outcome: outcomes.Outcome) -> parts.Effects:
        if isinstance(outcome, outcomes.Failed):
            outcome = outcomes.NotRun(reasons.Reason.OVERLOADED)
        return super().settle(ticket_text, outcome)


class AbandonsBegunJobs(coordinator.Coordinator):
    """An owner that abandons its begun jobs when the live entry VMs change."""

    def on_live(self, live: frozenset[ids.ProcessId]) -> parts.Effects:
        owned = self.owner.records.by_text.values()
        begun = [r for r in owned if r.state is records.State.BEGUN]
        produced: parts.Effects = []
        for record in begun:
            lost = reasons.Reason.WITNESS_LOST
            produced += self.owner.abandon(record, records.Event.SETTLE, lost)
        return self.deliver_locally(produced) + super().on_live(live)


class ChangesOutcomes(coordinator.Coordinator):
    """An owner that later reports a complete job as failed."""

    def tick(self) -> parts.Effects:
        for record in self.owner.records.by_text.values():
            if isinstance(record.outcome, outcomes.Complete) and record.is_replied:
                record.outcome = outcomes.Failed(reasons.Reason.TASK_FAILED)
        return super().tick()


class RepeatsAnswers(coordinator.Coordinator):
    """An owner that repeats an answer although nobody waits for it."""

    def settle(self, ticket_text: str, outcome: outcomes.Outcome) -> parts.Effects:
        produced = super().settle(ticket_text, outcome)
        again = [effect for effect in produced if isinstance(effect, effects.Answer)]
        return produced + again


class GivesUpEarly(coordinator.Coordinator):
    """An entry VM that does not wait for a live owner."""

    def tick(self) -> parts.Effects:
        unknown = outcomes.Failed(reasons.Reason.OUTCOME_UNKNOWN)
        produced: parts.Effects = []
        for watch in list(self.resolver.watches.by_text.values()):
            produced += self.resolver.finish(watch, unknown)
        return produced + super().tick()


class NeverRetriesQueries(coordinator.Coordinator):
    """An entry VM that queries an owner only once."""

    def tick(self) -> parts.Effects:
        for text in self.resolver.watches.by_text:
            self.resolver.timers.drop(text)
        return super().tick()


class LosesRecordOfDroppedEntries(coordinator.Coordinator):
    """A witness that treats a ticket without an entry as one it never saw."""

    def tick(self) -> parts.Effects:
        produced = super().tick()
        self.witness.dropped_entries.latest_ms.clear()
        return produced


class AcceptsExpiredTickets(coordinator.Coordinator):
    """An owner that accepts tickets of any age."""

    def tick(self) -> parts.Effects:
        self.owner.is_too_old = lambda ticket: False  # type: ignore[method-assign]
        return super().tick()


class OpensRangesImmediately(coordinator.Coordinator):
    """A registrar that opens its ranges without fetching earlier claims."""

    def tick(self) -> parts.Effects:
        for key_range in self.registrar.ranges.held.values():
            key_range.complete = True
        return super().tick()


BROKEN = (
    (StartsBeforeRecorded, "was reported as not run after a task had started"),
    (AbandonsBegunJobs, "begun and abandoned"),
    (DropsSeals, "started after not run"),
    (DropsBegunJobs, "was reported as not run after a task had started"),
    (DropsOutcomes, "started twice"),
    (AcceptsTicketsOfEarlierRuns, "started twice"),
    (ChangesOutcomes, "Failed.* after Complete"),
    (RepeatsAnswers, "was answered without a waiting caller"),
    (GivesUpEarly, "although its owner is live"),
    (RepliesTooEarly, "before its witness stored the outcome"),
    (MisroutesAnswers, "another ticket's"),
    (TruncatesAnswers, "partial answer"),
    (ReportsFailedAsNotRun, "was reported as not run after a task had started"),
    (NeverRetriesQueries, "never answered"),
    (LosesRecordOfDroppedEntries, "was reported as not run after a task had started"),
    (AcceptsExpiredTickets, "started twice"),
    (OpensRangesImmediately, "own key .* started twice"),
)


def find_breach(build: type[coordinator.Coordinator], pattern: str) -> str:
    """Return the first breach that matches `pattern`, with its seed.

    Raise an error with all other breaches if there is none.
    """
    others = set()
    for seed in range(SEEDS):
        try:
            long = seed % 3 == 0
            loss = LOSS if long else LOSS * (seed % 2)
            simulation.run_history(seed, STEPS, build, loss, long)
        except simulation.BreachError as breach:
            if re.search(pattern, str(breach)):
                return f"seed {seed}: {breach}"
            others.add(str(breach))
    raise AssertionError(f"{build.__name__} was not detected; other breaches: {others}")


class VariantsTest(unittest.TestCase):
    def test_every_broken_variant_is_caught(self) -> None:
        for build, pattern in BROKEN:
            with self.subTest(variant=build.__name__, breach=pattern):
                self.assertTrue(find_breach(build, pattern))
