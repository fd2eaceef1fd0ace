from __future__ import annotations

import unittest

from bench import deployment
from bench.scenarios import model, registry

EXPECTED = {
    "steady",
    "overhead",
    "burst",
    "black-hole",
    "straggler",
    "flood",
    "cancel-wave",
    "wrong-sizes",
    "kill",
    "cut",
    "leave",
}


class RegistryTest(unittest.TestCase):
    def test_every_scenario_is_registered_under_its_name(self) -> None:
        self.assertLessEqual(EXPECTED, set(registry.SCENARIOS))
        for name, scenario in registry.SCENARIOS.items():
            self.assertEqual(name, scenario.name)

    def test_phases_are_reproducible_from_a_seed_and_end_in_time(self) -> None:
        for scenario in registry.ALL:
            if not isinstance(scenario, model.LoadScenario):
                continue
            for name in scenario.deployments:
                with self.subTest(scenario.name, deployment=name):
                    shape = deployment.SHAPES[name]
                    plan = scenario.adapt(deployment.build_deployment(shape, 77))
                    phases = scenario.build(plan, model.Options(seed=5))
                    again = scenario.build(plan, model.Options(seed=5))
                    self.assertEqual(
                        [phase.jobs for phase in phases],
                        [phase.jobs for phase in again],
                    )
                    for phase in phases:
                        self.check_phase(phase)

    def check_phase(self, phase: model.environment.Phase) -> None:
        times = [job.at_ms for job in phase.jobs]
        self.assertEqual(times, sorted(times))
        self.assertLessEqual(times[-1], phase.seconds * 1_000 + 1)
        numbers = [job.number for job in phase.jobs]
        self.assertEqual(len(set(numbers)), len(numbers))
        for action in phase.actions:
            self.assertLess(action.at_s, phase.seconds)
