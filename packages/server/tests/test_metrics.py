from __future__ import annotations

import socket
import unittest

from knapweedbeam_server import metrics
from knapweedbeam_server.config import settings

TIMEOUT_S = 5.0


class MetricsTest(unittest.TestCase):
    def test_counts_are_summed_and_sent_with_the_prefix(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(TIMEOUT_S)
            address = settings.Address(*server.getsockname())
            found = metrics.Metrics(settings.Metrics(address, "kwb"))
            for _ in range(450):
                found.count(metrics.Counter.TASKS_STARTED)
            found.set_level(metrics.Gauge.PEERS_UP, 8)
            found.flush()
            lines = server.recv(1_500).decode().splitlines()
            self.assertEqual(
                ["kwb.tasks.started:450|c", "kwb.links.peers_up:8|g"], lines
            )
            found.flush()
            server.setblocking(False)
            with self.assertRaises(BlockingIOError):
                server.recv(1_500)

    def test_silent_without_a_server(self) -> None:
        found = metrics.Metrics(settings.Metrics(None, "kwb"))
        found.count(metrics.Counter.JOBS_TAKEN)
        found.flush()
        self.assertEqual({}, found.counts)


if __name__ == "__main__":
    unittest.main()
