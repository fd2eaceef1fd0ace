from __future__ import annotations

import dataclasses
import typing
import unittest

from bench import events
from bench.check import breaches, reader, report
from knapweedbeam_server import history

Promise = breaches.Promise
Role = history.Role
ENTRY, ENDPOINT, CLIENT, BENCH = Role.ENTRY, Role.ENDPOINT, Role.CLIENT, Role.BENCH
COMPLETE, NOT_RUN = history.OutcomeKind.COMPLETE, history.OutcomeKind.NOT_RUN
FAILED = history.OutcomeKind.FAILED
SINGLE_OF_REPEATABLE = history.Submitted("r", "m", "s", "c", 1, repeatable=True)


def record(
    at_ms: int, role: history.Role, process: str, event: typing.Any
) -> reader.Record[typing.Any]:
    return reader.Record(process, 1, role, at_ms, event)


def submit(
    at_ms: int, ticket: str, tasks: int, member: str = "m"
) -> reader.Record[typing.Any]:
    event = history.Submitted(ticket, member, "s", "c", tasks, to="a1")
    return record(at_ms, CLIENT, "client", event)


def start(
    at_ms: int, ticket: str, index: int, endpoint: str = "e1"
) -> reader.Record[typing.Any]:
    return record(at_ms, ENDPOINT, endpoint, history.Started(ticket, index, endpoint))


def answer(
    at_ms: int, ticket: str, outcome: history.OutcomeKind, **fields: typing.Any
) -> reader.Record[typing.Any]:
    event = history.Answered(ticket, outcome, **fields)
    return record(at_ms, CLIENT, "client", event)


def build_valid_run() -> list[reader.Record[typing.Any]]:
    """Return a run with many kinds of events in which every promise is kept."""
    return [
        record(0, ENTRY, "a1", history.Ready()),
        record(0, ENTRY, "a2", history.Ready()),
        record(5, ENTRY, "a1", history.Accepted(1, "x")),
        record(6, ENTRY, "a1", history.InForce(1, "x")),
        record(900, ENTRY, "a2", history.InForce(1, "x")),
        record(7, BENCH, "bench", events.LimitDeclared("n", "starts", 1, 1_000)),
        submit(8, "n1", 1, "n"),
        start(9, "n1", 0),
        submit(10, "t", 2),
        submit(11, "t", 2),
        start(20, "t", 0),
        start(21, "t", 1, "e2"),
        answer(40, "t", COMPLETE, answers=2),
        answer(41, "t", COMPLETE, answers=2),
        submit(50, "u", 3),
        answer(51, "u", NOT_RUN, reason="limit"),
        record(52, ENTRY, "a1", SINGLE_OF_REPEATABLE),
        start(60, "r", 0),
        start(61, "r", 0, "e2"),
        record(70, ENDPOINT, "e2", history.Leaving("e2", 1, 9)),
        submit(90, "v", 1),
        start(100, "v", 0, "e2"),
        record(110, BENCH, "bench", events.StopSent("a1")),
        submit(111, "w", 1),
        record(112, CLIENT, "client", events.ConnectionLost("w", "a1", 111, True)),
        answer(120, "v", FAILED, reason="task_failed", may_have_run=True),
        record(130, ENTRY, "a1", history.Stopped(0)),
        record(9_000, ENTRY, "a2", history.Stopped(0)),
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class SeededBreach:
    """Records to add to the valid run, and the promises that they break."""

    name: str
    added: tuple[reader.Record[typing.Any], ...]
    broken: frozenset[breaches.Promise]


SEEDED_BREACHES = (
    SeededBreach(
        "a task of a job submitted again starts again",
        (start(500, "t", 1, "e1"),),
        frozenset({Promise.SINGLE_START, Promise.AT_MOST_ONCE}),
    ),
    SeededBreach(
        "a repeatable request starts too often",
        (start(500, "r", 0), start(501, "r", 0)),
        frozenset({Promise.SINGLE_START}),
    ),
    SeededBreach(
        "a complete outcome lacks an answer",
        (answer(42, "t", COMPLETE, answers=1),),
        frozenset({Promise.WHOLE_OUTCOME}),
    ),
    SeededBreach(
        "a failed outcome has some answers",
        (answer(121, "v", FAILED, answers=1),),
        frozenset({Promise.WHOLE_OUTCOME}),
    ),
    SeededBreach(
        "a task of a complete job never ran",
        (answer(42, "u", COMPLETE, answers=3),),
        frozenset({Promise.WHOLE_OUTCOME}),
    ),
    SeededBreach(
        "an answer belongs to another request",
        (answer(42, "t", COMPLETE, answers=2, foreign=(1,)),),
        frozenset({Promise.OWN_ANSWER}),
    ),
    SeededBreach(
        "a task of a job reported as not run starts later",
        (start(5_000, "u", 2),),
        frozenset({Promise.TRUE_NOT_RUN}),
    ),
    SeededBreach(
        "two tickets of one own key run",
        tuple(
            event
            for ticket in ("k1", "k2")
            for event in (
                record(
                    300,
                    ENTRY,
                    "a1",
                    history.Submitted(ticket, "m", "s", "c", 1, key="k"),
                ),
                start(2_000, ticket, 0),
            )
        ),
        frozenset({Promise.AT_MOST_ONCE}),
    ),
    SeededBreach(
        "an endpoint starts a task long after leaving",
        (start(70 + 3_001, "v2", 0, "e2"),),
        frozenset({Promise.LEAVING}),
    ),
    SeededBreach(
        "a graceful stop breaks a connection",
        (record(115, CLIENT, "client", events.ConnectionLost("v", "a1", 90, False)),),
        frozenset({Promise.GRACEFUL_STOP}),
    ),
    SeededBreach(
        "a job is lost with its stopped owner",
        (answer(125, "v", FAILED, reason="owner_lost", may_have_run=True),),
        frozenset({Promise.GRACEFUL_STOP}),
    ),
    SeededBreach(
        "a process reports interrupted requests",
        (record(8_000, ENTRY, "a2", history.Stopped(2)),),
        frozenset({Promise.GRACEFUL_STOP}),
    ),
    SeededBreach(
        "one version has two digests",
        (record(950, ENTRY, "a2", history.InForce(1, "y")),),
        frozenset({Promise.BUNDLES}),
    ),
    SeededBreach(
        "a process goes back to a lower version",
        (
            record(950, ENTRY, "a2", history.InForce(2, "z")),
            record(960, ENTRY, "a2", history.InForce(1, "x")),
        ),
        frozenset({Promise.BUNDLES}),
    ),
    SeededBreach(
        "one process never applies a bundle",
        (record(1_000, ENTRY, "a1", history.Accepted(2, "z")),),
        frozenset({Promise.BUNDLES}),
    ),
    SeededBreach(
        "more starts than the declared limit allows",
        (submit(95, "n2", 1, "n"), start(1_008, "n2", 0)),
        frozenset({Promise.LIMITS}),
    ),
    SeededBreach(
        "two processes together exceed an aligned window",
        tuple(
            record(at, ENTRY, name, history.LimitUsed("m", "day", 3, 5, 1_000))
            for at, name in ((200, "a1"), (300, "a2"))
        ),
        frozenset({Promise.LIMITS}),
    ),
    SeededBreach(
        "two processes together exceed a sliding window",
        tuple(
            record(
                at,
                ENTRY,
                name,
                history.LimitUsed("m", "hour", 3, 5, 1_000, sliding=True),
            )
            for at, name in ((800, "a1"), (1_799, "a2"))
        ),
        frozenset({Promise.LIMITS}),
    ),
)


class ReportTest(unittest.TestCase):
    def check(self, records: list[reader.Record[typing.Any]]) -> report.Report:
        return report.check_history(reader.History(records))

    def test_a_valid_run_has_no_breach(self) -> None:
        result = self.check(build_valid_run())
        self.assertEqual([breach.describe() for breach in result.found], [])

    def test_each_seeded_breach_is_found_with_its_proof(self) -> None:
        for seeded in SEEDED_BREACHES:
            with self.subTest(seeded.name):
                result = self.check([*build_valid_run(), *seeded.added])
                broken = {breach.promise for breach in result.found}
                self.assertEqual(broken, seeded.broken)
                proof = [each for breach in result.found for each in breach.proof]
                self.assertTrue(set(proof) & set(seeded.added))

    def test_every_promise_has_a_seeded_breach(self) -> None:
        covered = {promise for seeded in SEEDED_BREACHES for promise in seeded.broken}
        self.assertEqual(covered, set(Promise))

    def test_a_partitioned_process_may_apply_bundles_after_healing(self) -> None:
        cut = events.CutOff("d", ("a2",))
        healed = events.Healed("d", ("a2",))
        records = [
            *build_valid_run(),
            record(950, BENCH, "bench", cut),
            record(1_000, ENTRY, "a1", history.Accepted(2, "z")),
            record(1_001, ENTRY, "a1", history.InForce(2, "z")),
            record(7_000, BENCH, "bench", healed),
            record(7_100, ENTRY, "a2", history.InForce(2, "z")),
        ]
        self.assertEqual(self.check(records).found, ())
