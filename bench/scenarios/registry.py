"""All scenarios by name."""

from __future__ import annotations

from bench.scenarios import (
    black_hole,
    bundles,
    burst,
    cancel_wave,
    cut,
    flood,
    kill,
    leave,
    model,
    overhead,
    slopes,
    steady,
    straggler,
    wrong_sizes,
)

ALL: tuple[model.Scenario, ...] = (
    steady.SCENARIO,
    overhead.SCENARIO,
    bundles.SCENARIO,
    slopes.SCENARIO,
    burst.SCENARIO,
    black_hole.SCENARIO,
    straggler.SCENARIO,
    flood.SCENARIO,
    cancel_wave.SCENARIO,
    wrong_sizes.SCENARIO,
    kill.SCENARIO,
    cut.SCENARIO,
    leave.SCENARIO,
)
SCENARIOS: dict[str, model.Scenario] = {each.name: each for each in ALL}
