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
    """Sends fixed bytes to each request and counts the requests it saw."""

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
        ended = gevent.event.AsyncResult()
        tasks = starter.TaskStarter(ended.set, "")
        task = ids.TaskId("t1", 3)
        tasks.start(effects.StartTask(task, "e1", address, b"{}", timeout_ms))
        end = ended.get(timeout=WAIT_S)
        self.assertEqual((end.task, end.endpoint), (task, "e1"))
        result: effects.TaskResult = end.result
        return result

    def test_answer(self) -> None:
        result = self.post(RawEndpoint(OK, close=False))
        self.assertEqual(result, effects.TaskAnswered(b"42"))

    def test_refused_connection_was_not_started(self) -> None:
        endpoint = RawEndpoint(OK)
        endpoint.server.stop(0)
        result = self.post_to(endpoint.address)
        self.assertIsInstance(result, effects.TaskNotStarted)

    def test_not_started_needs_the_endpoints_own_word(self) -> None:
        head = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
        said = self.post(RawEndpoint(head + b"Task-Started: no\r\n\r\n"))
        self.assertIsInstance(said, effects.TaskNotStarted)
        unsaid = self.post(RawEndpoint(head + b"\r\n"))
        self.assertIsInstance(unsaid, effects.TaskFailed)

    def test_close_after_the_request_is_never_sent_again(self) -> None:
        endpoint = RawEndpoint(b"")
        result = self.post(endpoint)
        self.assertIsInstance(result, effects.TaskFailed)
        gevent.sleep(0.1)
        self.assertEqual(endpoint.requests, 1)

    def test_half_a_body_is_no_answer(self) -> None:
        half = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n42"
        result = self.post(RawEndpoint(half))
        self.assertEqual(result, effects.TaskFailed(reasons.Reason.ENDPOINT_LOST))

    def test_body_that_is_no_json_is_no_answer(self) -> None:
        bad = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n4,"
        result = self.post(RawEndpoint(bad))
        self.assertEqual(result, effects.TaskFailed(reasons.Reason.INVALID))

    def test_answer_for_another_task_is_refused(self) -> None:
        other = OK.replace(b"Content", b"Task: t1/4\r\nContent", 1)
        result = self.post(RawEndpoint(other))
        self.assertEqual(result, effects.TaskFailed(reasons.Reason.CONFLICT))

    def test_endpoint_that_never_answers_times_out(self) -> None:
        endpoint = RawEndpoint(b"", close=False)
        result = self.post(endpoint, timeout_ms=100)
        self.assertEqual(result, effects.TaskFailed(reasons.Reason.TASK_TIMEOUT))

    def test_second_answer_never_reaches_the_next_task(self) -> None:
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
