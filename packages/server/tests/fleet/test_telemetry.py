from __future__ import annotations

import unittest

from knapweedbeam_core.pool import log_events
from knapweedbeam_server.fleet import telemetry


class RunEventsTest(unittest.TestCase):
    def test_stops_are_counted_by_reason_and_claims_in_all(self) -> None:
        metrics = telemetry.Telemetry()
        for reason in ("unclaimed", "unclaimed", "overdue"):
            metrics.count_run_event(
                log_events.AttemptStopped("j.0.0.0", 1, "e0", reason, 7)
            )
        metrics.count_run_event(
            log_events.AttemptClaimed("j.0.0.0", 1, "e0", 0, "none", 7)
        )
        metrics.count_run_event(log_events.JobWithdrawn("j"))
        text = metrics.render().decode()
        self.assertIn('knapweedbeam_stops_total{reason="unclaimed"} 2.0', text)
        self.assertIn('knapweedbeam_stops_total{reason="overdue"} 1.0', text)
        self.assertIn("knapweedbeam_claims_total 1.0", text)


if __name__ == "__main__":
    unittest.main()
