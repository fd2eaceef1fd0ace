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
    def test_events_lead_to_their_targets(self) -> None:
        door = chart.compile_chart("door", DOOR)
        self.assertEqual(door.get_target("shut", "open"), "ajar")
        self.assertEqual(door.get_target("ajar", "open"), chart.IGNORED)
        self.assertEqual(door.get_next_state("ajar", "open"), "ajar")
        self.assertEqual(door.get_next_state("gone", "burn"), "gone")

    def test_undecided_event_is_refused(self) -> None:
        with self.assertRaisesRegex(chart.ChartError, "shut leaves open undecided"):
            chart.compile_chart("door", DOOR.replace('open = "ajar"\n', "", 1))

    def test_state_without_end_is_refused(self) -> None:
        stuck = DOOR.replace(
            '[states.ajar]\nopen = "ignored"\nburn = "gone"',
            '[states.ajar]\nopen = "ignored"\nburn = "ignored"',
        )
        with self.assertRaisesRegex(chart.ChartError, "ajar has no way to an end"):
            chart.compile_chart("door", stuck)
