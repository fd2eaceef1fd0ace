"""Places each task at the endpoint where it is expected to finish first."""

from __future__ import annotations

import heapq

from knapweedbeam_core.dispatch import placement
from knapweedbeam_core.slots import held

MAX_CANDIDATES = 4
MAX_ENTRIES_PER_ENDPOINT = 4

Entry = tuple[float, int, held.HeldEndpoint]


class LeastFinish:
    """Chooses the endpoint with a free slot and the least expected finish.

    A heap per service is ordered by `get_score`. A change of an endpoint adds an
    entry and makes the endpoint's earlier entries stale. Among the first few
    endpoints that fit, the run times of the task's own class decide.
    """

    def __init__(self, context: placement.PolicyContext) -> None:
        self.context = context
        self.heaps: dict[str, list[Entry]] = {}
        self.sequence = 0

    def update_endpoint(self, pool: held.SlotPool, endpoint: held.HeldEndpoint) -> None:
        """Replace the endpoint's entry if it has a free slot, else remove it."""
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
        """Return the fitting endpoint with the least expected finish."""
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
        """Return the best of all free endpoints if none of the first few fits."""
        fitting = [e for e in pool.free_endpoints if self.context.fits(e, request)]
        return min(fitting, key=self.get_score, default=None)

    def get_score(self, endpoint: held.HeldEndpoint) -> float:
        """Return the key by which endpoints are ordered; the lowest is best."""
        return endpoint.speed

    def get_class_ratio(
        self, endpoint: held.HeldEndpoint, request: placement.Request
    ) -> float:
        """Return the class's run time there relative to the endpoint's speed."""
        name = endpoint.record.endpoint
        return self.context.times.get_class_ratio(name, request.job.job_class)
