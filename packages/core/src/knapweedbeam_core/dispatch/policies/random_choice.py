"""Baseline: any endpoint with a free slot that fits."""

from __future__ import annotations

from knapweedbeam_core.dispatch import placement
from knapweedbeam_core.slots import held

TRIES = 4


class RandomChoice:
    """Choose at random."""

    def __init__(self, tools: placement.Tools) -> None:
        self.tools = tools

    def changed(self, pool: held.SlotPool, endpoint: held.HeldEndpoint) -> None:
        """Keep no state."""

    def choose(
        self, pool: held.SlotPool, request: placement.Request
    ) -> held.HeldEndpoint | None:
        """Return a random endpoint; after a few misses, one of all that fit."""
        free = pool.free_endpoints
        for _ in range(min(TRIES, len(free))):
            endpoint = free[int(self.tools.rng.random() * len(free))]
            if self.tools.fits(endpoint, request):
                return endpoint
        fitting = [e for e in free if self.tools.fits(e, request)]
        return self.tools.rng.choice(fitting) if fitting else None
