from __future__ import annotations

import unittest

from knapweedbeam_core import clock, effects, reasons
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import messages, open_jobs

TERMS = manifest.Terms("q", "service", 0, 3, 1.6, 60)
QUEUE = manifest.Queue("h", "/p/", 1_500, TERMS)
STEPS = (messages.SubmittedStep(1, 1_000, 64, 0, 60, (), "", "", 0),)


class DeskTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(10_000)
        self.desk = open_jobs.OpenJobs(self.clock)

    def submit(self, job_id: str = "j") -> open_jobs.Effects:
        return self.desk.submit(job_id, QUEUE, "spec", STEPS, 3_000)

    def get_submits(self, produced: open_jobs.Effects) -> list[tuple[str, int]]:
        return [
            (effect.to, effect.message.attempt_base)
            for effect in produced
            if isinstance(effect, effects.Send)
            and isinstance(effect.message, messages.Submit)
        ]

    def test_a_job_goes_to_the_dispatcher_and_again_to_the_next(self) -> None:
        self.desk.follow("a")
        self.assertEqual(self.get_submits(self.submit()), [("a", 0)])
        self.assertEqual(self.get_submits(self.desk.follow("b")), [("b", 100)])

    def test_one_that_does_not_dispatch_is_not_flooded(self) -> None:
        self.desk.follow("a")
        for number in range(30):
            self.submit(f"j{number}")
        sent = 0
        for _ in range(50):
            for number in range(30):
                self.desk.on_not_dispatching("a", f"j{number}")
            self.clock.advance(20)
            sent += len(self.get_submits(self.desk.tick()))
        self.assertLessEqual(sent, 30 * 11)

    def test_a_job_that_no_dispatcher_took_keeps_its_first_numbers(self) -> None:
        self.desk.follow("a")
        self.submit()
        self.desk.on_not_dispatching("a", "j")
        self.assertEqual(self.get_submits(self.desk.follow("b")), [("b", 0)])

    def test_a_job_that_may_have_been_taken_is_never_refused_as_not_run(self) -> None:
        self.desk.follow("a")
        self.submit()
        self.clock.advance(open_jobs.RESEND_MS)
        self.desk.tick()
        self.desk.on_not_dispatching("a", "j")
        self.assertEqual(self.get_submits(self.desk.follow("b")), [("b", 100)])
        refused = messages.JobRefused("j", reasons.Reason.DEADLINE, 500)
        (settled,) = self.desk.on_refused("b", refused)
        assert isinstance(settled, open_jobs.Settled)
        self.assertIsInstance(settled.outcome, open_jobs.Unknown)

    def test_an_open_job_is_named_again_now_and_then(self) -> None:
        self.desk.follow("a")
        self.submit()
        self.clock.advance(open_jobs.RESEND_MS)
        self.assertEqual(self.get_submits(self.desk.tick()), [("a", 0)])
        self.assertEqual(self.desk.tick(), [])

    def test_without_a_dispatcher_a_job_is_refused_as_not_run(self) -> None:
        self.submit()
        self.clock.advance(open_jobs.NO_DISPATCHER_TIMEOUT_MS + 1)
        (settled,) = self.desk.tick()
        assert isinstance(settled, open_jobs.Settled)
        self.assertIsInstance(settled.outcome, open_jobs.Refused)

    def test_a_refusal_is_sure_only_if_one_dispatcher_had_the_job(self) -> None:
        refused = messages.JobRefused("j", reasons.Reason.DEADLINE, 500)
        self.desk.follow("a")
        self.submit()
        self.desk.follow("b")
        self.assertEqual(self.desk.on_refused("a", refused), [])
        (settled,) = self.desk.on_refused("b", refused)
        assert isinstance(settled, open_jobs.Settled)
        self.assertIsInstance(settled.outcome, open_jobs.Unknown)

    def test_an_end_from_an_earlier_dispatcher_counts(self) -> None:
        self.desk.follow("a")
        self.submit()
        self.desk.follow("b")
        done = messages.JobComplete("j")
        (settled,) = self.desk.on_ended("a", done)
        self.assertEqual(settled, open_jobs.Settled("j", open_jobs.Ended(True)))
        self.assertEqual(self.desk.on_ended("b", done), [])


if __name__ == "__main__":
    unittest.main()
