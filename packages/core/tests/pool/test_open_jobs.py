from __future__ import annotations

import unittest

from bench.pool import simulation
from knapweedbeam_core import clock, effects, reasons
from knapweedbeam_core.fleet import job_routes, sharding
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import dispatcher, messages, open_jobs

TERMS = manifest.Terms("q", "service", 0, 3, 1.6, 60)
QUEUE = manifest.Queue("h", "/p/", 1_500, TERMS)
STEPS = (messages.SubmittedStep(1, 1_000, 64, 0, 60, (), "", "", 0),)


class OpenJobsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(10_000)
        self.open_jobs = open_jobs.OpenJobs(self.clock)

    def follow(
        self, name: str, token: int = 0, targets: tuple[job_routes.Target, ...] = ()
    ) -> open_jobs.Effects:
        return self.open_jobs.follow(job_routes.Target(name, token), targets)

    def take(self, job_id: str = "j") -> open_jobs.Effects:
        return self.open_jobs.submit(job_id, QUEUE, "spec", STEPS, 3_000)

    def get_submits(self, produced: open_jobs.Effects) -> list[tuple[str, int]]:
        return [
            (effect.to, effect.message.attempt_base)
            for effect in produced
            if isinstance(effect, effects.Send)
            and isinstance(effect.message, messages.Submit)
        ]

    def test_a_job_goes_to_the_dispatcher_and_again_to_the_next(self) -> None:
        self.follow("a")
        self.assertEqual(self.get_submits(self.take()), [("a", 0)])
        self.assertEqual(
            self.get_submits(self.follow("b")),
            [("b", 100)],
        )

    def test_a_job_goes_to_the_owner_of_its_shard(self) -> None:
        targets = (job_routes.Target("a", 21), job_routes.Target("b", 22))
        self.follow("a", 20, targets)
        for number in range(8):
            expected = targets[sharding.get_shard(f"j{number}", 2)]
            (sent,) = self.take(f"j{number}")
            assert isinstance(sent, effects.Send)
            assert isinstance(sent.message, messages.Submit)
            self.assertEqual(
                (sent.to, sent.message.token), (expected.name, expected.token)
            )

    def test_only_jobs_whose_owner_changed_are_sent_again(self) -> None:
        targets = (job_routes.Target("a", 21), job_routes.Target("b", 22))
        self.follow("a", 20, targets)
        for number in range(8):
            self.take(f"j{number}")
        moved = (targets[0], job_routes.Target("c", 23))
        sent = self.get_submits(self.follow("a", 20, moved))
        count = sum(sharding.get_shard(f"j{number}", 2) for number in range(8))
        self.assertEqual(sent, [("c", 100)] * count)

    def test_owner_with_another_token_may_have_had_the_job_before(self) -> None:
        self.follow("a", 20)
        self.take()
        self.assertEqual(
            self.get_submits(self.follow("a", 21)),
            [("a", 100)],
        )
        refused = messages.JobRefused("j", reasons.Reason.DEADLINE, 500)
        (settled,) = self.open_jobs.on_refused("a", refused)
        assert isinstance(settled, open_jobs.Settled)
        self.assertIsInstance(settled.outcome, open_jobs.Unknown)

    def test_resend_rate_to_inactive_dispatcher_is_limited(self) -> None:
        self.follow("a")
        for number in range(30):
            self.take(f"j{number}")
        sent = 0
        for _ in range(50):
            for number in range(30):
                self.open_jobs.on_not_dispatching("a", f"j{number}")
            self.clock.advance(20)
            sent += len(self.get_submits(self.open_jobs.tick()))
        self.assertLessEqual(sent, 30 * 11)

    def test_job_that_was_not_accepted_keeps_attempt_base(self) -> None:
        self.follow("a")
        self.take()
        self.open_jobs.on_not_dispatching("a", "j")
        self.assertEqual(self.get_submits(self.follow("b")), [("b", 0)])

    def get_former(self, produced: open_jobs.Effects) -> tuple[str, ...]:
        (sent,) = produced
        assert isinstance(sent, effects.Send)
        assert isinstance(sent.message, messages.Submit)
        return sent.message.former

    def get_former_after_a_refusal(self, resends: int) -> tuple[str, ...]:
        """Let `a` refuse a job as not dispatching; return what `b` is told."""
        self.follow("a")
        self.take()
        for _ in range(resends):
            self.clock.advance(open_jobs.RESEND_MS)
            self.open_jobs.tick()
        self.open_jobs.on_not_dispatching("a", "j")
        return self.get_former(self.follow("b"))

    def test_successor_is_told_who_may_have_had_the_job(self) -> None:
        self.follow("a")
        self.assertEqual(self.get_former(self.take()), ())
        self.assertEqual(self.get_former(self.follow("b")), ("a",))
        self.assertEqual(self.get_former(self.follow("c")), ("a", "b"))
        self.assertEqual(self.get_former(self.follow("a")), ("a", "b", "c"))

    def test_dispatcher_that_never_accepted_the_job_is_not_named(self) -> None:
        self.assertEqual(self.get_former_after_a_refusal(resends=0), ())

    def test_dispatcher_that_gave_up_its_role_is_named(self) -> None:
        self.assertEqual(self.get_former_after_a_refusal(resends=1), ("a",))

    def test_refusal_is_uncertain_if_job_may_have_been_accepted(self) -> None:
        self.follow("a")
        self.take()
        self.clock.advance(open_jobs.RESEND_MS)
        self.open_jobs.tick()
        self.open_jobs.on_not_dispatching("a", "j")
        self.assertEqual(
            self.get_submits(self.follow("b")),
            [("b", 100)],
        )
        refused = messages.JobRefused("j", reasons.Reason.DEADLINE, 500)
        (settled,) = self.open_jobs.on_refused("b", refused)
        assert isinstance(settled, open_jobs.Settled)
        self.assertIsInstance(settled.outcome, open_jobs.Unknown)

    def test_open_job_is_resent_after_interval(self) -> None:
        self.follow("a")
        self.take()
        self.clock.advance(open_jobs.RESEND_MS)
        self.assertEqual(self.get_submits(self.open_jobs.tick()), [("a", 0)])
        self.assertEqual(self.open_jobs.tick(), [])

    def test_without_a_dispatcher_a_job_is_refused_as_not_run(self) -> None:
        self.take()
        self.clock.advance(open_jobs.NO_DISPATCHER_TIMEOUT_MS + 1)
        (settled,) = self.open_jobs.tick()
        assert isinstance(settled, open_jobs.Settled)
        self.assertIsInstance(settled.outcome, open_jobs.Refused)

    def test_a_refusal_is_sure_only_if_one_dispatcher_had_the_job(self) -> None:
        refused = messages.JobRefused("j", reasons.Reason.DEADLINE, 500)
        self.follow("a")
        self.take()
        self.follow("b")
        self.assertEqual(self.open_jobs.on_refused("a", refused), [])
        (settled,) = self.open_jobs.on_refused("b", refused)
        assert isinstance(settled, open_jobs.Settled)
        self.assertIsInstance(settled.outcome, open_jobs.Unknown)

    def test_an_end_from_an_earlier_dispatcher_counts(self) -> None:
        self.follow("a")
        self.take()
        self.follow("b")
        done = messages.JobComplete("j")
        (settled,) = self.open_jobs.on_ended("a", done)
        self.assertEqual(settled, open_jobs.Settled("j", open_jobs.Ended(True)))
        self.assertEqual(self.open_jobs.on_ended("b", done), [])


class FormerHandInTest(unittest.TestCase):
    """A caller submits a job again while answers to its first submission are late."""

    def setUp(self) -> None:
        self.world = simulation.Simulation()
        self.world.add_endpoint("e0")
        self.open_jobs = open_jobs.OpenJobs(self.world.clock)
        self.open_jobs.follow(job_routes.Target("a"))

    def take(self, cpu_millis: int) -> messages.Submit:
        """Submit a job of one task; return what its dispatcher is sent."""
        step = messages.SubmittedStep(1, cpu_millis, 64, 0, 60, (), "", "", 0)
        self.world.work_ms["j"] = 60
        self.world.cpu_millis["j"] = cpu_millis
        return self.get_submit(
            self.open_jobs.submit("j", QUEUE, "spec", (step,), 3_000)
        )

    def get_submit(self, produced: open_jobs.Effects) -> messages.Submit:
        (sent,) = produced
        assert isinstance(sent, effects.Send)
        assert isinstance(sent.message, messages.Submit)
        return sent.message

    def deliver(
        self, to: dispatcher.Dispatcher, submit: messages.Submit
    ) -> list[effects.Message]:
        """Let a dispatcher handle a submission; return its answers."""
        produced = to.on_submit(simulation.ENTRY, submit)
        self.world.run(to, produced)
        return [each.message for each in produced if isinstance(each, effects.Send)]

    def test_refusal_of_an_earlier_submission_does_not_end_the_next_one(self) -> None:
        """The first one was sent twice, and so it was refused twice."""
        made = self.world.add_dispatcher("a", 10)
        self.world.advance(50)
        first = self.take(80_000)
        (refused,) = self.deliver(made, first)
        assert isinstance(refused, messages.JobRefused)
        self.open_jobs.on_refused("a", refused)
        large = self.world.add_endpoint("large", 96_000)
        self.world.run(made, made.on_announcement(large.build_announcement()))
        self.world.advance(400)
        second = self.take(80_000)
        (late,) = self.deliver(made, first)
        assert isinstance(late, messages.JobRefused)
        self.deliver(made, second)
        self.world.advance(20)
        self.assertEqual(len(self.world.starts), 1)
        self.assertEqual(self.open_jobs.on_refused("a", late), [])

    def test_withdrawal_of_an_earlier_submission_leaves_the_next_one_open(self) -> None:
        """The caller submits the job at another entry VM, and then closes the first."""
        made = self.world.add_dispatcher("a", 10)
        self.world.advance(50)
        self.deliver(made, self.take(1_000))
        former = self.open_jobs
        self.world.advance(10)
        self.open_jobs = open_jobs.OpenJobs(self.world.clock)
        self.open_jobs.follow(job_routes.Target("a"))
        self.deliver(made, self.take(1_000))
        for sent in former.withdraw("j"):
            assert isinstance(sent, effects.Send)
            assert isinstance(sent.message, messages.Withdraw)
            self.world.run(made, made.on_withdraw(sent.message))
        self.world.advance(100)
        self.assertEqual(self.world.get_outcome("j"), "JobComplete")

    def test_late_answer_to_an_earlier_submission_hides_no_dispatcher(self) -> None:
        """The job was accepted meanwhile; its next dispatcher has to know by whom."""
        made = self.world.add_dispatcher("a", 0)
        (late,) = self.deliver(made, self.take(1_000))
        assert isinstance(late, messages.NotDispatching)
        self.open_jobs.withdraw("j")
        self.world.run(made, made.set_fence(10))
        self.world.advance(400)
        self.deliver(made, self.take(1_000))
        self.world.advance(20)
        self.assertEqual(len(self.world.starts), 1)
        self.open_jobs.on_not_dispatching("a", late.job_id)
        sent = self.get_submit(self.open_jobs.follow(job_routes.Target("b")))
        self.assertGreater(sent.attempt_base, 0)
        self.assertEqual(sent.former, ("a",))


if __name__ == "__main__":
    unittest.main()
