"""Baseline: round robin."""

from __future__ import annotations

from knapweedbeam_core.dispatch import placement
from knapweedbeam_core.slots import held


class RoundRobin:
    """Chooses the endpoints with a free slot in turn."""

    def __init__(self, context: placement.PolicyContext) -> None:
        self.context = context
        self.turn = 0

    def update_endpoint(self, pool: held.SlotPool, endpoint: held.HeldEndpoint) -> None:
        """Do nothing: this policy keeps no state."""

    def choose(
        self, pool: held.SlotPool, request: placement.Request
    ) -> held.HeldEndpoint | None:
        """Return the next endpoint that fits."""
        count = len(pool.free_endpoints)
        for _ in range(count):
            self.turn += 1
            endpoint = pool.free_endpoints[self.turn % count]
            if self.context.fits(endpoint, request):
                return endpoint
        return None
