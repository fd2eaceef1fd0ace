from __future__ import annotations

import unittest

from bench.pool import simulation
from knapweedbeam_core import clock, effects, reasons
from knapweedbeam_core.fleet import job_routes
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import cancellations, messages, open_jobs


class DispatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = simulation.Simulation()
        self.endpoint = self.world.add_endpoint("e0")
        self.dispatcher = self.world.add_dispatcher("a", 10)
        self.world.advance(50)
        self.submit(1)
        self.world.advance(50)

    def submit(self, hand_in: int) -> None:
        self.world.submit(
            self.dispatcher, "j", work_ms=2_000, patience_ms=20_000, hand_in=hand_in
        )

    def cancel(self, age_ms: int = 0, queue: str = "queue") -> list[effects.Message]:
        """Cancel the job at another entry VM and return what the first one is told."""
        produced = self.dispatcher.on_cancel(messages.CancelOpenJob("j", queue, age_ms))
        self.world.run(self.dispatcher, produced)
        return [each.message for each in produced if isinstance(each, effects.Send)]

    def test_job_ends_and_its_entry_vm_is_told(self) -> None:
        self.assertEqual(self.cancel(), [messages.JobCancelled("j", 1)])
        self.world.advance(200)
        self.assertEqual(self.endpoint.running_attempts, {})
        self.submit(1)
        self.world.advance(200)
        self.assertEqual(len(self.world.starts), 1)

    def test_job_that_was_submitted_after_the_cancellation_goes_on(self) -> None:
        self.assertEqual(self.cancel(age_ms=200), [])
        self.assertEqual(self.cancel(queue="another"), [])
        self.cancel()
        self.submit(2)
        self.world.advance(200)
        self.assertEqual(self.cancel(age_ms=400), [])
        self.assertEqual(list(self.dispatcher.jobs), ["j"])


class EntryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(0, 1_700_000_000_000)
        self.open_jobs = open_jobs.OpenJobs(self.clock)
        self.open_jobs.follow(job_routes.Target("a", 10))

    def test_cancellation_is_sent_again_with_its_age(self) -> None:
        sender = cancellations.Cancellations(self.clock, self.open_jobs)
        sent = sender.start("j", "q")
        for _ in range(10):
            self.clock.advance(cancellations.RESEND_MS)
            sent += sender.tick()
        ages = [number * cancellations.RESEND_MS for number in range(4)]
        self.assertEqual(
            sent,
            [effects.Send("a", messages.CancelOpenJob("j", "q", age)) for age in ages],
        )

    def test_entry_vm_with_the_job_answers_its_callers(self) -> None:
        terms = manifest.Terms("q", "service", 0, 3, 1.6, 60)
        step = messages.SubmittedStep(1, 100, 64, 0, 60, (), "", "", 0)
        queue = manifest.Queue("h", "/p/", 1_500, terms)
        self.open_jobs.submit("j", queue, "spec", (step,), 3_000)
        hand_in = self.open_jobs.jobs["j"].hand_in
        former = messages.JobCancelled("j", hand_in - 1)
        self.assertEqual(self.open_jobs.on_cancelled(former), [])
        produced = self.open_jobs.on_cancelled(messages.JobCancelled("j", hand_in))
        unknown = open_jobs.Unknown(reasons.Reason.CANCELLED)
        self.assertIn(open_jobs.Settled("j", unknown), produced)
        self.assertEqual(self.open_jobs.jobs, {})


if __name__ == "__main__":
    unittest.main()
