"""Baseline: the less loaded of two random endpoints."""

from __future__ import annotations

from knapweedbeam_core.dispatch import placement
from knapweedbeam_core.dispatch.policies import random_choice
from knapweedbeam_core.slots import held


class TwoChoices:
    """Draws two random endpoints and chooses the one with fewer tasks per slot."""

    def __init__(self, context: placement.PolicyContext) -> None:
        self.sampler = random_choice.RandomChoice(context)

    def update_endpoint(self, pool: held.SlotPool, endpoint: held.HeldEndpoint) -> None:
        """Do nothing: this policy keeps no state."""

    def choose(
        self, pool: held.SlotPool, request: placement.Request
    ) -> held.HeldEndpoint | None:
        """Return the less loaded of two random endpoints."""
        first = self.sampler.choose(pool, request)
        second = self.sampler.choose(pool, request)
        if first is None or second is None:
            return first or second
        first_load = first.running * second.record.slots
        second_load = second.running * first.record.slots
        return first if first_load <= second_load else second
