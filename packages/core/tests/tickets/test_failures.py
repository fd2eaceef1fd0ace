from __future__ import annotations

import enum
import random
import unittest

from knapweedbeam_core import clock, effects, outcomes, reasons
from knapweedbeam_core.tickets import job_data, messages, owner, ticket
from tickets import world

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
    OWNER_CUT = OWNER
    WITNESS_CUT = WITNESS


SEALED = (outcomes.NotRun, Reason.SEALED)
ABANDONED = (outcomes.NotRun, Reason.WITNESS_LOST)
OWNER_LOST = (outcomes.Failed, Reason.OWNER_LOST)
UNKNOWN = (outcomes.Failed, Reason.OUTCOME_UNKNOWN)
COMPLETE = (outcomes.Complete, None)
EXPECTED = {
    Loss.OWNER_KILLED: (SEALED, OWNER_LOST, OWNER_LOST, COMPLETE),
    Loss.OWNER_CUT: (SEALED, OWNER_LOST, OWNER_LOST, COMPLETE),
    Loss.WITNESS_KILLED: (ABANDONED, ABANDONED, COMPLETE, COMPLETE),
    Loss.WITNESS_CUT: (ABANDONED, ABANDONED, COMPLETE, COMPLETE),
    Loss.BOTH_KILLED: (UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN),
}


def find_ticket(run: world.World) -> str:
    """Mint until a ticket of a job that may not be repeated has `WITNESS`."""
    while True:
        for text in run.mint(OWNER, 64):
            named = world.get_witness(text)
            once = not world.is_repeatable(text)
            if once and named is not None and named.name == WITNESS:
                return text


def run_to(run: world.World, text: str, stage: Stage) -> None:
    """Submit at the owner and go on until the stage; messages to it are held."""
    run.submit(OWNER, text)
    if stage >= Stage.BEGIN_RECORDED:
        run.work(OWNER, text)
        run.flush_to(WITNESS)
    if stage >= Stage.STARTED:
        run.flush()
        run.work(OWNER, text)
    if stage >= Stage.SETTLED:
        while text in run.up[OWNER].held:
            run.work(OWNER, text)
        run.flush_to(WITNESS)


def lose(run: world.World, loss: Loss) -> None:
    if isinstance(loss.value, str):
        run.isolate(loss.value)
    else:
        for name in loss.value:
            run.crash(name)
    run.pool.clear()
    run.detect()


def finish(run: world.World) -> None:
    for _ in range(40):
        run.flush()
        for text in list(run.up[OWNER].held) if OWNER in run.up else ():
            run.work(OWNER, text)
        run.advance(500)


class FailuresTest(unittest.TestCase):
    def setUp(self) -> None:
        self.run_ = world.World(random.Random(1))
        self.text = find_ticket(self.run_)

    def check(self, loss: Loss, stage: Stage) -> None:
        run = world.World(random.Random(stage))
        text = find_ticket(run)
        run_to(run, text, stage)
        lose(run, loss)
        for name in ENTRIES:
            run.submit(name, text)
        finish(run)
        kind, reason = EXPECTED[loss][stage]
        for entry in ENTRIES:
            seen = [result for name, _, result in run.answered if name == entry]
            self.assertEqual(len(seen), 1)
            self.assertIsInstance(seen[0], kind)
            self.assertEqual(getattr(seen[0], "reason", None), reason)
        run.settle_down()
        for name in world.DOMAINS:
            run.submit(name, text)
        run.settle_down()

    def test_loss_at_every_stage(self) -> None:
        for loss in Loss:
            for stage in Stage:
                with self.subTest(loss=loss, stage=stage):
                    self.check(loss, stage)

    def test_waiting_caller_is_told_when_the_owner_is_seen_dead(self) -> None:
        for stage, reason in (
            (Stage.QUEUED, SEALED[1]),
            (Stage.STARTED, OWNER_LOST[1]),
        ):
            run = world.World(random.Random(stage))
            text = find_ticket(run)
            run.submit("a3", text)
            run_to(run, text, stage)
            run.crash(OWNER)
            run.detect()
            run.flush()
            (outcome,) = run.outcomes[text]
            self.assertEqual(outcome.reason, reason)

    def test_witness_that_sees_the_owner_live_does_not_seal_at_once(self) -> None:
        run = self.run_
        run.submit(OWNER, self.text)
        run.set_cut(OWNER, "a3")
        run.detect()
        run.submit("a3", self.text)
        run.flush()
        run.advance(500)
        run.cut.clear()
        run.settle_down()
        complete = outcomes.Complete(world.get_answers(self.text))
        self.assertEqual(run.outcomes[self.text], [complete] * 2)

    def test_owner_wrongly_thought_dead_is_asked_while_it_answers(self) -> None:
        for witness_ended in (False, True):
            run = world.World(random.Random(5), prompt=True)
            text = find_ticket(run)
            process = run.up["a3"]
            run.take(process, process.part.on_live(frozenset({process.id})))
            run.submit("a3", text)
            if witness_ended:
                run.crash(WITNESS)
                run.start(WITNESS)
            run.flush()
            for _ in range(10):
                run.advance(500)
            self.assertEqual(run.outcomes, {})
            run.settle_down()
            (outcome,) = run.outcomes[text]
            kind = outcomes.NotRun if witness_ended else outcomes.Complete
            self.assertIsInstance(outcome, kind)

    def test_submissions_at_one_moment_start_once(self) -> None:
        for name in world.DOMAINS:
            self.run_.submit(name, self.text)
        self.run_.settle_down()
        complete = outcomes.Complete(world.get_answers(self.text))
        self.assertEqual(self.run_.outcomes[self.text], [complete] * 4)

    def test_other_body_is_a_conflict_and_changes_nothing(self) -> None:
        self.run_.submit(OWNER, self.text)
        self.run_.submit("b1", self.text)
        self.run_.submit("b1", self.text, b"[]")
        self.run_.submit("a3", self.text, b"[]")
        self.run_.look_up("a3", self.text)
        self.run_.settle_down()
        conflict = outcomes.Refusal(Reason.CONFLICT, "body")
        self.assertEqual(self.run_.refusals, [(self.text, conflict)] * 2)
        complete = outcomes.Complete(world.get_answers(self.text))
        self.assertEqual(self.run_.outcomes[self.text], [complete] * 3)

    def test_all_messages_again_in_any_order_change_nothing(self) -> None:
        run = self.run_
        letters = run.record()
        run.submit("b1", self.text)
        run.settle_down()
        run.crash(OWNER)
        run.start(OWNER)
        again = letters * 2
        random.Random(2).shuffle(again)
        run.pool += again
        run.submit(OWNER, self.text)
        run.settle_down()
        complete = outcomes.Complete(world.get_answers(self.text))
        self.assertEqual(run.outcomes[self.text], [complete] * 2)

    def test_new_run_of_the_owner_does_not_take_its_tickets(self) -> None:
        run = self.run_
        run.submit(OWNER, self.text)
        run.crash(OWNER)
        run.start(OWNER)
        run.submit(OWNER, self.text)
        run.submit("b1", self.text)
        run.settle_down()
        sealed = outcomes.NotRun(Reason.SEALED)
        self.assertEqual(run.outcomes[self.text], [sealed] * 2)

    def test_wall_clock_steps_change_nothing_and_age_counts(self) -> None:
        run = self.run_
        unused = find_ticket(run)
        for name in world.DOMAINS:
            run.up[name].time.epoch_ms -= clock.DAY_MS
        run.submit("a3", self.text)
        run.settle_down()
        for name in world.DOMAINS:
            run.up[name].time.epoch_ms += 3 * clock.DAY_MS
        run.submit("b1", self.text)
        run.settle_down()
        complete = outcomes.Complete(world.get_answers(self.text))
        self.assertEqual(run.outcomes[self.text], [complete] * 2)
        run.advance(owner.SUBMIT_WINDOW_MS + 1)
        run.submit("a3", unused)
        run.submit("a3", self.text)
        run.settle_down()
        expired = outcomes.Failed(Reason.EXPIRED)
        self.assertEqual(run.outcomes[unused], [expired])
        self.assertEqual(run.outcomes[self.text][-1], expired)
        self.assertEqual(run.up[OWNER].part.memory_budget.held, 0)

    def test_cancel_races_with_settle(self) -> None:
        cancelled = (outcomes.NotRun, outcomes.NotRun, outcomes.Failed)
        for stage, kind in zip(Stage, (*cancelled, outcomes.Complete), strict=True):
            run = world.World(random.Random(stage))
            text = find_ticket(run)
            run_to(run, text, stage)
            run.cancel("b1", text)
            run.submit("a3", text)
            run.settle_down()
            kinds = [type(outcome) for outcome in run.outcomes[text]]
            self.assertEqual(kinds, [kind] * 3)

    def test_unused_ticket_is_cancelled_for_good(self) -> None:
        self.run_.cancel("b1", self.text)
        self.run_.settle_down()
        self.run_.submit(OWNER, self.text)
        self.run_.settle_down()
        seen = self.run_.outcomes[self.text]
        self.assertEqual({outcome.reason for outcome in seen}, {Reason.CANCELLED})

    def test_stop_takes_nothing_more_and_ends_what_has_begun(self) -> None:
        run = self.run_
        queued = find_ticket(run)
        run_to(run, self.text, Stage.STARTED)
        run.up[OWNER].part.stop()
        self.assertFalse(run.up[OWNER].part.is_idle())
        run.submit("b1", queued)
        run.settle_down()
        self.assertEqual(run.mint(OWNER), ())
        self.assertTrue(run.up[OWNER].part.is_idle())
        (stopping,) = run.outcomes[queued]
        self.assertEqual(stopping.reason, Reason.STOPPING)
        self.assertIsInstance(run.outcomes[self.text][0], outcomes.Complete)

    def test_stopping_owner_tells_outcomes_at_once(self) -> None:
        run = self.run_
        while not world.is_repeatable(text := run.mint(OWNER)[0]):
            pass
        run_to(run, text, Stage.STARTED)
        run.up[OWNER].part.stop()
        while text in run.up[OWNER].held:
            run.work(OWNER, text)
        run.flush()
        run.crash(OWNER)
        run.detect()
        run.submit("b1", text)
        run.settle_down()
        complete = outcomes.Complete(world.get_answers(text))
        self.assertEqual(run.outcomes[text], [complete] * 2)

    def test_memory_is_asked_for_before_a_job_is_taken(self) -> None:
        run = self.run_
        memory_budget = run.up[OWNER].part.memory_budget
        memory_budget.member_bytes = 3 * job_data.RECORD_BYTES
        taken = [find_ticket(run) for _ in range(8)]
        for text in taken:
            run.submit("a3", text)
        run.settle_down()
        memory_budget.member_bytes = job_data.MEMBER_BYTES
        for text in taken:
            run.submit("b1", text)
        run.settle_down()
        kinds = [type(run.outcomes[text][0]) for text in taken]
        self.assertIn(outcomes.Complete, kinds)
        self.assertIn(outcomes.NotRun, kinds)

    def test_text_of_a_ticket_has_one_form(self) -> None:
        forms = [self.text + "=", self.text + "\n", " " + self.text, self.text[:-1]]
        forms.append(self.text[:-1] + chr(ord(self.text[-1]) ^ 1))
        for form in forms:
            self.assertIsInstance(
                ticket.parse(world.KEY, form, world.MEMBER), outcomes.Refusal
            )

    def test_ticket_of_another_member_looks_like_none(self) -> None:
        part = self.run_.up["b1"].part
        unknown = outcomes.Refusal(Reason.NOT_FOUND, "ticket")
        for text in (self.text, "never minted", "", "\u00e9"):
            for call in (part.look_up, part.cancel):
                answer = effects.Answer(text, unknown)
                self.assertEqual(call(text, "another member"), [answer])
        forged = messages.CancelTicket(self.text, "another member")
        owner_part = self.run_.up[OWNER].part
        (sent,) = owner_part.on_message(self.run_.up["b1"].id, forged)
        refused = messages.TicketAnswered(self.text, unknown)
        self.assertEqual(sent, effects.Send("b1", refused))
