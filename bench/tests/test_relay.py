from __future__ import annotations

import unittest

import gevent
import gevent.server

from bench import relay

TIMEOUT_S = 5.0


class RelaysTest(unittest.TestCase):
    def setUp(self) -> None:
        self.target = gevent.server.StreamServer(("127.77.2.1", 0), self.echo)
        self.target.start()
        self.addCleanup(self.target.stop)
        address = f"127.77.2.1:{self.target.server_port}"
        specs = tuple(
            relay.RelaySpec("127.77.2.2:0", address, source, target)
            for source, target in (("a", "b"), ("b", "c"))
        )
        self.relays = relay.Relays(relay.RelaysSpec("127.77.2.3:0", specs, 10.0))
        self.relays.start()
        self.addCleanup(self.relays.server.stop, 0.1)
        for each in self.relays.relays:
            self.addCleanup(each.server.stop, 0.1)

    def echo(self, connection: gevent.socket.socket, _address: object) -> None:
        while data := connection.recv(100):
            connection.sendall(data)

    def connect(self, index: int) -> gevent.socket.socket:
        port = self.relays.relays[index].server.server_port
        connection = gevent.socket.create_connection(("127.77.2.2", port), TIMEOUT_S)
        self.addCleanup(connection.close)
        return connection

    def test_bytes_and_the_end_of_a_connection_are_forwarded(self) -> None:
        connection = self.connect(0)
        connection.sendall(b"one")
        self.assertEqual(connection.recv(3), b"one")
        connection.shutdown(gevent.socket.SHUT_WR)
        self.assertEqual(connection.recv(1), b"")

    def test_a_cut_domain_holds_back_only_bytes_that_cross_it(self) -> None:
        crossing, other = self.connect(0), self.connect(1)
        for each in self.relays.get_crossing_relays("a"):
            each.open.clear()
        crossing.sendall(b"held")
        other.sendall(b"passes")
        self.assertEqual(other.recv(6), b"passes")
        crossing.settimeout(0.05)
        with self.assertRaises(TimeoutError):
            crossing.recv(4)
        for each in self.relays.get_crossing_relays("a"):
            each.open.set()
        crossing.settimeout(TIMEOUT_S)
        self.assertEqual(crossing.recv(4), b"held")
