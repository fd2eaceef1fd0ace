"""Tests where room counts as scarce."""

from __future__ import annotations

import unittest

from bench.pool import load
from knapweedbeam_core.pool import room_policy


def play(cpu_millis: int) -> room_policy.TaskSizes:
    run = load.LoadRun(1.0, 1, cpu_millis=cpu_millis)
    run.run_for(1)
    return run.dispatcher.task_sizes


class RoomPolicyTest(unittest.TestCase):
    def test_room_is_scarce_where_endpoints_hold_two_tasks(self) -> None:
        sizes = play(16_000)
        self.assertTrue(sizes.is_room_scarce("service", 16_000))
        self.assertFalse(sizes.is_room_scarce("service", 32_000))

    def test_room_of_an_unknown_service_is_not_scarce(self) -> None:
        self.assertFalse(play(16_000).is_room_scarce("other", 16_000))

    def test_policy_decides_where_room_is_scarce(self) -> None:
        always = room_policy.TaskSizes(room_policy.RoomPolicy(0))
        self.assertTrue(always.is_room_scarce("other", 16_000))


if __name__ == "__main__":
    unittest.main()
