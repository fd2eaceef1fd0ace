from __future__ import annotations

import unittest

from knapweedbeam_core.charts import chart

DOOR = """
start = "shut"
final = ["gone"]
events = ["open", "burn"]
[states.shut]
open = "ajar"
burn = "gone"
[states.ajar]
open = "ignored"
burn = "gone"
"""


class CompileChartTest(unittest.TestCase):
    def test_events_have_their_targets(self) -> None:
        door = chart.compile_chart("door", DOOR)
        self.assertEqual(door.get_target("shut", "open"), "ajar")
        self.assertEqual(door.get_target("ajar", "open"), chart.IGNORED)
        self.assertEqual(door.get_next_state("ajar", "open"), "ajar")
        self.assertEqual(door.get_next_state("gone", "burn"), "gone")

    def test_missing_target_is_rejected(self) -> None:
        with self.assertRaisesRegex(
            chart.ChartError, "state shut has no target for event open"
        ):
            chart.compile_chart("door", DOOR.replace('open = "ajar"\n', "", 1))

    def test_state_without_path_to_final_state_is_rejected(self) -> None:
        stuck = DOOR.replace(
            '[states.ajar]\nopen = "ignored"\nburn = "gone"',
            '[states.ajar]\nopen = "ignored"\nburn = "ignored"',
        )
        with self.assertRaisesRegex(
            chart.ChartError, "state ajar has no path to a final state"
        ):
            chart.compile_chart("door", stuck)
