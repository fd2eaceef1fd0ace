from __future__ import annotations

import random
import unittest

from knapweedbeam_core import clock, effects, ids, jobs, outcomes, reasons
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import coordinator

KEY = b"k" * 32


class CoordinatorTest(unittest.TestCase):
    def setUp(self) -> None:
        time = clock.ManualClock(1_000, 10**12)
        self.ids = {name: ids.ProcessId(name, 7) for name in "abc"}
        self.parts = {
            name: coordinator.Coordinator(
                me,
                "latacunga",
                tuple(parts.Peer(peer, "latacunga") for peer in "abc" if peer != name),
                KEY,
                time,
                random.Random(1),
            )
            for name, me in self.ids.items()
        }
        for part in self.parts.values():
            part.on_live(frozenset(self.ids.values()))
        self.answers: list[tuple[str, outcomes.Outcome | outcomes.Refusal]] = []
        self.sent: list[type] = []

    def run_all(self, at: str, waiting: parts.Effects) -> None:
        part = self.parts[at]
        for effect in waiting:
            match effect:
                case effects.Send(to, message):
                    self.sent.append(type(message))
                    sender = self.ids[at]
                    self.run_all(to, self.parts[to].on_message(sender, message))
                case effects.Enqueue(job):
                    self.run_all(at, part.begin(job.ticket))
                case effects.JobBegun(text):
                    complete = outcomes.Complete((b"1",))
                    self.run_all(at, part.settle(text, complete))
                case effects.Answer(_, outcome):
                    self.answers.append((at, outcome))

    def build_job(self, ticket: str, payload: bytes = b"{}") -> jobs.Job:
        return jobs.Job(ticket, "m", "s", "c", 9_000, (jobs.TaskSpec(payload),))

    def test_job_runs_once_wherever_it_is_submitted(self) -> None:
        minted = self.parts["a"].mint("m", 1)
        assert isinstance(minted, tuple)
        job = self.build_job(minted[0])
        for at in "acb":
            self.run_all(at, self.parts[at].submit(job))
        complete = outcomes.Complete((b"1",))
        self.assertEqual(self.answers, [(at, complete) for at in "acb"])
        self.assertEqual(len(self.sent), 4 + 2 + 2)

    def test_other_body_is_a_conflict_and_changes_nothing(self) -> None:
        minted = self.parts["a"].mint("m", 1)
        assert isinstance(minted, tuple)
        first = self.build_job(minted[0])
        self.run_all("a", self.parts["a"].submit(first))
        self.run_all("c", self.parts["c"].submit(self.build_job(minted[0], b"[]")))
        self.run_all("c", self.parts["c"].submit(first))
        conflict = outcomes.Refusal(reasons.Reason.CONFLICT, "body")
        complete = outcomes.Complete((b"1",))
        self.assertEqual(
            self.answers, [("a", complete), ("c", conflict), ("c", complete)]
        )

    def test_ticket_of_another_member_looks_like_none(self) -> None:
        minted = self.parts["a"].mint("m", 1)
        assert isinstance(minted, tuple)
        for text in (minted[0], "nonsense", "", "\u00e9", minted[0] + "="):
            for call in (self.parts["b"].look_up, self.parts["b"].cancel):
                self.run_all("b", call(text, "other"))
        unknown = outcomes.Refusal(reasons.Reason.NOT_FOUND, "ticket")
        self.assertEqual(self.answers, [("b", unknown)] * 10)
