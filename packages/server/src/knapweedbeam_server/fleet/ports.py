"""What the shell asks of the adapter that speaks to endpoints."""

from __future__ import annotations

import typing

from knapweedbeam_core.pool import calls


class EndpointClient(typing.Protocol):
    """Sends one order to an endpoint and waits for its end; never raises."""

    def start(self, order: calls.Start) -> calls.Answer:
        """Start an attempt."""

    def stop(self, order: calls.Stop) -> calls.Answer:
        """Stop an attempt."""

    def hold(self, order: calls.Hold) -> calls.HoldResult | calls.HoldFailed:
        """Renew the lease and return what runs and what has ended."""

    def request_advice(self, order: calls.RequestAdvice) -> calls.Advice | None:
        """Ask which endpoints may run a step; none when no answer can be had."""

    def close_connections(self, address: str) -> None:
        """Close the connections to an address."""
