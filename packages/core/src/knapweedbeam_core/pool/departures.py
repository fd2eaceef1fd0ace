"""Endpoints that signed off: when they are removed, and their tasks started elsewhere.

A process that was frozen forwards a sign-off late. By then the next incarnation of the
endpoint may be running tasks, and the sign-off does not always name an incarnation. So
it ends no attempt: only an expired lease does, or an answer of another incarnation.
"""

from __future__ import annotations

import typing

from knapweedbeam_core.pool import calls, crashes, endpoints, log_events, messages

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher

# Time for an endpoint to end after its sign-off; meanwhile it may still answer.
END_MS = 100


class DepartureHandler:
    """The endpoints of one dispatcher that signed off."""

    def __init__(self, owner: dispatcher.Dispatcher) -> None:
        self.owner = owner

    def on_gone(self, gone: messages.EndpointGone) -> dispatcher.Effects:
        """Handle a sign-off, unless a newer incarnation of the endpoint is known.

        An endpoint that had announced its departure is removed if it runs nothing,
        which an active dispatcher knows from its lists. Any other gets no tasks until
        it answers again, which proves the sign-off stale.
        """
        endpoint = self.owner.endpoints.get(gone.endpoint)
        if endpoint is None or endpoint.announcement.born_ms > gone.born_ms > 0:
            return []
        is_idle = not endpoint.attempts and (endpoint.is_held or not self.owner.fence)
        if is_leaving(endpoint) and is_idle:
            return self.remove(endpoint)
        endpoint.signed_off_ms = self.owner.clock.now_ms()
        return [log_events.EndpointChanged(gone.endpoint, "signed off")]

    def on_answer(
        self, endpoint: endpoints.Endpoint, answer: calls.HoldResult
    ) -> dispatcher.Effects:
        """Discard a sign-off that an earlier incarnation must have sent."""
        if not endpoint.signed_off_ms:
            return []
        if answer.reading.sent_ms < endpoint.signed_off_ms + END_MS:
            return []
        endpoint.signed_off_ms = 0
        name = endpoint.announcement.endpoint
        return [log_events.EndpointChanged(name, "answers after its sign-off")]

    def tick(self, endpoint: endpoints.Endpoint, now_ms: int) -> dispatcher.Effects:
        """Remove an unresponsive endpoint that signed off and can run nothing."""
        if not endpoint.signed_off_ms:
            return []
        if endpoint.attempts:
            has_ended = endpoint.are_leases_expired(now_ms)
        else:
            has_ended = endpoint.is_held or is_leaving(endpoint)
        return self.remove(endpoint) if has_ended else []

    def remove(self, endpoint: endpoints.Endpoint) -> dispatcher.Effects:
        """Remove an endpoint that left, and requeue the tasks that ran on it."""
        retracted = self.owner.crash_handler.retract(endpoint)
        cause = crashes.LossCause.LEFT
        return retracted + self.owner.remove_endpoint(endpoint, "left", cause)


def is_leaving(endpoint: endpoints.Endpoint) -> bool:
    """Return whether an endpoint announced its departure."""
    return endpoint.announcement.state == messages.EndpointState.LEAVING
