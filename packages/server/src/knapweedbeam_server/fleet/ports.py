"""The interface of the adapter that makes calls to endpoints."""

from __future__ import annotations

import typing

from knapweedbeam_core.pool import calls


class EndpointClient(typing.Protocol):
    """Makes a call to an endpoint and waits for its answer; never raises."""

    def record_tick(self) -> None:
        """Record that the process has come to its periodic work.

        By these calls, a client knows when answers wait because the process is late.
        """

    def start(self, call: calls.Start) -> calls.Answer:
        """Start an attempt."""

    def stop(self, call: calls.Stop) -> calls.Answer:
        """Stop an attempt."""

    def hold(self, call: calls.Hold) -> calls.HoldResult | calls.HoldFailed:
        """Renew the lease and return the running and the ended attempts."""

    def request_advice(self, call: calls.RequestAdvice) -> calls.Advice | None:
        """Request which endpoints may run a step; return none without an answer."""

    def close_connections(self, address: str) -> None:
        """Close the connections to an address."""
