"""What the held endpoints of a service offer: their best speed and mean size."""

from __future__ import annotations

import collections.abc
import dataclasses

from knapweedbeam_core.pool import endpoints

# Both change slowly.
INTERVAL_MS = 20


@dataclasses.dataclass(slots=True)
class Offer:
    """What the held endpoints of a service offer, and when it was found."""

    best_speed: float
    mean_millis: float
    found_ms: int


class ServiceMeans:
    """What the held endpoints offer, by service."""

    def __init__(self) -> None:
        self.offers: dict[str, Offer] = {}

    def get_best_speed(
        self,
        service: str,
        iterate: collections.abc.Callable[
            [str], collections.abc.Iterable[endpoints.Endpoint]
        ],
        now_ms: int,
    ) -> float:
        """Return the speed of the fastest held endpoint of a service.

        `iterate` returns the endpoints of a service.
        """
        offer = self.offers.get(service)
        if offer is not None and now_ms - offer.found_ms < INTERVAL_MS:
            return offer.best_speed
        held = [endpoint for endpoint in iterate(service) if endpoint.is_in_service]
        best = max((endpoint.speed.value for endpoint in held), default=1.0)
        total_millis = sum(endpoint.capacity.cpu_millis for endpoint in held)
        mean_millis = total_millis / max(1, len(held))
        self.offers[service] = Offer(best, mean_millis, now_ms)
        return best

    def get_mean_millis(self, service: str) -> float:
        """Return the mean processor capacity at the last look, 0 before the first."""
        offer = self.offers.get(service)
        return offer.mean_millis if offer is not None else 0.0
