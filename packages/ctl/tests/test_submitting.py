from __future__ import annotations

import json
import typing
import unittest

import hypothesis
from hypothesis import strategies

from knapweedbeam_core import clock
from knapweedbeam_ctl import client, failures, submitting

BODY = b'{"service":"quotes","tasks":[{"payload":1}]}'
DEADLINE_MS = 3_000
CALL_MS = 50


def build_response(status: int, content: dict[str, object]) -> client.Response:
    return client.Response(status, json.dumps(content).encode())


REFUSED_CONNECTION = client.Lost("refused", may_have_arrived=False)
LOST = client.Lost("reset")
PENDING = build_response(202, {"outcome": "pending", "ticket": "t"})
NOT_READY = build_response(503, {"error": "refused", "reason": "not_ready"})
BALANCER = client.Response(502, b"<html>")
INVALID = build_response(400, {"error": "refused", "reason": "invalid"})
COMPLETE = build_response(200, {"outcome": "complete", "answers": [1]})
NOT_RUN = build_response(429, {"outcome": "not_run", "reason": "limit"})
MAY_BE_TAKEN = (LOST, PENDING)
AGAIN = (REFUSED_CONNECTION, LOST, PENDING, NOT_READY, BALANCER)
FINAL = (COMPLETE, NOT_RUN)
Step = client.Response | client.Lost


class FakeApi:
    def __init__(self, steps: list[Step], time: clock.ManualClock) -> None:
        self.servers = (client.Server("127.0.0.1", 1), client.Server("127.0.0.1", 2))
        self.steps = steps
        self.clock = time
        self.seen: list[tuple[str, str, bytes]] = []
        self.answered: list[Step] = []

    def call_one(
        self, server: client.Server, method: str, path: str, body: bytes
    ) -> Step:
        self.clock.advance(CALL_MS)
        self.seen.append((method, path, body))
        step = self.steps[min(len(self.answered), len(self.steps) - 1)]
        self.answered.append(step)
        return step


class SubmissionTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from([*AGAIN, INVALID, *FINAL]), min_size=1, max_size=9
        )
    )
    def test_every_history_ends_in_time_with_a_true_result(
        self, steps: list[Step]
    ) -> None:
        time = clock.ManualClock()
        api = FakeApi(steps, time)
        submission = submitting.Submission(
            typing.cast(client.Client, api), time, time.advance
        )
        result = submission.run("t", BODY, DEADLINE_MS)
        self.assertEqual(1, len(set(api.seen)), "each try is the same submission")
        allowed_ms = DEADLINE_MS + submitting.ANSWER_MARGIN_MS + CALL_MS
        self.assertLessEqual(time.now_ms(), allowed_ms)
        taken = any(step in MAY_BE_TAKEN for step in api.answered[:-1])
        last = api.answered[-1]
        if last in FINAL:
            self.assertIsInstance(result, submitting.Answered)
        elif taken or last in MAY_BE_TAKEN:
            self.assertEqual("t", typing.cast(submitting.Unknown, result).ticket)
        elif last == INVALID:
            self.assertIsInstance(result, failures.Refused)
        else:
            self.assertIsInstance(result, failures.Unreachable)

    def test_a_body_that_is_no_job_is_not_sent(self) -> None:
        for body in (b"", b"[]", b'{"service":1,"tasks":[]}', b"\xff", b"[" * 9_999):
            self.assertIsInstance(submitting.read_job(body), failures.BadFile)


if __name__ == "__main__":
    unittest.main()
