from __future__ import annotations

import time
import unittest

import gevent
import gevent.socket

from knapweedbeam_server import event_loop

READERS = 20
READ_S = 0.0005
WAKE_UPS = 100
WAKE_UP_S = 0.0005


def burn(seconds: float) -> None:
    """Use the processor for some time."""
    end = time.perf_counter() + seconds
    while time.perf_counter() < end:
        pass


class BusyReaders:
    """Greenlets that read sockets which always have more to read."""

    def __init__(self) -> None:
        self.pairs = [gevent.socket.socketpair() for _ in range(READERS)]
        self.reads = 0
        self.greenlets = [gevent.spawn(self.read, pair) for pair in self.pairs]

    def read(self, pair: tuple[gevent.socket.socket, gevent.socket.socket]) -> None:
        """Read one byte at a time, each of which makes the next one ready."""
        first, second = pair
        first.send(b"x")
        while True:
            gevent.socket.wait_read(second.fileno())
            second.recv(1)
            self.reads += 1
            burn(READ_S)
            first.send(b"x")

    def stop(self) -> None:
        """End the greenlets and close the sockets."""
        gevent.killall(self.greenlets)
        for pair in self.pairs:
            for sock in pair:
                sock.close()


class EventLoopTest(unittest.TestCase):
    def setUp(self) -> None:
        self.addCleanup(gevent.setswitchinterval, gevent.getswitchinterval())

    def count_reads_before_wake_ups(self) -> int:
        """Return how many reads take place until all woken greenlets have run."""
        readers = BusyReaders()
        gevent.sleep(0.05)
        woken = [gevent.spawn(burn, WAKE_UP_S) for _ in range(WAKE_UPS)]
        begin = readers.reads
        gevent.joinall(woken)
        count = readers.reads - begin
        readers.stop()
        return count

    def test_woken_greenlets_run_before_busy_sockets_are_read_again(self) -> None:
        event_loop.set_up()
        self.assertLessEqual(self.count_reads_before_wake_ups(), 2 * READERS)


if __name__ == "__main__":
    unittest.main()
