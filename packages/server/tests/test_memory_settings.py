from __future__ import annotations

import dataclasses
import unittest

from knapweedbeam_core.log import records
from knapweedbeam_server import assembly
from knapweedbeam_server.config import load, settings


class MemorySettingsTest(unittest.TestCase):
    def test_coordinator_applies_the_memory_limits_of_the_settings(self) -> None:
        loaded = load.load_settings(None)
        assert isinstance(loaded, settings.Settings)
        callers = dataclasses.replace(loaded.caller_limits, memory_bytes=7_000)
        members = settings.MemberLimits(memory_bytes=3_000)
        loaded = dataclasses.replace(
            loaded, caller_limits=callers, member_limits=members
        )
        process_shell = assembly.build_shell(loaded, records.RestoredState())
        memory_budget = process_shell.node.coordinator.memory_budget
        self.assertTrue(memory_budget.has_space("north", 3_000))
        self.assertFalse(memory_budget.has_space("north", 3_001))
        memory_budget.add("north", 3_000)
        memory_budget.add("south", 3_000)
        self.assertFalse(memory_budget.has_space("west", 1_001))


if __name__ == "__main__":
    unittest.main()
