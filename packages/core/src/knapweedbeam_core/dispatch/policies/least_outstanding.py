"""Baseline: the endpoint with the fewest outstanding tasks per slot."""

from __future__ import annotations

from knapweedbeam_core.dispatch import placement
from knapweedbeam_core.dispatch.policies import least_finish
from knapweedbeam_core.slots import held


class LeastOutstanding(least_finish.LeastFinish):
    """Order by outstanding tasks per slot, and no measured time."""

    def get_score(self, endpoint: held.HeldEndpoint) -> float:
        """Return outstanding tasks per slot."""
        return (endpoint.running + 1) / endpoint.record.slots

    def get_class_ratio(
        self, endpoint: held.HeldEndpoint, request: placement.Request
    ) -> float:
        """Treat all classes alike."""
        return 1.0
