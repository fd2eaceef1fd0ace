from __future__ import annotations

import random
import unittest
import unittest.mock

import gevent

from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import attempt_tracker, calls, clocks, dispatcher, messages
from knapweedbeam_server import system_clock
from knapweedbeam_server.fleet import manifest_manager, node, settings

NAME = "127.0.0.1:7000"
FENCE = 1 << 20
TERMS = manifest.Terms("q", "s1", 0, 2, 1.6, 60, 0)
STEP = messages.SubmittedStep(1, 1_000, 64, 0, 60, (), "", "", 0)
SUBMIT = messages.Submit("0" * 16, TERMS, "spec", (STEP,), 0, 5_000, 0)


class FailingClient:
    """An endpoint client whose first call of each kind raises."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def fail_first(self, kind: str) -> None:
        self.calls.append(kind)
        if self.calls.count(kind) == 1:
            raise TypeError("unforeseen")

    def record_tick(self) -> None:
        pass

    def start(self, call: calls.Start) -> calls.Answer:
        self.fail_first("start")
        return calls.Answer(calls.Verdict.ACCEPTED)

    def stop(self, call: calls.Stop) -> calls.Answer:
        self.fail_first("stop")
        return calls.Answer(calls.Verdict.ACCEPTED)

    def hold(self, call: calls.Hold) -> calls.HoldResult | calls.HoldFailed:
        gevent.sleep(0.01)
        self.fail_first("hold")
        reading = clocks.Reading(1, 1, 1)
        return calls.HoldResult(call.target.born_ms, reading, (), ())

    def request_advice(self, call: calls.RequestAdvice) -> calls.Advice | None:
        return None

    def close_connections(self, address: str) -> None:
        """Close nothing."""


def refuse_manifest(body: bytes) -> manifest.InvalidManifest:
    return manifest.InvalidManifest("none is used here")


class EndpointCallsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.client = FailingClient()
        decoder: manifest_manager.Decoder = refuse_manifest
        self.node = node.Node(
            settings.FleetSettings(
                NAME,
                True,
                "d1",
                "127.0.0.1:8166",
                (NAME,),
                None,
                True,
                b"k" * 32,
                attempt_tracker.ProtocolBounds(1_000, 50, 1_500),
            ),
            self.client,
            decoder,
            system_clock.SystemClock(),
            random.Random(1),
        )
        self.dispatcher: dispatcher.Dispatcher = self.node.shards.dispatchers[0]

    def begin(self) -> None:
        """Dispatch with one known endpoint."""
        announcement = messages.EndpointNews(
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
        self.node.run(self.dispatcher.on_announcement(announcement))
        self.node.run(self.dispatcher.set_fence(FENCE))
        self.addCleanup(self.dispatcher.set_fence, 0)

    def wait_for_calls(self, kind: str, count: int) -> None:
        with gevent.Timeout(5, AssertionError(f"fewer than {count} calls: {kind}")):
            while self.client.calls.count(kind) < count:
                gevent.sleep(0.01)

    def test_endpoint_is_polled_again_after_an_unexpected_error(self) -> None:
        self.begin()
        self.wait_for_calls("hold", 3)

    def test_endpoint_is_polled_again_after_an_error_in_a_decision(self) -> None:
        self.begin()
        tracker = self.dispatcher.tracker
        with unittest.mock.patch.object(tracker, "on_hold_result") as on_hold_result:
            on_hold_result.side_effect = KeyError("unforeseen")
            self.wait_for_calls("hold", 2)
        self.wait_for_calls("hold", 5)
        self.assertTrue(self.dispatcher.endpoints["i-1"].is_held)

    def test_start_that_raised_counts_as_unanswered(self) -> None:
        self.begin()
        self.wait_for_calls("hold", 2)
        with unittest.mock.patch.object(
            self.dispatcher, "on_start_answer", return_value=[]
        ) as on_start_answer:
            self.node.run(self.dispatcher.on_submit("127.0.0.1:7001", SUBMIT))
            self.wait_for_calls("start", 1)
            gevent.sleep(0.02)
        answer = on_start_answer.call_args.args[1]
        self.assertEqual(answer.verdict, calls.Verdict.UNKNOWN)

    def test_tasks_are_placed_again_after_an_unexpected_error(self) -> None:
        self.begin()
        self.wait_for_calls("hold", 2)
        starter = self.dispatcher.task_starter
        with unittest.mock.patch.object(starter, "place") as place:
            place.side_effect = KeyError("unforeseen")
            self.node.run(self.dispatcher.on_submit("127.0.0.1:7001", SUBMIT))
            gevent.sleep(0.05)
            place.assert_called()
        self.node.run([])
        self.wait_for_calls("start", 1)


if __name__ == "__main__":
    unittest.main()
