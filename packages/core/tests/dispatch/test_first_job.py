from __future__ import annotations

import random
import unittest

from knapweedbeam_core import clock, effects, ids, jobs
from knapweedbeam_core.dispatch import dispatcher
from knapweedbeam_core.entry import parts


class FirstJobTest(unittest.TestCase):
    def test_job_right_after_the_first_announcement_is_taken(self) -> None:
        """The endpoint must be usable without waiting for the next tick.

        Before it was, the job was refused with `NO_ENDPOINT`.
        """
        local_dispatcher = dispatcher.Dispatcher(
            ids.ProcessId("a1", 1),
            "alajuela",
            (),
            parts.NullLimiter(),
            clock.ManualClock(1_000, 1_000),
            random.Random(1),
        )
        announcement = parts.Announcement(
            "e1", "despacho", "http://127.0.0.1:9", "alajuela", "w1", 1, 1, 8, 64
        )
        lease, _ = local_dispatcher.announce(announcement)
        self.assertIsInstance(lease, parts.EndpointLease)
        job = jobs.Job("t1", "depots", "despacho", "", 9_000, (jobs.TaskSpec(b"1"),))
        followed = local_dispatcher.enqueue(job)
        self.assertEqual(
            [type(effect) for effect in followed if type(effect) is effects.JobEnded],
            [],
        )
