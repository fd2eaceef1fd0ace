from __future__ import annotations

import unittest

from knapweedbeam_core.pool import calls, contact


class ContactTest(unittest.TestCase):
    def record(self, *verdicts: calls.Verdict) -> contact.ContactState:
        found = contact.Contact()
        for verdict in verdicts:
            found.record_failure(verdict, 5)
        return found.state

    def test_process_that_ended_closes_connections_and_refuses_new_ones(self) -> None:
        state = self.record(calls.Verdict.CLOSED, calls.Verdict.REFUSED)
        self.assertEqual(state, contact.ContactState.ENDED)

    def test_partition_leaves_calls_silent(self) -> None:
        state = self.record(calls.Verdict.UNKNOWN, calls.Verdict.UNREACHABLE)
        self.assertEqual(state, contact.ContactState.SILENT)

    def test_reset_connection_alone_is_not_an_end(self) -> None:
        self.assertEqual(self.record(calls.Verdict.CLOSED), contact.ContactState.CLOSED)

    def test_answer_forgets_earlier_failures(self) -> None:
        found = contact.Contact()
        found.record_failure(calls.Verdict.CLOSED, 5)
        found.record_answer()
        found.record_failure(calls.Verdict.REFUSED, 5)
        self.assertEqual(found.state, contact.ContactState.REFUSED)
