"""The checks of histories must catch coordinators that break a promise."""

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
    ticket,
    witness,
)
from tickets import world

SEEDS = 200
STEPS = 400
LOSS = 0.1


class StartsUnrecorded(coordinator.Coordinator):
    """An owner that starts a job before its witness has recorded it."""

    def begin(self, ticket_text: str) -> parts.Effects:
        done = super().begin(ticket_text)
        record = self.owner.records.by_text.get(ticket_text)
        return done if record is None else done + self.owner.on_recorded(record)


class ForgetsSeals(coordinator.Coordinator):
    """A witness that keeps no seal."""

    def on_message(
        self, sender: ids.ProcessId, message: effects.Message
    ) -> parts.Effects:
        done = super().on_message(sender, message)
        entries = self.witness.entries
        for text in [t for t, e in entries.items() if e.seen is witness.Seen.SEALED]:
            del entries[text]
            self.witness.timers.drop(text)
        return done


class ForgetsBegun(coordinator.Coordinator):
    """A witness that records nothing and says that it did."""

    def on_message(
        self, sender: ids.ProcessId, message: effects.Message
    ) -> parts.Effects:
        done = super().on_message(sender, message)
        if isinstance(message, messages.BeginJob):
            self.witness.entries.pop(message.ticket, None)
            self.witness.timers.drop(message.ticket)
        return done


class ForgetsOutcomes(coordinator.Coordinator):
    """An owner that drops a job as soon as it is settled."""

    def settle(self, ticket_text: str, outcome: outcomes.Outcome) -> parts.Effects:
        done = super().settle(ticket_text, outcome)
        self.owner.records.by_text.pop(ticket_text, None)
        self.owner.timers.drop(ticket_text)
        return done


class TakesFormerTickets(coordinator.Coordinator):
    """A process that takes the tickets of its former runs for its own."""

    def submit(self, job: typing.Any) -> parts.Effects:
        named = ticket.read(job.ticket)
        if named is not None and named.owner.name == self.me.name:
            return self.route(self.owner.submit(named, job, self.me))
        return super().submit(job)


class RepliesTooEarly(coordinator.Coordinator):
    """An owner that replies before its witness holds the outcome."""

    def settle(self, ticket_text: str, outcome: outcomes.Outcome) -> parts.Effects:
        done = super().settle(ticket_text, outcome)
        record = self.owner.records.by_text.get(ticket_text)
        return done if record is None else done + self.owner.reply(record)


class CrossesAnswers(coordinator.Coordinator):
    """An entry VM that gives an answer to whoever waits first."""

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


class CutsAnswers(coordinator.Coordinator):
    """An owner that loses the last answer of a job."""

    def settle(self, ticket_text: str, outcome: outcomes.Outcome) -> parts.Effects:
        if isinstance(outcome, outcomes.Complete):
            outcome = outcomes.Complete(outcome.answers[:-1])
        return super().settle(ticket_text, outcome)


class ClaimsNotRun(coordinator.Coordinator):
    """An owner that takes a begun job for one that was not run."""

    def settle(self, ticket_text: str, outcome: outcomes.Outcome) -> parts.Effects:
        if isinstance(outcome, outcomes.Failed):
            outcome = outcomes.NotRun(reasons.Reason.OVERLOADED)
        return super().settle(ticket_text, outcome)


class AbandonsBegun(coordinator.Coordinator):
    """An owner that gives up its begun jobs when the live entry VMs change."""

    def on_live(self, live: frozenset[ids.ProcessId]) -> parts.Effects:
        held = self.owner.records.by_text.values()
        begun = [r for r in held if r.state is records.State.BEGUN]
        done: parts.Effects = []
        for record in begun:
            lost = reasons.Reason.WITNESS_LOST
            done += self.owner.give_up(record, records.Event.SETTLE, lost)
        return self.route(done) + super().on_live(live)


class ChangesOutcomes(coordinator.Coordinator):
    """An owner that takes a complete job for a failed one later."""

    def tick(self) -> parts.Effects:
        for record in self.owner.records.by_text.values():
            if isinstance(record.outcome, outcomes.Complete) and record.replied:
                record.outcome = outcomes.Failed(reasons.Reason.TASK_FAILED)
        return super().tick()


class RepeatsAnswers(coordinator.Coordinator):
    """An owner that answers once more where nobody waits."""

    def settle(self, ticket_text: str, outcome: outcomes.Outcome) -> parts.Effects:
        done = super().settle(ticket_text, outcome)
        again = [effect for effect in done if isinstance(effect, effects.Answer)]
        return done + again


class GivesUpEarly(coordinator.Coordinator):
    """An entry VM that does not wait for an owner that lives."""

    def tick(self) -> parts.Effects:
        unknown = outcomes.Failed(reasons.Reason.OUTCOME_UNKNOWN)
        done: parts.Effects = []
        for watch in list(self.resolver.watches.by_text.values()):
            done += self.resolver.finish(watch, unknown)
        return done + super().tick()


class NeverRetries(coordinator.Coordinator):
    """An entry VM that asks an owner only once."""

    def tick(self) -> parts.Effects:
        for text in self.resolver.watches.by_text:
            self.resolver.timers.drop(text)
        return super().tick()


class ForgetsThatItForgot(coordinator.Coordinator):
    """A witness that takes a ticket without an entry for one never seen."""

    def tick(self) -> parts.Effects:
        done = super().tick()
        self.witness.forgotten.up_to_ms.clear()
        return done


class TakesOldTickets(coordinator.Coordinator):
    """An owner that takes tickets of any age."""

    def tick(self) -> parts.Effects:
        self.owner.is_too_old = lambda wanted: False  # type: ignore[method-assign]
        return super().tick()


class OpensAtOnce(coordinator.Coordinator):
    """A registrar that opens its ranges without asking what it held before."""

    def tick(self) -> parts.Effects:
        for held in self.registrar.ranges.held.values():
            held.complete = True
        return super().tick()


BROKEN = (
    (StartsUnrecorded, "said not to have run"),
    (AbandonsBegun, "begun and abandoned"),
    (ForgetsSeals, "started after not run"),
    (ForgetsBegun, "said not to have run"),
    (ForgetsOutcomes, "started twice"),
    (TakesFormerTickets, "started twice"),
    (ChangesOutcomes, "Failed.* after Complete"),
    (RepeatsAnswers, "was not asked for"),
    (GivesUpEarly, "its owner lives"),
    (RepliesTooEarly, "before its witness knew"),
    (CrossesAnswers, "another ticket's"),
    (CutsAnswers, "partial answer"),
    (ClaimsNotRun, "said not to have run"),
    (NeverRetries, "never answered"),
    (ForgetsThatItForgot, "said not to have run"),
    (TakesOldTickets, "started twice"),
    (OpensAtOnce, "own key .* started twice"),
)


def find_breach(build: type[coordinator.Coordinator], wanted: str) -> str:
    """Return the seed and the breach that is wanted, or all others."""
    others = set()
    for seed in range(SEEDS):
        try:
            long = seed % 3 == 0
            loss = LOSS if long else LOSS * (seed % 2)
            world.run_history(seed, STEPS, build, loss, long)
        except world.BreachError as breach:
            if re.search(wanted, str(breach)):
                return f"seed {seed}: {breach}"
            others.add(str(breach))
    raise AssertionError(f"{build.__name__} got by, with {others}")


class VariantsTest(unittest.TestCase):
    def test_every_broken_variant_is_caught(self) -> None:
        for build, wanted in BROKEN:
            with self.subTest(variant=build.__name__, breach=wanted):
                self.assertTrue(find_breach(build, wanted))
