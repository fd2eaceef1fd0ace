from __future__ import annotations

import unittest

import gevent
import gevent.event
import gevent.server
import gevent.socket

from knapweedbeam_core import effects, ids, reasons
from knapweedbeam_server.tasks import starter

WAIT_S = 10
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n42"


class RawEndpoint:
    """Answers each request with fixed bytes and counts the requests."""

    def __init__(self, reply: bytes, close: bool = True) -> None:
        self.reply = reply
        self.close = close
        self.requests = 0
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()

    @property
    def address(self) -> str:
        return f"http://127.0.0.1:{self.server.server_port}"

    def serve(self, sock: gevent.socket.socket, address: tuple[str, int]) -> None:
        while sock.recv(65536):
            self.requests += 1
            sock.sendall(self.reply)
            if self.close:
                return
        sock.close()


class StarterTest(unittest.TestCase):
    def post(
        self, endpoint: RawEndpoint, timeout_ms: int = 5_000
    ) -> effects.TaskResult:
        self.addCleanup(endpoint.server.stop, 0)
        return self.post_to(endpoint.address, timeout_ms)

    def post_to(self, address: str, timeout_ms: int = 5_000) -> effects.TaskResult:
        end_result = gevent.event.AsyncResult()
        tasks = starter.TaskStarter(end_result.set, "")
        task = ids.TaskId("t1", 3)
        tasks.start(effects.StartTask(task, "e1", address, b"{}", timeout_ms))
        end = end_result.get(timeout=WAIT_S)
        self.assertEqual((end.task, end.endpoint), (task, "e1"))
        result: effects.TaskResult = end.result
        return result

    def test_answer_is_the_body_of_the_reply(self) -> None:
        result = self.post(RawEndpoint(OK, close=False))
        self.assertEqual(result, effects.TaskAnswered(b"42"))

    def test_task_of_a_refused_connection_was_not_started(self) -> None:
        endpoint = RawEndpoint(OK)
        endpoint.server.stop(0)
        result = self.post_to(endpoint.address)
        self.assertIsInstance(result, effects.TaskNotStarted)

    def test_busy_reply_means_not_started_only_with_the_header(self) -> None:
        head = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
        with_header = self.post(RawEndpoint(head + b"Task-Started: no\r\n\r\n"))
        self.assertIsInstance(with_header, effects.TaskNotStarted)
        without_header = self.post(RawEndpoint(head + b"\r\n"))
        self.assertIsInstance(without_header, effects.TaskFailed)

    def test_request_is_not_repeated_after_a_close_without_reply(self) -> None:
        endpoint = RawEndpoint(b"")
        result = self.post(endpoint)
        self.assertIsInstance(result, effects.TaskFailed)
        gevent.sleep(0.1)
        self.assertEqual(endpoint.requests, 1)

    def test_incomplete_body_fails_the_task(self) -> None:
        incomplete = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n42"
        result = self.post(RawEndpoint(incomplete))
        self.assertEqual(result, effects.TaskFailed(reasons.Reason.ENDPOINT_LOST))

    def test_body_that_is_not_json_fails_the_task(self) -> None:
        invalid = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n4,"
        result = self.post(RawEndpoint(invalid))
        self.assertEqual(result, effects.TaskFailed(reasons.Reason.INVALID))

    def test_answer_for_another_task_fails_the_task(self) -> None:
        other = OK.replace(b"Content", b"Task: t1/4\r\nContent", 1)
        result = self.post(RawEndpoint(other))
        self.assertEqual(result, effects.TaskFailed(reasons.Reason.CONFLICT))

    def test_task_at_an_endpoint_that_never_answers_times_out(self) -> None:
        endpoint = RawEndpoint(b"", close=False)
        result = self.post(endpoint, timeout_ms=100)
        self.assertEqual(result, effects.TaskFailed(reasons.Reason.TASK_TIMEOUT))

    def test_surplus_answer_never_reaches_the_next_task(self) -> None:
        endpoint = RawEndpoint(OK + OK.replace(b"42", b"66"), close=False)
        self.addCleanup(endpoint.server.stop, 0)
        ends: list[effects.TaskEnd] = []
        tasks = starter.TaskStarter(ends.append, "")
        for index in range(3):
            task = ids.TaskId("t1", index)
            address = endpoint.address
            tasks.start(effects.StartTask(task, "e1", address, b"{}", 2_000))
            with gevent.Timeout(WAIT_S):
                while tasks.running:
                    gevent.sleep(0.01)
        answers = [end.result for end in ends]
        self.assertNotIn(effects.TaskAnswered(b"66"), answers)
