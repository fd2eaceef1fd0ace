from __future__ import annotations

import unittest

from knapweedbeam_core import clock, effects
from knapweedbeam_core.stored import client, commands, ledger, messages, service
from stored import test_ledger


class RegistrarTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(10_000, test_ledger.NOW_MS)
        self.ledger = ledger.Ledger()
        self.registrar = service.StoredJobService(self.clock)
        self.registrar.update(self.ledger, True)

    def ask(self, question: messages.Request) -> list[str]:
        """Ask and return the answers that come at once, or what is proposed."""
        return self.read(self.registrar.on_request("entry", question))

    def read(self, produced: service.Effects) -> list[str]:
        texts = []
        for effect in produced:
            match effect:
                case effects.Send(_, messages.Told(number, verdict)):
                    texts.append(f"{number} {verdict}")
                case service.Propose(batch):
                    self.batch = batch
                    texts.append(f"{len(batch.commands)} proposed")
        return texts

    def commit(self) -> list[str]:
        """Commit the batch under way."""
        changes = []
        for command in self.batch.commands:
            change = self.ledger.apply(command, self.batch.wall_ms)
            changes += [change] if change is not None else []
        produced = self.registrar.on_changes(changes) + self.registrar.on_applied()
        return self.read(produced)

    def keep(self, number: int, job_id: str) -> list[str]:
        return self.ask(messages.KeepJob(number, test_ledger.build_job(job_id)))

    def test_a_job_is_acknowledged_once_it_is_committed(self) -> None:
        self.assertEqual(self.keep(1, "j"), ["1 proposed"])
        self.assertEqual(self.commit(), ["1 queued"])
        self.assertEqual(self.keep(2, "j"), ["2 queued"])

    def test_what_comes_meanwhile_goes_into_one_batch(self) -> None:
        self.keep(1, "j")
        for number in range(2, 6):
            self.assertEqual(self.keep(number, f"j{number}"), [])
        self.assertEqual(self.commit(), ["1 queued", "4 proposed"])
        self.assertEqual(self.commit(), [f"{n} queued" for n in range(2, 6)])

    def test_copies_that_wait_together_are_one_change(self) -> None:
        self.keep(1, "j")
        self.assertEqual(self.keep(2, "j"), [])
        self.assertEqual(self.commit(), ["1 queued", "2 queued"])

    def test_a_job_can_be_cancelled_while_it_is_being_kept(self) -> None:
        self.keep(1, "j")
        self.assertEqual(self.ask(messages.CancelJob(2, "j", "q")), [])
        self.assertEqual(self.commit(), ["1 queued", "1 proposed"])
        self.assertEqual(self.commit(), ["2 cancelled"])
        self.assertEqual(self.ask(messages.CancelJob(3, "j", "q")), ["3 cancelled"])

    def test_another_queue_sees_no_job(self) -> None:
        self.keep(1, "j")
        self.commit()
        for question in (
            messages.LookUpJob(2, "j", "other"),
            messages.CancelJob(2, "j", "other"),
            messages.LookUpJob(2, "k", "q"),
        ):
            self.assertEqual(self.ask(question), ["2 unknown"])
        self.assertEqual(self.ask(messages.LookUpJob(3, "j", "q")), ["3 queued"])

    def test_one_that_is_not_sure_says_nothing(self) -> None:
        self.keep(1, "j")
        self.registrar.update(self.ledger, False)
        self.assertEqual(self.keep(2, "j"), ["2 elsewhere"])
        self.assertEqual(self.ask(messages.LookUpJob(3, "x", "q")), ["3 elsewhere"])
        self.assertEqual(
            self.registrar.on_begin_dispatch(messages.BeginDispatch(4, 1)), []
        )

    def test_a_lost_batch_does_not_hold_up_the_next(self) -> None:
        self.keep(1, "j")
        self.keep(2, "k")
        self.assertEqual(self.read(self.registrar.tick()), [])
        self.clock.advance(service.BATCH_TIMEOUT_MS + 1)
        self.assertEqual(self.read(self.registrar.tick()), ["1 proposed"])

    def test_too_much_is_refused_at_once(self) -> None:
        for number in range(service.MAX_WAITING + 1):
            self.keep(number, f"j{number}")
        self.assertEqual(self.keep(9_999, "x"), ["9999 elsewhere"])

    def test_a_batch_is_a_command_of_the_log(self) -> None:
        self.keep(1, "j")
        data = commands.ENCODER.encode(self.batch)
        self.assertEqual(commands.DECODER.decode(data), self.batch)


class ClerkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(10_000)
        self.clerk = client.StoredJobClient(self.clock)

    def ask(self) -> client.Effects:
        number = self.clerk.allocate_number()
        return self.clerk.start_request(messages.LookUpJob(number, "j", "q"))

    def get_targets(self, produced: client.Effects) -> list[str]:
        return [each.to for each in produced if isinstance(each, effects.Send)]

    def get_answers(self, produced: client.Effects) -> list[str]:
        return [
            str(each.told.verdict)
            for each in produced
            if isinstance(each, client.Answered)
        ]

    def test_a_question_goes_to_the_leader_and_again_to_the_next(self) -> None:
        self.clerk.set_recipients("a", "d")
        self.assertEqual(self.get_targets(self.ask()), ["a"])
        self.assertEqual(self.get_targets(self.clerk.set_recipients("b", "d")), ["b"])
        told = messages.Told(1, messages.Verdict.QUEUED)
        self.assertEqual(self.get_answers(self.clerk.on_reply(told)), ["queued"])
        self.assertEqual(self.clerk.on_reply(told), [])

    def test_jobs_are_counted_by_the_dispatcher(self) -> None:
        self.clerk.set_recipients("a", "d")
        produced = self.clerk.start_request(messages.CountWaiting(1, "q"))
        self.assertEqual(self.get_targets(produced), ["d"])

    def test_one_that_cannot_tell_is_asked_again(self) -> None:
        self.clerk.set_recipients("a", "d")
        self.ask()
        told = messages.Told(1, messages.Verdict.ELSEWHERE)
        self.assertEqual(self.clerk.on_reply(told), [])
        self.assertEqual(self.clerk.tick(), [])
        self.clock.advance(client.REFUSED_PAUSE_MS)
        self.assertEqual(self.get_targets(self.clerk.tick()), ["a"])

    def test_only_what_was_never_sent_has_surely_changed_nothing(self) -> None:
        self.ask()
        self.clock.advance(client.PATIENCE_MS + 1)
        self.assertEqual(self.get_answers(self.clerk.tick()), ["elsewhere"])
        self.clerk.set_recipients("a", "d")
        self.ask()
        self.clock.advance(client.PATIENCE_MS + 1)
        self.assertEqual(self.get_answers(self.clerk.tick()), ["unclear"])


if __name__ == "__main__":
    unittest.main()
