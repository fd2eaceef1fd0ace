from __future__ import annotations

import unittest

from bench.pool import simulation
from knapweedbeam_core.fleet import messages as fleet_messages
from knapweedbeam_core.pool import dispatcher


def run_on_one_endpoint(
    work_ms: int = 900,
) -> tuple[simulation.Simulation, dispatcher.Dispatcher, str]:
    """Return a dispatcher that runs one long task, and the endpoint of the task."""
    world = simulation.Simulation()
    for number in range(3):
        world.add_endpoint(f"e{number}")
    made = world.add_dispatcher("a", 10)
    world.advance(3_050)
    world.submit(made, "j", work_ms=work_ms, patience_ms=20_000)
    world.advance(100)
    (name,) = (used for _, used, _ in world.starts)
    return world, made, name


class NewTokenTest(unittest.TestCase):
    def test_job_that_comes_as_new_after_a_new_token_starts_no_task_twice(self) -> None:
        """Its caller submits it again, at another entry VM."""
        world, made, _ = run_on_one_endpoint()
        world.submit(made, "filling", work_ms=900)
        world.advance(70)
        world.submit(made, "short", work_ms=100)
        world.advance(60)
        world.run(made, made.set_fence(11))
        world.submit(made, "j", work_ms=900, hand_in=2)
        world.advance(1_500)
        self.assertEqual(world.breaches, [])

    def test_job_that_comes_as_new_waits_for_a_run_behind_a_cut_link(self) -> None:
        world, made, name = run_on_one_endpoint()
        world.cut_links.add(("a", name))
        world.run(made, made.set_fence(11))
        world.advance(400)
        world.submit(made, "j", work_ms=900, hand_in=2)
        world.advance(1_500)
        self.assertEqual(world.breaches, [])


def build_entry() -> fleet_messages.Presence:
    """Return the state of an entry VM that sends heartbeats at the fast rate."""
    return fleet_messages.Presence(
        simulation.ENTRY, False, "d", "", True, False, 0, 0, "a", "a", 1
    )


if __name__ == "__main__":
    unittest.main()
