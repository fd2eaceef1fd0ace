from __future__ import annotations

import unittest

import gevent

from knapweedbeam_server.fleet import supervising


class SupervisorTest(unittest.TestCase):
    def test_loop_that_raises_sets_failed(self) -> None:
        def loop() -> None:
            gevent.sleep(0)
            raise ValueError("unforeseen")

        supervisor = supervising.Supervisor()
        supervisor.spawn("loop", loop)
        self.assertTrue(supervisor.failed.wait(5))

    def test_loop_that_returns_does_not_set_failed(self) -> None:
        supervisor = supervising.Supervisor()
        supervisor.spawn("loop", lambda: gevent.sleep(0))
        gevent.sleep(0.01)
        self.assertFalse(supervisor.failed.is_set())


if __name__ == "__main__":
    unittest.main()
