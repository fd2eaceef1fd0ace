from __future__ import annotations

import unittest

import gevent
import gevent.server
import gevent.socket

from knapweedbeam_server.tasks import http_exchange

OK = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
MAX_BYTES = 1_000
LATE_S = 0.05


class Endpoint:
    """Answers each request with its body, but closes some connections instead.

    `closed_requests` are the bodies of requests that it reads and leaves unanswered,
    `late_requests` those that it answers only after `LATE_S`.
    """

    def __init__(self) -> None:
        self.closed_requests: set[bytes] = set()
        self.late_requests: set[bytes] = set()
        self.received: list[bytes] = []
        self.sockets: list[gevent.socket.socket] = []
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()

    def serve(self, sock: gevent.socket.socket, _: object) -> None:
        self.sockets.append(sock)
        try:
            while data := sock.recv(65_536):
                body = data.rpartition(b"\r\n\r\n")[2]
                self.received.append(body)
                if body in self.closed_requests:
                    return
                if body in self.late_requests:
                    gevent.sleep(LATE_S)
                sock.sendall(OK % (len(body), body))
        except OSError:
            pass
        finally:
            sock.close()


class PostTest(unittest.TestCase):
    """A request reaches the endpoint once, whatever becomes of its connection."""

    def setUp(self) -> None:
        self.endpoint = Endpoint()
        self.addCleanup(self.endpoint.server.stop, 0)
        port = self.endpoint.server.server_port
        self.target = http_exchange.build_target(f"http://127.0.0.1:{port}")
        self.assertEqual(self.post(b"first"), b"first")

    def post(self, body: bytes) -> bytes:
        return http_exchange.post(self.target, "/", body, MAX_BYTES).body

    def test_connection_that_was_closed_while_idle_is_not_used(self) -> None:
        self.endpoint.sockets[0].shutdown(gevent.socket.SHUT_RDWR)
        gevent.sleep(0.01)
        self.assertEqual(self.post(b"second"), b"second")
        self.assertEqual(self.endpoint.received, [b"first", b"second"])

    def test_request_on_a_kept_connection_that_closes_is_not_sent_again(self) -> None:
        self.endpoint.closed_requests.add(b"second")
        with self.assertRaises(http_exchange.ConnectionClosedError):
            self.post(b"second")
        gevent.sleep(LATE_S)
        self.assertEqual(self.endpoint.received, [b"first", b"second"])
        self.assertEqual(len(self.endpoint.sockets), 1)

    def test_connection_that_closes_unnoticed_fails_the_request(self) -> None:
        """Its end arrives after the check of the idle connection."""
        sock = self.target.pool.get_socket()
        self.target.pool.return_socket(sock)
        sock.shutdown(gevent.socket.SHUT_WR)
        with self.assertRaises(http_exchange.ConnectionClosedError):
            self.post(b"second")
        gevent.sleep(LATE_S)
        self.assertEqual(self.endpoint.received, [b"first"])

    def test_late_answer_is_not_taken_for_that_of_the_next_request(self) -> None:
        self.endpoint.late_requests.add(b"second")
        with self.assertRaises(gevent.Timeout), gevent.Timeout(LATE_S / 5):
            self.post(b"second")
        self.assertEqual(self.post(b"third"), b"third")
        gevent.sleep(2 * LATE_S)
        self.assertEqual(self.post(b"fourth"), b"fourth")
        expected = [b"first", b"second", b"third", b"fourth"]
        self.assertEqual(self.endpoint.received, expected)


if __name__ == "__main__":
    unittest.main()
