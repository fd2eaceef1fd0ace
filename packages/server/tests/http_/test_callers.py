from __future__ import annotations

import dataclasses
import hashlib
import json
import typing
import unittest

import gevent
import gevent.socket
import geventhttpclient

from knapweedbeam_core import effects, jobs, outcomes, reasons, rules
from knapweedbeam_core.tickets import job_data
from knapweedbeam_server import waiters
from knapweedbeam_server.http import auth, callers, request_body, router, wsgi_server

TOKEN = "secret-of-one"
OTHER_TOKEN = "secret-of-two"
BOUNDS = callers.CallerBounds(tasks_per_job=3, tickets_per_call=10, wait_ms=5_000)
BODY = {"service": "quote", "tasks": [{"payload": {"n": 1}}]}


@dataclasses.dataclass
class FakeService:
    """Answers each submission with its payloads, refuses it or never answers."""

    job_waiters: waiters.JobWaiters
    rules: rules.Rules
    refusal: outcomes.Refusal | None = None
    never_answers: bool = False
    open_requests: int = 0
    stopping: bool = False

    def is_stopping(self) -> bool:
        return self.stopping

    def get_rules(self) -> rules.Rules:
        return self.rules

    def now_ms(self) -> int:
        return 0

    def mint(self, member: str, count: int) -> tuple[str, ...]:
        return tuple(f"{member}-{n}" for n in range(count))

    def submit(self, job: jobs.Job) -> outcomes.Refusal | None:
        if not self.never_answers and self.refusal is None:
            answers = tuple(task.payload for task in job.tasks)
            gevent.spawn_later(
                0.01,
                self.job_waiters.resolve,
                effects.Answer(job.ticket, outcomes.Complete(answers)),
            )
        return self.refusal

    def submit_new(self, job: jobs.Job, key: str) -> str:
        self.submit(dataclasses.replace(job, ticket="minted"))
        return "minted"

    def look_up(self, ticket: str, member: str) -> outcomes.Refusal | None:
        return self.refusal

    def cancel(self, ticket: str, member: str) -> outcomes.Refusal | None:
        answer = outcomes.NotRun(reasons.Reason.CANCELLED, 1_500)
        gevent.spawn_later(
            0.01, self.job_waiters.resolve, effects.Answer(ticket, answer)
        )
        return None


def digest(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()


def build_rules() -> rules.Rules:
    return rules.Rules(
        version=1,
        services={"quote": rules.ServiceRules("quote", deadline_ms=1_000)},
        bearers={
            digest(TOKEN): rules.Bearer(rules.Role.CALLER, "one"),
            digest(OTHER_TOKEN): rules.Bearer(rules.Role.OPERATOR),
        },
    )


class CallersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.service = FakeService(waiters.JobWaiters(), build_rules())
        authenticator = auth.Authenticator()
        authenticator.rules = self.service.rules
        app = router.Router(
            callers.CallerApi(self.service, BOUNDS).get_routes(),
            authenticator,
            request_body.BodyBounds(body_bytes=4_096, read_timeout_ms=200),
            self.service,
        )
        bounds = wsgi_server.ServerBounds(8, 2_048, 200)
        self.server = wsgi_server.build_server(("127.0.0.1", 0), app, bounds)
        self.server.start()
        self.addCleanup(self.server.stop, 1)
        port = self.server.server_port
        self.client = geventhttpclient.HTTPClient("127.0.0.1", port, concurrency=4)
        self.addCleanup(self.client.close)

    def call(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        token: str = TOKEN,
        raw: bytes | None = None,
    ) -> tuple[int, typing.Any]:
        data = json.dumps(body).encode() if body is not None else b""
        headers = {"Authorization": f"Bearer {token}"}
        payload = data if raw is None else raw
        response = self.client.request(method, path, payload, headers)
        return response.status_code, json.loads(response.read())

    def resolve(
        self, outcome: outcomes.Outcome | outcomes.Refusal, digest: bytes = b""
    ) -> None:
        answer = effects.Answer("t1", outcome, digest)
        self.service.job_waiters.resolve(answer)

    def test_all_answers_are_returned_in_task_order(self) -> None:
        tasks = [{"payload": {"n": n}} for n in range(3)]
        body = {"service": "quote", "tasks": tasks}
        status, content = self.call("PUT", "/v1/jobs/t1", body)
        self.assertEqual(status, 200)
        self.assertEqual(content["answers"], [{"n": 0}, {"n": 1}, {"n": 2}])

    def test_not_run_outcome_states_when_to_retry(self) -> None:
        status, content = self.call("DELETE", "/v1/jobs/t1")
        self.assertEqual((status, content["outcome"]), (503, "not_run"))
        self.assertEqual(content["retry_after_ms"], 1_500)

    def test_job_without_answer_in_time_is_pending(self) -> None:
        self.service.never_answers = True
        status, content = self.call("PUT", "/v1/jobs/t1?wait_ms=50", BODY)
        self.assertEqual((status, content["outcome"]), (202, "pending"))
        self.assertEqual(self.service.job_waiters.get_count(), 0)

    def test_immediate_refusal_reaches_only_its_own_call(self) -> None:
        self.service.never_answers = True
        first = gevent.spawn(self.call, "PUT", "/v1/jobs/t1", BODY)
        gevent.sleep(0.1)
        self.service.refusal = outcomes.Refusal(reasons.Reason.NOT_FOUND)
        self.assertEqual(self.call("GET", "/v1/jobs/t1")[0], 404)
        self.assertFalse(first.ready())
        self.resolve(outcomes.Complete((b"7",)))
        self.assertEqual(first.get(timeout=5)[1]["answers"], [7])

    def test_refusal_of_a_body_reaches_only_calls_that_sent_it(self) -> None:
        self.service.never_answers = True
        other = {"service": "quote", "tasks": [{"payload": 2}]}
        first = gevent.spawn(self.call, "PUT", "/v1/jobs/t1", BODY)
        lookup = gevent.spawn(self.call, "GET", "/v1/jobs/t1?wait_ms=5000")
        second = gevent.spawn(self.call, "PUT", "/v1/jobs/t1", other)
        gevent.sleep(0.1)
        job = jobs.Job("t1", "one", "quote", "", 0, (jobs.TaskSpec(b"2"),))
        refusal = outcomes.Refusal(reasons.Reason.CONFLICT)
        self.resolve(refusal, job_data.get_submission_digest(job))
        self.assertEqual(second.get(timeout=5)[0], 409)
        self.assertFalse(first.ready() or lookup.ready())
        self.resolve(outcomes.Complete((b"7",)))
        self.assertEqual(first.get(timeout=5)[1]["answers"], [7])
        self.assertEqual(lookup.get(timeout=5)[1]["answers"], [7])
        self.assertEqual(self.service.job_waiters.get_count(), 0)

    def test_answer_to_an_own_key_names_its_ticket(self) -> None:
        self.service.never_answers = True
        call = gevent.spawn(self.call, "POST", "/v1/jobs", BODY)
        gevent.sleep(0.1)
        done = outcomes.Complete((b"7",))
        self.service.job_waiters.resolve(
            effects.Answer("minted", done, key_ticket="t9")
        )
        self.assertEqual(call.get(timeout=5)[1]["ticket"], "t9")

    def test_invalid_bodies_are_refused_with_the_field(self) -> None:
        cases: list[tuple[bytes, str]] = [
            (b"{", "truncated"),
            (b'{"service": "quote"}', "tasks"),
            (b'{"service": "quote", "tasks": []}', "tasks"),
            (b'{"service": "quote", "tasks": [{"payload": 1}], "x": 1}', "x"),
            (b'{"service": "quote", "tasks": [{"payload": 1, "run_ms": -1}]}', "run"),
            (b"[" * 2_000, ""),
            (json.dumps(BODY | {"tasks": BODY["tasks"] * 4}).encode(), "at most 3"),
        ]
        for raw, expected_detail in cases:
            status, content = self.call("PUT", "/v1/jobs/t1", raw=raw)
            self.assertEqual((status, content["reason"]), (400, "invalid"), raw)
            self.assertIn(expected_detail, content["detail"])

    def test_unknown_service_and_large_body_are_refused(self) -> None:
        status, content = self.call("PUT", "/v1/jobs/t1", BODY | {"service": "z"})
        self.assertEqual((status, content["reason"]), (404, "unknown_service"))
        status, content = self.call("PUT", "/v1/jobs/t1", raw=b" " * 5_000)
        self.assertEqual((status, content["reason"]), (413, "too_large"))

    def test_token_is_accepted_only_on_routes_of_its_role(self) -> None:
        self.assertEqual(self.call("POST", "/v1/tickets", {}, "wrong")[0], 401)
        self.assertEqual(self.call("POST", "/v1/tickets", {}, OTHER_TOKEN)[0], 403)
        status, content = self.call("POST", "/v1/tickets", {"count": 2})
        self.assertEqual((status, content["tickets"]), (201, ["one-0", "one-1"]))

    def test_idle_connection_with_an_incomplete_head_is_closed(self) -> None:
        address = ("127.0.0.1", self.server.server_port)
        self.server.handler_class.idle_timeout_s = 0.2
        for head in (b"PUT /v1/jobs/t1 HTTP/1.1\r\nHost: x\r\n", b"PUT "):
            with gevent.socket.create_connection(address, 5) as sock:
                sock.sendall(head)
                received = b"-"
                with gevent.Timeout(10):
                    while received:
                        received = sock.recv(4_096)
        self.assertEqual(self.call("POST", "/v1/tickets", {})[0], 201)

    def test_slow_body_is_refused_after_the_timeout(self) -> None:
        address = ("127.0.0.1", self.server.server_port)
        head = f"PUT /v1/jobs/t1 HTTP/1.1\r\nAuthorization: Bearer {TOKEN}\r\n"
        with gevent.socket.create_connection(address, 5) as sock:
            sock.sendall(head.encode() + b"Content-Length: 100\r\n\r\n{")
            with gevent.Timeout(10):
                self.assertIn(b"408", sock.recv(4_096))

    def test_stopping_server_closes_the_connection_after_the_reply(self) -> None:
        self.service.stopping = True
        headers = {"Authorization": f"Bearer {TOKEN}"}
        response = self.client.request("POST", "/v1/tickets", b"{}", headers)
        response.read()
        self.assertEqual(response.get("connection"), "close")
