from __future__ import annotations

import unittest

from knapweedbeam_core import clock, effects
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import messages, relay

TERMS = manifest.Terms("q", "s", 0, 3, 1.6, 60)
SUBMIT = messages.Submit("j", TERMS, "", (), 5, 3_000, 0)


class RelayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = clock.ManualClock(0)
        self.relay = relay.Relay(self.clock)

    def test_job_is_forwarded_and_outcome_returned_once(self) -> None:
        (sent,) = self.relay.forward("e1", "c1", SUBMIT)
        self.assertEqual(sent.to, "c1")
        complete = messages.JobComplete("j")
        self.assertEqual(
            self.relay.return_outcome(complete), [effects.Send("e1", complete)]
        )
        self.assertEqual(self.relay.return_outcome(complete), [])

    def test_forwarded_job_has_nonzero_attempt_base(self) -> None:
        (sent,) = self.relay.forward("e1", "c1", SUBMIT)
        assert isinstance(sent.message, messages.Submit)
        self.assertGreater(sent.message.attempt_base, 0)

    def test_withdrawal_is_forwarded_once(self) -> None:
        self.relay.forward("e1", "c1", SUBMIT)
        self.relay.forward("e1", "c2", SUBMIT)
        withdraw = messages.Withdraw("j")
        sent = self.relay.withdraw(withdraw)
        self.assertEqual(sent, [effects.Send("c2", withdraw)])
        self.assertEqual(self.relay.withdraw(withdraw), [])

    def test_job_without_outcome_is_removed_after_retention(self) -> None:
        self.relay.forward("e1", "c1", SUBMIT)
        self.clock.advance(relay.RETENTION_MS + 1)
        self.relay.forget_old()
        self.assertEqual(self.relay.jobs, {})


if __name__ == "__main__":
    unittest.main()
