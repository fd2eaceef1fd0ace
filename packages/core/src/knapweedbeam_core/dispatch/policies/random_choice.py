"""Baseline: a random endpoint with a free slot."""

from __future__ import annotations

from knapweedbeam_core.dispatch import placement
from knapweedbeam_core.slots import held

MAX_DRAWS = 4


class RandomChoice:
    """Chooses an endpoint at random."""

    def __init__(self, context: placement.PolicyContext) -> None:
        self.context = context

    def update_endpoint(self, pool: held.SlotPool, endpoint: held.HeldEndpoint) -> None:
        """Do nothing: this policy keeps no state."""

    def choose(
        self, pool: held.SlotPool, request: placement.Request
    ) -> held.HeldEndpoint | None:
        """Return a random endpoint that fits.

        After `MAX_DRAWS` that don't fit, choose among all that do.
        """
        free = pool.free_endpoints
        for _ in range(min(MAX_DRAWS, len(free))):
            endpoint = free[int(self.context.rng.random() * len(free))]
            if self.context.fits(endpoint, request):
                return endpoint
        fitting = [e for e in free if self.context.fits(e, request)]
        return self.context.rng.choice(fitting) if fitting else None
