"""Baseline: the less loaded of two random endpoints."""

from __future__ import annotations

from knapweedbeam_core.dispatch import placement
from knapweedbeam_core.dispatch.policies import random_choice
from knapweedbeam_core.slots import held


class TwoChoices:
    """Draw two endpoints and take the one with fewer tasks per slot."""

    def __init__(self, context: placement.PolicyContext) -> None:
        self.one = random_choice.RandomChoice(context)

    def update_endpoint(self, pool: held.SlotPool, endpoint: held.HeldEndpoint) -> None:
        """Keep no state."""

    def choose(
        self, pool: held.SlotPool, request: placement.Request
    ) -> held.HeldEndpoint | None:
        """Return the less loaded of two."""
        first = self.one.choose(pool, request)
        second = self.one.choose(pool, request)
        if first is None or second is None:
            return first or second
        first_load = first.running * second.record.slots
        second_load = second.running * first.record.slots
        return first if first_load <= second_load else second
