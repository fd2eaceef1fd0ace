from __future__ import annotations

import typing
import unittest

from knapweedbeam_core import clock, effects
from knapweedbeam_core.fleet import membership
from knapweedbeam_core.pool import attempt_tracker, messages, shards
from knapweedbeam_server.fleet import announcing

BOUNDS = attempt_tracker.ProtocolBounds(1_000, 50, 1_000)


class FakeHost:
    """A process that knows one other core VM and keeps what it sends."""

    def __init__(self) -> None:
        timer = clock.ManualClock(10_000, 1_700_000_000_000)
        self.members = membership.Membership("a", True, (), timer)
        self.members.core_names = {"a", "b"}
        self.shards = shards.ShardedDispatcher("a", BOUNDS, timer)
        self.sent: list[effects.Send] = []

    def send(self, effect: effects.Send) -> None:
        """Keep a message."""
        self.sent.append(effect)

    def run(self, produced: typing.Any) -> None:
        """Ignore the effects, which are log events."""


class DepartureTest(unittest.TestCase):
    def setUp(self) -> None:
        self.host = FakeHost()
        self.forwarder = announcing.AnnouncementForwarder(self.host)

    def test_late_sign_off_names_the_incarnation_that_was_known(self) -> None:
        """Other processes may know the next incarnation, which still runs."""
        state = messages.EndpointState.UP
        announcement = messages.EndpointNews(
            "e0", 7, 1, "service", "e0", "domain", state, 64_000, 100, 0, (), 0
        )
        self.host.shards.on_announcement(announcement)
        self.forwarder.handle_departure("e0")
        self.assertEqual(
            self.host.sent, [effects.Send("b", messages.EndpointGone("e0", 7))]
        )

    def test_sign_off_of_an_unknown_endpoint_names_no_incarnation(self) -> None:
        self.forwarder.handle_departure("e1")
        self.assertEqual(
            self.host.sent, [effects.Send("b", messages.EndpointGone("e1", 0))]
        )


if __name__ == "__main__":
    unittest.main()
