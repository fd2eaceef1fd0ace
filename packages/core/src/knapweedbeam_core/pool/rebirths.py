"""Attempts whose start may have reached the next incarnation of an endpoint.

A start names an endpoint and not its incarnation. If the endpoint starts again at the
same address while a start is on its way, the next incarnation may run it. Such an
attempt stays assigned until the lists of the next incarnation tell what became of it.
"""

from __future__ import annotations

import typing

from knapweedbeam_core.pool import (
    calls,
    crash_handler,
    crashes,
    endpoints,
    messages,
)

if typing.TYPE_CHECKING:
    from knapweedbeam_core.pool import dispatcher


class RebirthHandler:
    """The replaced incarnations of one dispatcher's endpoints."""

    def __init__(self, owner: dispatcher.Dispatcher) -> None:
        self.owner = owner

    def replace(
        self,
        former: endpoints.Endpoint | None,
        announcement: messages.EndpointNews,
    ) -> tuple[endpoints.Endpoint, dispatcher.Effects]:
        """Return the endpoint of a new incarnation and the effects of its start.

        Attempts of the former one are lost, unless they may run on this one.
        """
        owner = self.owner
        announced_ms = owner.clock.now_ms() - announcement.age_ms
        endpoint = endpoints.Endpoint(announcement, announced_ms, owner.endpoint_index)
        produced: dispatcher.Effects = []
        unlisted: list[endpoints.Attempt] = []
        if former is not None:
            endpoint.is_polled = former.is_polled
            unlisted = self.take_unlisted(former, announcement)
            produced += owner.lose_endpoint(former, "reborn", crashes.LossCause.CRASHED)
            produced += owner.crash_handler.confirm(
                former.announcement.endpoint, former.announcement.born_ms
            )
        produced += owner.crash_handler.confirm_replaced(announcement)
        for attempt in unlisted:
            # Its job may have ended with the former incarnation.
            task = attempt.owner
            attempt.is_unwanted |= task is not None and task.job.is_cancelled
            endpoint.add(attempt)
        return endpoint, produced

    def take_unlisted(
        self, former: endpoints.Endpoint, announcement: messages.EndpointNews
    ) -> list[endpoints.Attempt]:
        """Remove and return the attempts that the next incarnation may have started.

        These are all that the former one has not listed, if the address is the same.
        """
        if former.announcement.address != announcement.address:
            return []
        unlisted = [each for each in former.attempts.values() if not each.is_listed]
        for attempt in unlisted:
            former.remove(attempt)
            self.reset(former, attempt)
        return unlisted

    def reset(self, former: endpoints.Endpoint, attempt: endpoints.Attempt) -> None:
        """Make an attempt uncertain; no time of the former incarnation counts."""
        attempt.former_loss = self.find_loss(former, attempt)
        attempt.state = endpoints.AttemptState.UNCERTAIN
        attempt.until_ms = 0
        attempt.called_ms = self.owner.waiting_clock.now_ms()
        attempt.stop_sent_ms = attempt.stop_clock_ms = attempt.began_clock_ms = 0

    def find_loss(
        self, former: endpoints.Endpoint, attempt: endpoints.Attempt
    ) -> crashes.Loss | None:
        """Return the loss that may have been a crash of the former incarnation."""
        task = attempt.owner
        is_leaving = former.announcement.state == messages.EndpointState.LEAVING
        if task is None or is_leaving or task.job.is_cancelled:
            return None
        if not crash_handler.may_have_run(former, attempt):
            return None
        return self.owner.crash_handler.build_loss(former, attempt, task)

    def on_answer(self, endpoint: endpoints.Endpoint, answer: calls.HoldResult) -> bool:
        """Return whether another incarnation answered, which is not used for now.

        Its announcement follows; without one, the attempts end with their leases.
        """
        if not answer.born_ms or answer.born_ms == endpoint.announcement.born_ms:
            endpoint.is_incarnation_sure = True
            return False
        endpoint.is_held = endpoint.is_incarnation_sure = False
        endpoint.was_replaced = True
        endpoint.failed_polls += 1
        return True

    def drop(
        self, endpoint: endpoints.Endpoint, attempt: endpoints.Attempt, why: str
    ) -> dispatcher.Effects:
        """Drop an attempt that does not run, and requeue its task.

        If the former incarnation was lost under it, that counts as a crash.
        """
        produced = self.owner.tracker.drop_attempt(endpoint, attempt, why)
        if attempt.former_loss is None:
            return produced
        name = endpoint.announcement.endpoint
        return produced + self.owner.crash_handler.count([attempt.former_loss], name)
