"""Place each task where it is expected to finish first."""

from __future__ import annotations

import heapq

from knapweedbeam_core.dispatch import placement
from knapweedbeam_core.slots import held

MAX_CANDIDATES = 4
MAX_ENTRIES_PER_ENDPOINT = 4

Entry = tuple[float, int, held.HeldEndpoint]


class LeastFinish:
    """Least expected finish over the endpoints with a free slot.

    A heap per service is ordered by measured speed and load; a change adds an
    entry and makes the endpoint's earlier ones void. Among the first few that
    fit, the class's own times decide.
    """

    def __init__(self, context: placement.PolicyContext) -> None:
        self.context = context
        self.heaps: dict[str, list[Entry]] = {}
        self.sequence = 0

    def update_endpoint(self, pool: held.SlotPool, endpoint: held.HeldEndpoint) -> None:
        """Enter the endpoint anew when it has a free slot."""
        endpoint.entry_number = 0
        if endpoint.free_index < 0:
            return
        heap = self.heaps.setdefault(pool.service, [])
        if len(heap) > MAX_ENTRIES_PER_ENDPOINT * len(pool.endpoints) + MAX_CANDIDATES:
            heap[:] = [entry for entry in heap if entry[2].entry_number == entry[1]]
            heapq.heapify(heap)
        self.sequence += 1
        endpoint.entry_number = self.sequence
        heapq.heappush(heap, (self.get_score(endpoint), self.sequence, endpoint))

    def choose(
        self, pool: held.SlotPool, request: placement.Request
    ) -> held.HeldEndpoint | None:
        """Return the endpoint with the least expected finish that fits."""
        heap = self.heaps.get(pool.service, [])
        best = None
        best_finish = 0.0
        candidates: list[Entry] = []
        while heap and len(candidates) < MAX_CANDIDATES:
            entry = heapq.heappop(heap)
            endpoint = entry[2]
            if endpoint.entry_number != entry[1]:
                continue
            candidates.append(entry)
            if not self.context.fits(endpoint, request):
                continue
            finish = entry[0] * self.get_class_ratio(endpoint, request)
            if best is None or finish < best_finish:
                best = endpoint
                best_finish = finish
        for entry in candidates:
            heapq.heappush(heap, entry)
        if best is None and len(candidates) == MAX_CANDIDATES:
            return self.find_fitting(pool, request)
        return best

    def find_fitting(
        self, pool: held.SlotPool, request: placement.Request
    ) -> held.HeldEndpoint | None:
        """Return the best of all free endpoints, when the first have no room."""
        fitting = [e for e in pool.free_endpoints if self.context.fits(e, request)]
        return min(fitting, key=self.get_score, default=None)

    def get_score(self, endpoint: held.HeldEndpoint) -> float:
        """Return the endpoint's place in the order of expected finish."""
        return endpoint.speed

    def get_class_ratio(
        self, endpoint: held.HeldEndpoint, request: placement.Request
    ) -> float:
        """Return how the task's class runs there beside the endpoint's speed."""
        name = endpoint.record.endpoint
        return self.context.times.get_class_ratio(name, request.job.job_class)
