from __future__ import annotations

import enum
import random
import unittest

from knapweedbeam_core import clock, effects, outcomes, reasons
from knapweedbeam_core.tickets import job_data, messages, owner, ticket_codec
from tickets import simulation

OWNER = "a1"
WITNESS = "a2"
ENTRIES = ("a3", "b1")
Reason = reasons.Reason


class Stage(enum.IntEnum):
    QUEUED = 0
    BEGIN_RECORDED = 1
    STARTED = 2
    SETTLED = 3


class Loss(enum.Enum):
    OWNER_KILLED = (OWNER,)
    WITNESS_KILLED = (WITNESS,)
    BOTH_KILLED = (OWNER, WITNESS)
    OWNER_PARTITIONED = OWNER
    WITNESS_PARTITIONED = WITNESS


SEALED = (outcomes.NotRun, Reason.SEALED)
ABANDONED = (outcomes.NotRun, Reason.WITNESS_LOST)
OWNER_LOST = (outcomes.Failed, Reason.OWNER_LOST)
UNKNOWN = (outcomes.Failed, Reason.OUTCOME_UNKNOWN)
COMPLETE = (outcomes.Complete, None)
EXPECTED = {
    Loss.OWNER_KILLED: (SEALED, OWNER_LOST, OWNER_LOST, COMPLETE),
    Loss.OWNER_PARTITIONED: (SEALED, OWNER_LOST, OWNER_LOST, COMPLETE),
    Loss.WITNESS_KILLED: (ABANDONED, ABANDONED, COMPLETE, COMPLETE),
    Loss.WITNESS_PARTITIONED: (ABANDONED, ABANDONED, COMPLETE, COMPLETE),
    Loss.BOTH_KILLED: (UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN),
}


def find_ticket(run: simulation.Simulation) -> str:
    """Mint tickets until one of a non-repeatable job has `WITNESS` as its witness."""
    while True:
        for text in run.mint(OWNER, 64):
            witness = simulation.get_witness(text)
            must_run_once = not simulation.is_repeatable(text)
            if must_run_once and witness is not None and witness.name == WITNESS:
                return text


def run_to(run: simulation.Simulation, text: str, stage: Stage) -> None:
    """Submit at the owner and run to `stage`; messages to the owner stay in flight."""
    run.submit(OWNER, text)
    if stage >= Stage.BEGIN_RECORDED:
        run.run_step(OWNER, text)
        run.flush_to(WITNESS)
    if stage >= Stage.STARTED:
        run.flush()
        run.run_step(OWNER, text)
    if stage >= Stage.SETTLED:
        while text in run.processes[OWNER].queued_jobs:
            run.run_step(OWNER, text)
        run.flush_to(WITNESS)


def apply_loss(run: simulation.Simulation, loss: Loss) -> None:
    if isinstance(loss.value, str):
        run.isolate(loss.value)
    else:
        for name in loss.value:
            run.crash(name)
    run.in_flight.clear()
    run.update_live()


def finish(run: simulation.Simulation) -> None:
    for _ in range(40):
        run.flush()
        for text in (
            list(run.processes[OWNER].queued_jobs) if OWNER in run.processes else ()
        ):
            run.run_step(OWNER, text)
        run.advance(500)


class FailuresTest(unittest.TestCase):
    def setUp(self) -> None:
        self.run_ = simulation.Simulation(random.Random(1))
        self.text = find_ticket(self.run_)

    def check(self, loss: Loss, stage: Stage) -> None:
        run = simulation.Simulation(random.Random(stage))
        text = find_ticket(run)
        run_to(run, text, stage)
        apply_loss(run, loss)
        for name in ENTRIES:
            run.submit(name, text)
        finish(run)
        kind, reason = EXPECTED[loss][stage]
        for entry in ENTRIES:
            results = [result for name, _, result in run.answered if name == entry]
            self.assertEqual(len(results), 1)
            self.assertIsInstance(results[0], kind)
            self.assertEqual(getattr(results[0], "reason", None), reason)
        run.heal_and_drain()
        for name in simulation.DOMAINS:
            run.submit(name, text)
        run.heal_and_drain()

    def test_outcome_after_loss_of_owner_or_witness_at_every_stage(self) -> None:
        for loss in Loss:
            for stage in Stage:
                with self.subTest(loss=loss, stage=stage):
                    self.check(loss, stage)

    def test_waiting_caller_gets_outcome_when_the_owner_is_no_longer_live(self) -> None:
        for stage, reason in (
            (Stage.QUEUED, SEALED[1]),
            (Stage.STARTED, OWNER_LOST[1]),
        ):
            run = simulation.Simulation(random.Random(stage))
            text = find_ticket(run)
            run.submit("a3", text)
            run_to(run, text, stage)
            run.crash(OWNER)
            run.update_live()
            run.flush()
            (outcome,) = run.outcomes[text]
            self.assertEqual(outcome.reason, reason)

    def test_witness_that_sees_the_owner_live_does_not_seal_immediately(self) -> None:
        run = self.run_
        run.submit(OWNER, self.text)
        run.add_partition(OWNER, "a3")
        run.update_live()
        run.submit("a3", self.text)
        run.flush()
        run.advance(500)
        run.partitions.clear()
        run.heal_and_drain()
        complete = outcomes.Complete(simulation.get_answers(self.text))
        self.assertEqual(run.outcomes[self.text], [complete] * 2)

    def test_owner_wrongly_considered_dead_is_queried_while_it_answers(self) -> None:
        for witness_ended in (False, True):
            run = simulation.Simulation(random.Random(5), immediate_delivery=True)
            text = find_ticket(run)
            process = run.processes["a3"]
            run.apply(process, process.coordinator.on_live(frozenset({process.id})))
            run.submit("a3", text)
            if witness_ended:
                run.crash(WITNESS)
                run.start(WITNESS)
            run.flush()
            for _ in range(10):
                run.advance(500)
            self.assertEqual(run.outcomes, {})
            run.heal_and_drain()
            (outcome,) = run.outcomes[text]
            kind = outcomes.NotRun if witness_ended else outcomes.Complete
            self.assertIsInstance(outcome, kind)

    def test_concurrent_submissions_start_once(self) -> None:
        for name in simulation.DOMAINS:
            self.run_.submit(name, self.text)
        self.run_.heal_and_drain()
        complete = outcomes.Complete(simulation.get_answers(self.text))
        self.assertEqual(self.run_.outcomes[self.text], [complete] * 4)

    def test_different_body_is_a_conflict_and_changes_nothing(self) -> None:
        self.run_.submit(OWNER, self.text)
        self.run_.submit("b1", self.text)
        self.run_.submit("b1", self.text, b"[]")
        self.run_.submit("a3", self.text, b"[]")
        self.run_.look_up("a3", self.text)
        self.run_.heal_and_drain()
        conflict = outcomes.Refusal(Reason.CONFLICT, "body")
        self.assertEqual(self.run_.refusals, [(self.text, conflict)] * 2)
        complete = outcomes.Complete(simulation.get_answers(self.text))
        self.assertEqual(self.run_.outcomes[self.text], [complete] * 3)

    def test_replayed_messages_in_any_order_change_nothing(self) -> None:
        run = self.run_
        recorded = run.start_recording()
        run.submit("b1", self.text)
        run.heal_and_drain()
        run.crash(OWNER)
        run.start(OWNER)
        again = recorded * 2
        random.Random(2).shuffle(again)
        run.in_flight += again
        run.submit(OWNER, self.text)
        run.heal_and_drain()
        complete = outcomes.Complete(simulation.get_answers(self.text))
        self.assertEqual(run.outcomes[self.text], [complete] * 2)

    def test_restarted_owner_does_not_accept_its_earlier_tickets(self) -> None:
        run = self.run_
        run.submit(OWNER, self.text)
        run.crash(OWNER)
        run.start(OWNER)
        run.submit(OWNER, self.text)
        run.submit("b1", self.text)
        run.heal_and_drain()
        sealed = outcomes.NotRun(Reason.SEALED)
        self.assertEqual(run.outcomes[self.text], [sealed] * 2)

    def test_ticket_age_is_independent_of_wall_clock_steps(self) -> None:
        run = self.run_
        unused = find_ticket(run)
        for name in simulation.DOMAINS:
            run.processes[name].time.epoch_ms -= clock.DAY_MS
        run.submit("a3", self.text)
        run.heal_and_drain()
        for name in simulation.DOMAINS:
            run.processes[name].time.epoch_ms += 3 * clock.DAY_MS
        run.submit("b1", self.text)
        run.heal_and_drain()
        complete = outcomes.Complete(simulation.get_answers(self.text))
        self.assertEqual(run.outcomes[self.text], [complete] * 2)
        run.advance(owner.SUBMIT_WINDOW_MS + 1)
        run.submit("a3", unused)
        run.submit("a3", self.text)
        run.heal_and_drain()
        expired = outcomes.Failed(Reason.EXPIRED)
        self.assertEqual(run.outcomes[unused], [expired])
        self.assertEqual(run.outcomes[self.text][-1], expired)
        self.assertEqual(run.processes[OWNER].coordinator.memory_budget.used_bytes, 0)

    def test_cancel_races_with_settle(self) -> None:
        cancelled = (outcomes.NotRun, outcomes.NotRun, outcomes.Failed)
        for stage, kind in zip(Stage, (*cancelled, outcomes.Complete), strict=True):
            run = simulation.Simulation(random.Random(stage))
            text = find_ticket(run)
            run_to(run, text, stage)
            run.cancel("b1", text)
            run.submit("a3", text)
            run.heal_and_drain()
            kinds = [type(outcome) for outcome in run.outcomes[text]]
            self.assertEqual(kinds, [kind] * 3)

    def test_cancelled_unused_ticket_never_runs(self) -> None:
        self.run_.cancel("b1", self.text)
        self.run_.heal_and_drain()
        self.run_.submit(OWNER, self.text)
        self.run_.heal_and_drain()
        results = self.run_.outcomes[self.text]
        self.assertEqual({outcome.reason for outcome in results}, {Reason.CANCELLED})

    def test_stopping_owner_refuses_new_jobs_and_finishes_begun_ones(self) -> None:
        run = self.run_
        queued = find_ticket(run)
        run_to(run, self.text, Stage.STARTED)
        run.processes[OWNER].coordinator.stop()
        self.assertFalse(run.processes[OWNER].coordinator.is_idle())
        run.submit("b1", queued)
        run.heal_and_drain()
        self.assertEqual(run.mint(OWNER), ())
        self.assertTrue(run.processes[OWNER].coordinator.is_idle())
        (stopping,) = run.outcomes[queued]
        self.assertEqual(stopping.reason, Reason.STOPPING)
        self.assertIsInstance(run.outcomes[self.text][0], outcomes.Complete)

    def test_stopping_owner_sends_outcomes_immediately(self) -> None:
        run = self.run_
        while not simulation.is_repeatable(text := run.mint(OWNER)[0]):
            pass
        run_to(run, text, Stage.STARTED)
        run.processes[OWNER].coordinator.stop()
        while text in run.processes[OWNER].queued_jobs:
            run.run_step(OWNER, text)
        run.flush()
        run.crash(OWNER)
        run.update_live()
        run.submit("b1", text)
        run.heal_and_drain()
        complete = outcomes.Complete(simulation.get_answers(text))
        self.assertEqual(run.outcomes[text], [complete] * 2)

    def test_memory_budget_is_checked_before_a_job_is_accepted(self) -> None:
        run = self.run_
        memory_budget = run.processes[OWNER].coordinator.memory_budget
        memory_budget.member_bytes = 3 * job_data.RECORD_OVERHEAD_BYTES
        texts = [find_ticket(run) for _ in range(8)]
        for text in texts:
            run.submit("a3", text)
        run.heal_and_drain()
        memory_budget.member_bytes = job_data.MEMBER_BYTES
        for text in texts:
            run.submit("b1", text)
        run.heal_and_drain()
        kinds = [type(run.outcomes[text][0]) for text in texts]
        self.assertIn(outcomes.Complete, kinds)
        self.assertIn(outcomes.NotRun, kinds)

    def test_non_canonical_ticket_text_is_refused(self) -> None:
        forms = [self.text + "=", self.text + "\n", " " + self.text, self.text[:-1]]
        forms.append(self.text[:-1] + chr(ord(self.text[-1]) ^ 1))
        for form in forms:
            self.assertIsInstance(
                ticket_codec.parse(simulation.KEY, form, simulation.MEMBER),
                outcomes.Refusal,
            )

    def test_ticket_of_another_member_is_not_found(self) -> None:
        part = self.run_.processes["b1"].coordinator
        unknown = outcomes.Refusal(Reason.NOT_FOUND, "ticket")
        for text in (self.text, "never minted", "", "\u00e9"):
            for call in (part.look_up, part.cancel):
                answer = effects.Answer(text, unknown)
                self.assertEqual(call(text, "another member"), [answer])
        forged = messages.CancelTicket(self.text, "another member")
        owner_part = self.run_.processes[OWNER].coordinator
        (sent,) = owner_part.on_message(self.run_.processes["b1"].id, forged)
        refused = messages.TicketAnswered(self.text, unknown)
        self.assertEqual(sent, effects.Send("b1", refused))
