from __future__ import annotations

import dataclasses
import unittest

from knapweedbeam_core.pool import forwarding, messages

NEWS = messages.EndpointNews(
    "i-1",
    1,
    1,
    "s1",
    "127.0.0.1:9",
    "d1",
    messages.EndpointState.UP,
    64_000,
    1_024,
    0,
    (),
    1,
)
INTERVAL_MS = 1_500


class ForwardingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.forwarding = forwarding.Forwarding()

    def test_few_unchanged_announcements_are_passed_on(self) -> None:
        count = sum(
            self.forwarding.is_due(
                dataclasses.replace(NEWS, sequence=number, clock_ms=number), number
            )
            for number in range(0, 60_000, INTERVAL_MS)
        )
        self.assertEqual(count, 60_000 // forwarding.REPEAT_INTERVAL_MS + 1)

    def test_changes_are_passed_on_at_once(self) -> None:
        self.forwarding.is_due(NEWS, 0)
        for number, change in enumerate(
            ({"born_ms": 2}, {"cpu_millis": 1}, {"address": "127.0.0.1:8"})
        ):
            changed = dataclasses.replace(NEWS, **change)
            self.assertTrue(self.forwarding.is_due(changed, number + 1))

    def test_leaving_endpoint_is_passed_on_each_time(self) -> None:
        leaving = dataclasses.replace(NEWS, state=messages.EndpointState.LEAVING)
        self.forwarding.is_due(NEWS, 0)
        for number in range(3):
            self.assertTrue(self.forwarding.is_due(leaving, number))

    def test_silent_and_departed_endpoints_are_forgotten(self) -> None:
        other = dataclasses.replace(NEWS, endpoint="i-2")
        self.forwarding.is_due(NEWS, 0)
        self.forwarding.is_due(other, 1)
        self.forwarding.remove("i-2")
        self.assertEqual(list(self.forwarding.sent), ["i-1"])
        self.forwarding.is_due(other, 2 * forwarding.FORGET_MS)
        self.assertEqual(list(self.forwarding.sent), ["i-2"])


if __name__ == "__main__":
    unittest.main()
