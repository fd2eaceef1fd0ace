from __future__ import annotations

import typing
import unittest

import gevent
from gevent import socket

from bench import calls, deployment, endpoint, faults
from knapweedbeam_core import ids
from knapweedbeam_server import history, system_clock

TIMEOUT_S = 5.0
TASK = "/tasks/t/3"
BODY = b'{"work_ms": 40, "echo": 7}'


class ListHistory:
    def __init__(self) -> None:
        self.events: list[typing.Any] = []

    def write(self, event: typing.Any) -> None:
        self.events.append(event)

    def flush(self) -> None:
        pass

    def close(self) -> None:
        pass

    def get_kinds(self) -> list[str]:
        return [history.get_kind(type(event)) for event in self.events]


class FakeEndpointTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = ListHistory()
        spec = deployment.EndpointSpec(
            "e1", "s", "d", "w", "127.77.1.1", speed=4.0, slots=2, port=0
        )
        clock = system_clock.SystemClock()
        self.fake = endpoint.FakeEndpoint(spec, self.history, clock, 1)
        self.fake.start()
        self.addCleanup(self.fake.stop)
        address = self.fake.address.removeprefix("http://")
        self.caller = calls.Caller(address, "", TIMEOUT_S, connections=8)
        self.addCleanup(self.caller.close)

    def post(self, path: str = TASK) -> calls.Reply | calls.CallFailure:
        return self.caller.call("POST", path, BODY)

    def test_a_task_is_answered_and_recorded(self) -> None:
        answer = self.post()
        assert isinstance(answer, calls.Reply)
        self.assertEqual(answer.get_json(), {"echo": 7, "ticket": "t", "index": 3})
        self.assertEqual(self.history.get_kinds(), ["started", "task_answered"])
        self.assertGreaterEqual(self.history.events[1].run_ms, 9)

    def test_answers_are_sent_without_waiting_for_acknowledgements(self) -> None:
        values = []
        serve = self.fake.serve

        def record_no_delay(
            environ: dict[str, typing.Any], start: typing.Any
        ) -> list[bytes]:
            connection = environ[endpoint.SOCKET_KEY]
            values.append(connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
            return serve(environ, start)

        self.fake.server.application = record_no_delay
        self.post()
        self.assertEqual([bool(value) for value in values], [True])

    def test_tasks_over_the_slots_are_started_and_recorded(self) -> None:
        posts = [gevent.spawn(self.post, f"/tasks/t/{n}") for n in range(3)]
        gevent.joinall(posts)
        self.assertEqual(self.history.get_kinds().count("over_slots"), 1)
        self.assertEqual(self.history.get_kinds().count("started"), 3)

    def test_a_refused_task_is_not_started(self) -> None:
        self.fake.fault = faults.Fault.REFUSE
        answer = self.post()
        assert isinstance(answer, calls.Reply)
        self.assertEqual((answer.status, self.history.events), (503, []))

    def test_a_failing_endpoint_fails_at_once(self) -> None:
        self.fake.fault = faults.Fault.FAIL
        answer = self.post()
        assert isinstance(answer, calls.Reply)
        self.assertEqual(answer.status, 500)
        self.assertEqual(self.history.get_kinds(), ["started", "task_answered"])

    def test_truncated_answers_are_lost_for_the_caller(self) -> None:
        for fault in (faults.Fault.HALF, faults.Fault.CLOSE):
            with self.subTest(fault):
                self.fake.fault = fault
                answer = self.post()
                assert isinstance(answer, calls.CallFailure)
                self.assertEqual(answer.kind, calls.FailureKind.BROKEN)

    def test_a_second_answer_is_sent_on_the_same_connection(self) -> None:
        self.fake.fault = faults.Fault.TWICE
        with gevent.socket.create_connection(
            (self.fake.spec.host, self.fake.server.server_port), TIMEOUT_S
        ) as connection:
            head = f"POST {TASK} HTTP/1.1\r\nHost: e\r\nContent-Length: {len(BODY)}"
            connection.sendall(f"{head}\r\n\r\n".encode() + BODY)
            received = b""
            while received.count(b"HTTP/1.1 200") < 2:
                received += connection.recv(65_536)
        self.assertEqual(self.history.get_kinds().count("started"), 1)

    def test_an_answer_for_another_task_names_that_task(self) -> None:
        self.fake.fault = faults.Fault.OTHER_TASK
        answer = self.post()
        assert isinstance(answer, calls.Reply)
        self.assertEqual(answer.get_json()["index"], 4)

    def test_an_unresponsive_endpoint_answers_when_its_task_is_stopped(self) -> None:
        self.fake.fault = faults.Fault.SILENT
        posting = gevent.spawn(self.post)
        while not self.fake.running:
            gevent.sleep(0.001)
        self.assertTrue(self.fake.stop_task(ids.TaskId("t", 3)))
        answer = posting.get(timeout=TIMEOUT_S)
        self.assertEqual(answer.status, endpoint.STOPPED_STATUS)
        self.assertFalse(self.fake.stop_task(ids.TaskId("t", 3)))
