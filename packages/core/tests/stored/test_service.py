from __future__ import annotations

import random
import unittest

from knapweedbeam_core import clock, effects
from knapweedbeam_core.stored import client, commands, ledger, messages, service
from stored import test_ledger


class StoredJobServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(10_000, test_ledger.NOW_MS)
        self.ledger = ledger.Ledger()
        self.service = service.StoredJobService(self.clock)
        self.service.update(self.ledger, True)

    def request(self, request_message: messages.Request) -> list[str]:
        """Send a request; return the immediate replies or what is proposed."""
        return self.read(self.service.on_request("entry", request_message))

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
        """Commit the proposed batch and return the replies."""
        changes = []
        for command in self.batch.commands:
            change = self.ledger.apply(command, self.batch.wall_ms)
            changes += [change] if change is not None else []
        produced = self.service.on_changes(changes) + self.service.on_applied()
        return self.read(produced)

    def keep(self, number: int, job_id: str) -> list[str]:
        return self.request(messages.KeepJob(number, test_ledger.build_job(job_id)))

    def test_a_job_is_acknowledged_once_it_is_committed(self) -> None:
        self.assertEqual(self.keep(1, "j"), ["1 proposed"])
        self.assertEqual(self.commit(), ["1 queued"])
        self.assertEqual(self.keep(2, "j"), ["2 queued"])

    def test_changes_during_a_commit_form_one_batch(self) -> None:
        self.keep(1, "j")
        for number in range(2, 6):
            self.assertEqual(self.keep(number, f"j{number}"), [])
        self.assertEqual(self.commit(), ["1 queued", "4 proposed"])
        self.assertEqual(self.commit(), [f"{n} queued" for n in range(2, 6)])

    def test_repeated_pending_requests_are_one_change(self) -> None:
        self.keep(1, "j")
        self.assertEqual(self.keep(2, "j"), [])
        self.assertEqual(self.commit(), ["1 queued", "2 queued"])

    def test_a_job_can_be_cancelled_before_its_acceptance_is_committed(self) -> None:
        self.keep(1, "j")
        self.assertEqual(self.request(messages.CancelJob(2, "j", "q")), [])
        self.assertEqual(self.commit(), ["1 queued", "1 proposed"])
        self.assertEqual(self.commit(), ["2 cancelled"])
        self.assertEqual(self.request(messages.CancelJob(3, "j", "q")), ["3 cancelled"])

    def test_a_job_is_unknown_to_other_queues(self) -> None:
        self.keep(1, "j")
        self.commit()
        for request_message in (
            messages.LookUpJob(2, "j", "other"),
            messages.CancelJob(2, "j", "other"),
            messages.LookUpJob(2, "k", "q"),
        ):
            self.assertEqual(self.request(request_message), ["2 unknown"])
        self.assertEqual(self.request(messages.LookUpJob(3, "j", "q")), ["3 queued"])

    def test_a_service_that_is_not_authoritative_does_not_answer(self) -> None:
        self.keep(1, "j")
        self.service.update(self.ledger, False)
        self.assertEqual(self.keep(2, "j"), ["2 elsewhere"])
        self.assertEqual(self.request(messages.LookUpJob(3, "x", "q")), ["3 elsewhere"])
        self.assertEqual(
            self.service.on_begin_dispatch(messages.BeginDispatch(4, 1)), []
        )

    def test_a_lost_batch_does_not_block_the_next(self) -> None:
        self.keep(1, "j")
        self.keep(2, "k")
        self.assertEqual(self.read(self.service.tick()), [])
        self.clock.advance(service.BATCH_TIMEOUT_MS + 1)
        self.assertEqual(self.read(self.service.tick()), ["1 proposed"])

    def test_requests_beyond_the_limit_are_refused_at_once(self) -> None:
        for number in range(service.MAX_WAITING + 1):
            self.keep(number, f"j{number}")
        self.assertEqual(self.keep(9_999, "x"), ["9999 elsewhere"])

    def test_a_batch_survives_encoding(self) -> None:
        self.keep(1, "j")
        data = commands.ENCODER.encode(self.batch)
        self.assertEqual(commands.DECODER.decode(data), self.batch)


class StoredJobClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(10_000)
        self.rng = random.Random(1)
        self.client = client.StoredJobClient(self.clock, self.rng)

    def request(self) -> client.Effects:
        number = self.client.allocate_number()
        return self.client.start_request(messages.LookUpJob(number, "j", "q"))

    def get_targets(self, produced: client.Effects) -> list[str]:
        return [each.to for each in produced if isinstance(each, effects.Send)]

    def get_verdicts(self, produced: client.Effects) -> list[str]:
        return [
            str(each.reply.verdict)
            for each in produced
            if isinstance(each, client.Answered)
        ]

    def test_a_request_is_resent_to_a_new_leader(self) -> None:
        self.client.set_recipients("a", "d")
        self.assertEqual(self.get_targets(self.request()), ["a"])
        self.assertEqual(self.get_targets(self.client.set_recipients("b", "d")), ["b"])
        (number,) = self.client.open
        reply = messages.Told(number, messages.Verdict.QUEUED)
        self.assertEqual(self.get_verdicts(self.client.on_reply(reply)), ["queued"])
        self.assertEqual(self.client.on_reply(reply), [])

    def test_jobs_are_counted_by_the_dispatcher(self) -> None:
        self.client.set_recipients("a", "d")
        produced = self.client.start_request(messages.CountWaiting(1, "q"))
        self.assertEqual(self.get_targets(produced), ["d"])

    def test_a_request_is_repeated_after_elsewhere(self) -> None:
        self.client.set_recipients("a", "d")
        self.request()
        (number,) = self.client.open
        reply = messages.Told(number, messages.Verdict.ELSEWHERE)
        self.assertEqual(self.client.on_reply(reply), [])
        self.assertEqual(self.client.tick(), [])
        self.clock.advance(client.REFUSED_PAUSE_MS)
        self.assertEqual(self.get_targets(self.client.tick()), ["a"])

    def test_only_a_request_never_sent_is_certain_to_change_nothing(self) -> None:
        self.request()
        self.clock.advance(client.ANSWER_TIMEOUT_MS + 1)
        self.assertEqual(self.get_verdicts(self.client.tick()), ["elsewhere"])
        self.client.set_recipients("a", "d")
        self.request()
        self.clock.advance(client.ANSWER_TIMEOUT_MS + 1)
        self.assertEqual(self.get_verdicts(self.client.tick()), ["unclear"])

    def test_reply_to_a_request_before_a_restart_answers_none_after_it(self) -> None:
        self.client.set_recipients("a", "d")
        self.request()
        (number,) = self.client.open
        self.client = client.StoredJobClient(self.clock, self.rng)
        self.client.set_recipients("a", "d")
        self.client.start_request(
            messages.LookUpJob(self.client.allocate_number(), "another", "q")
        )
        reply = messages.Told(number, messages.Verdict.COMPLETE)
        self.assertEqual(self.client.on_reply(reply), [])


if __name__ == "__main__":
    unittest.main()
