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
            own_metrics = metrics.Metrics(settings.Metrics(address, "kwb"))
            for _ in range(450):
                own_metrics.count(metrics.Counter.TASKS_STARTED)
            own_metrics.set_gauge(metrics.Gauge.PEERS_UP, 8)
            own_metrics.flush()
            lines = server.recv(1_500).decode().splitlines()
            self.assertEqual(
                ["kwb.tasks.started:450|c", "kwb.links.peers_up:8|g"], lines
            )
            own_metrics.flush()
            server.setblocking(False)
            with self.assertRaises(BlockingIOError):
                server.recv(1_500)

    def test_nothing_is_sent_without_a_server(self) -> None:
        own_metrics = metrics.Metrics(settings.Metrics(None, "kwb"))
        own_metrics.count(metrics.Counter.JOBS_TAKEN)
        own_metrics.flush()
        self.assertEqual({}, own_metrics.counts)


if __name__ == "__main__":
    unittest.main()
