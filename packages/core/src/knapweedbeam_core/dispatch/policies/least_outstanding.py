"""Baseline: the endpoint with the fewest outstanding tasks per slot."""

from __future__ import annotations

from knapweedbeam_core.dispatch import placement
from knapweedbeam_core.dispatch.policies import least_finish
from knapweedbeam_core.slots import held


class LeastOutstanding(least_finish.LeastFinish):
    """Orders endpoints by outstanding tasks per slot, ignoring run times."""

    def get_score(self, endpoint: held.HeldEndpoint) -> float:
        """Return the outstanding tasks per slot, the new task included."""
        return (endpoint.running + 1) / endpoint.record.slots

    def get_class_ratio(
        self, endpoint: held.HeldEndpoint, request: placement.Request
    ) -> float:
        """Return the same ratio for all classes."""
        return 1.0
