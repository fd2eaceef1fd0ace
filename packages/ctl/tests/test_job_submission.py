from __future__ import annotations

import json
import typing
import unittest

import hypothesis
from hypothesis import strategies

from knapweedbeam_core import clock
from knapweedbeam_ctl import client, failures, job_submission

BODY = b'{"service":"quotes","tasks":[{"payload":1}]}'
DEADLINE_MS = 3_000
CALL_MS = 50


def build_response(status: int, content: dict[str, object]) -> client.Response:
    return client.Response(status, json.dumps(content).encode())


REFUSED_CONNECTION = client.FailedCall("refused", may_have_arrived=False)
CONNECTION_LOST = client.FailedCall("reset")
PENDING = build_response(202, {"outcome": "pending", "ticket": "t"})
NOT_READY = build_response(503, {"error": "refused", "reason": "not_ready"})
LOAD_BALANCER_ERROR = client.Response(502, b"<html>")
INVALID = build_response(400, {"error": "refused", "reason": "invalid"})
COMPLETE = build_response(200, {"outcome": "complete", "answers": [1]})
NOT_RUN = build_response(429, {"outcome": "not_run", "reason": "limit"})
MAY_BE_ACCEPTED = (CONNECTION_LOST, PENDING)
RETRIED = (REFUSED_CONNECTION, CONNECTION_LOST, PENDING, NOT_READY, LOAD_BALANCER_ERROR)
FINAL = (COMPLETE, NOT_RUN)
Reply = client.Response | client.FailedCall


class FakeApi:
    def __init__(self, script: list[Reply], time: clock.ManualClock) -> None:
        self.servers = (client.Server("127.0.0.1", 1), client.Server("127.0.0.1", 2))
        self.script = script
        self.clock = time
        self.requests: list[tuple[str, str, bytes]] = []
        self.sent_replies: list[Reply] = []

    def call_one(
        self, server: client.Server, method: str, path: str, body: bytes
    ) -> Reply:
        self.clock.advance(CALL_MS)
        self.requests.append((method, path, body))
        reply = self.script[min(len(self.sent_replies), len(self.script) - 1)]
        self.sent_replies.append(reply)
        return reply


class SubmissionTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from([*RETRIED, INVALID, *FINAL]), min_size=1, max_size=9
        )
    )
    def test_any_sequence_of_responses_ends_in_time_with_the_right_result(
        self, script: list[Reply]
    ) -> None:
        time = clock.ManualClock()
        api = FakeApi(script, time)
        submission = job_submission.Submission(
            typing.cast(client.Client, api), time, time.advance
        )
        result = submission.run("t", BODY, DEADLINE_MS)
        self.assertEqual(
            1, len(set(api.requests)), "each attempt sends the same request"
        )
        allowed_ms = DEADLINE_MS + job_submission.ANSWER_MARGIN_MS + CALL_MS
        self.assertLessEqual(time.now_ms(), allowed_ms)
        may_be_accepted = any(
            reply in MAY_BE_ACCEPTED for reply in api.sent_replies[:-1]
        )
        last = api.sent_replies[-1]
        if last in FINAL:
            self.assertIsInstance(result, job_submission.FinalAnswer)
        elif may_be_accepted or last in MAY_BE_ACCEPTED:
            self.assertEqual(
                "t", typing.cast(job_submission.UnknownOutcome, result).ticket
            )
        elif last == INVALID:
            self.assertIsInstance(result, failures.Refused)
        else:
            self.assertIsInstance(result, failures.Unreachable)

    def test_a_body_that_is_not_a_job_is_rejected(self) -> None:
        for body in (b"", b"[]", b'{"service":1,"tasks":[]}', b"\xff", b"[" * 9_999):
            self.assertIsInstance(job_submission.parse_job(body), failures.BadFile)


if __name__ == "__main__":
    unittest.main()
