from __future__ import annotations

import dataclasses
import pathlib
import tempfile
import unittest

import fake_entry

from bench import client, deployment, endpoint, events, trace
from bench.check import breaches, reader, report
from knapweedbeam_core import ids
from knapweedbeam_server import history, system_clock

CLOCK = system_clock.SystemClock()
Flaw = fake_entry.Flaw
Promise = breaches.Promise
MEMBER = deployment.MemberSpec("m", "token")
JOBS = tuple(
    trace.TraceJob(n, 10.0 * n, "m", "c", (2.0,) * tasks)
    for n, tasks in enumerate((1, 3, 2))
)


@dataclasses.dataclass(frozen=True, slots=True)
class FixedVm(deployment.EntryVm):
    port: int = 0

    @property
    def callers(self) -> str:
        return f"{self.host}:{self.port}"


class LiveRunTest(unittest.TestCase):
    """Runs client, endpoint and a minimal entry VM over real sockets."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def open(self, name: str, role: history.Role) -> history.FileHistory:
        path = self.folder / f"{name}.history"
        writer = history.FileHistory(path, ids.ProcessId(name, 1), CLOCK, role)
        self.addCleanup(writer.close)
        return writer

    def run_jobs(
        self, flaw: Flaw, resend_share: float = 0.0
    ) -> tuple[list[client.JobResult], report.Report]:
        spec = deployment.EndpointSpec(
            "e1", "s", "d", "w", "127.77.3.1", speed=1.0, port=0
        )
        own = self.open("e1", history.Role.ENDPOINT)
        fake = endpoint.FakeEndpoint(spec, own, CLOCK, 1)
        fake.start()
        self.addCleanup(fake.stop)
        entry_history = self.open("a1", history.Role.ENTRY)
        target = fake.address.removeprefix("http://")
        entry = fake_entry.FakeEntry("127.77.3.2", target, entry_history, flaw)
        self.addCleanup(entry.server.stop, 0.1)
        port = entry.server.server_port
        plan = deployment.Deployment(
            "test",
            77,
            ("d",),
            (FixedVm("a1", "d", "127.77.3.2", True, port),),
            (spec,),
            (MEMBER,),
            (),
        )
        writer = self.open("client", history.Role.CLIENT)
        options = client.ClientOptions("s", resend_share=resend_share)
        load_client = client.Client(plan, writer, CLOCK, options)
        load_client.prepare()
        results = load_client.run(JOBS)
        for each in (own, entry_history, writer):
            each.close()
        return results, report.check_folder(self.folder)

    def test_every_job_is_answered_and_timed_from_its_scheduled_time(self) -> None:
        results, checked = self.run_jobs(Flaw.NONE, resend_share=1.0)
        self.assertEqual({each.outcome for each in results}, {"complete"})
        self.assertEqual(sorted(each.tasks for each in results), [1, 2, 3])
        self.assertTrue(all(each.response_ms >= 2 for each in results))
        self.assertEqual((checked.found, checked.tasks_started), ((), 6))

    def test_a_lost_connection_is_recorded_and_the_job_sent_again(self) -> None:
        results, checked = self.run_jobs(Flaw.DROP_FIRST)
        self.assertEqual({each.outcome for each in results}, {"complete"})
        lost = reader.read_history(self.folder).get(events.ConnectionLost)
        self.assertEqual([each.event.refused for each in lost], [False])
        self.assertEqual(checked.found, ())

    def test_faulty_entry_vms_are_detected(self) -> None:
        expected = {
            Flaw.START_TWICE: {Promise.SINGLE_START, Promise.AT_MOST_ONCE},
            Flaw.FALSE_NOT_RUN: {Promise.TRUE_NOT_RUN},
            Flaw.CROSS: {Promise.OWN_ANSWER},
            Flaw.REVERT: {Promise.BUNDLES},
        }
        for flaw, broken in expected.items():
            with self.subTest(flaw):
                for path in self.folder.iterdir():
                    path.unlink()
                _, checked = self.run_jobs(flaw)
                self.assertEqual({each.promise for each in checked.found}, broken)
