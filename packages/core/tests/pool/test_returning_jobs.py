from __future__ import annotations

import unittest

from bench.pool import simulation
from knapweedbeam_core.pool import dispatcher, messages


class OneEndpointCutTest(unittest.TestCase):
    """A dispatcher loses its link to the endpoint that runs the task of a job."""

    def setUp(self) -> None:
        self.world = simulation.Simulation()
        for number in range(3):
            self.world.add_endpoint(f"e{number}")
        self.made = self.world.add_dispatcher("a", 10)
        self.world.advance(3_050)
        self.world.submit(self.made, "j", work_ms=5_000, patience_ms=20_000, hand_in=1)
        self.world.advance(100)
        ((_, self.name, _),) = self.world.starts

    def submit(self, hand_in: int) -> None:
        """Let the caller of the job submit it again, by any entry VM."""
        self.world.submit(
            self.made, "j", work_ms=5_000, patience_ms=20_000, hand_in=hand_in
        )

    def run_effects(self, produced: dispatcher.Effects) -> None:
        self.world.run(self.made, produced)

    def test_job_that_is_withdrawn_while_it_waits_for_a_former_run_waits_again(
        self,
    ) -> None:
        """Its caller submits it again after a new token, twice."""
        self.world.cut_links.add(("a", self.name))
        self.run_effects(self.made.set_fence(11))
        self.submit(2)
        self.world.advance(50)
        self.run_effects(self.made.on_withdraw(messages.Withdraw("j", 2)))
        self.submit(3)
        self.world.advance(1_500)
        self.assertEqual(self.world.breaches, [])


if __name__ == "__main__":
    unittest.main()
