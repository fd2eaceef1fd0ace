"""Failures of real processes, checked against the endpoints' records."""

from __future__ import annotations

import collections
import json
import pathlib
import signal
import tempfile
import typing
import unittest

import gevent

from bench import calls, cluster, deployment
from bench.check import reader, report
from bench.scenarios import bundles
from knapweedbeam_server import history

WAIT_S = 30.0
TASK_MS = 6_000
SHAPE = deployment.Shape(
    name="processes",
    domains=("alajuela",),
    vms=3,
    endpoints=3,
    members=("depots", "bars"),
    service="despacho",
)


class ProcessesTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        block = cluster.reserve_block()
        self.addCleanup(block.release)
        self.plan = deployment.build_deployment(SHAPE, block.number)
        self.running = cluster.Cluster(self.plan, self.root)
        self.addCleanup(self.running.stop_all)
        self.running.start()

    def call(
        self, vm: int, method: str, path: str, body: typing.Any, key: str = ""
    ) -> tuple[int, dict[str, typing.Any]]:
        """Call one entry VM once as the first member; status 0 means no answer."""
        address = self.plan.vms[vm].callers
        token = self.plan.members[0].token
        if key:
            token += f"\r\nIdempotency-Key: {key}"
        caller = calls.Caller(address, token, WAIT_S, connections=1)
        answer = caller.call(method, path, json.dumps(body).encode())
        caller.close()
        if isinstance(answer, calls.CallFailure):
            return 0, {}
        return answer.status, answer.get_json()

    def build_job(self, work_ms: int, tasks: int = 2) -> dict[str, typing.Any]:
        payload = {"work_ms": work_ms, "echo": 1}
        return {
            "service": SHAPE.service,
            "tasks": [{"payload": payload}] * tasks,
            "deadline_ms": 25_000,
        }

    def wait_until_job_runs(self) -> None:
        """Wait until a job under an own key is answered with 200."""
        with gevent.Timeout(WAIT_S):
            for number in range(1_000):
                body = self.build_job(1)
                status, _ = self.call(0, "POST", "/v1/jobs", body, f"warm-{number}")
                if status == 200:
                    return
                gevent.sleep(0.1)

    def wait_until_running(self, vm: int, tasks: int = 2) -> None:
        """Wait until an entry VM runs this number of tasks."""
        with gevent.Timeout(WAIT_S):
            while True:
                status = self.running.get_status(self.plan.vms[vm])
                if status.get("running_tasks") == tasks:
                    return
                gevent.sleep(0.02)

    def mint(self, vm: int) -> str:
        _, content = self.call(vm, "POST", "/v1/tickets", {"count": 1})
        return str(content["tickets"][0])

    def stop_and_check(self) -> reader.History:
        """Stop all processes and check that no promise was broken."""
        self.running.stop_all()
        merged = reader.read_history(self.root / "histories")
        checked = report.check_history(merged)
        self.assertEqual([breach.describe() for breach in checked.found], [])
        return merged

    def count_starts(self, merged: reader.History, ticket: str) -> dict[int, int]:
        starts = merged.get(history.Started, history.Role.ENDPOINT)
        own = [start.event.index for start in starts if start.event.ticket == ticket]
        return dict(collections.Counter(own))

    def test_one_key_at_three_entry_vms_starts_one_job(self) -> None:
        self.wait_until_job_runs()
        body = self.build_job(50)
        posts = [
            gevent.spawn(self.call, vm, "POST", "/v1/jobs", body, "batch-7")
            for vm in range(3)
        ]
        gevent.joinall(posts, timeout=WAIT_S)
        answers = [post.value for post in posts]
        self.assertEqual([status for status, _ in answers], [200] * 3)
        tickets = {content["ticket"] for _, content in answers}
        self.assertEqual(len(tickets), 1)
        merged = self.stop_and_check()
        self.assertEqual(self.count_starts(merged, tickets.pop()), {0: 1, 1: 1})

    def test_killed_owner_is_answered_by_its_witness(self) -> None:
        self.wait_until_job_runs()
        ticket = self.mint(0)
        body = self.build_job(TASK_MS)
        path = f"/v1/jobs/{ticket}?wait_ms=25000"
        first = gevent.spawn(self.call, 0, "PUT", path, body)
        self.wait_until_running(0)
        self.running.kill(self.plan.vms[0].name)
        resends = [gevent.spawn(self.call, vm, "PUT", path, body) for vm in (1, 2)]
        gevent.joinall([first, *resends], timeout=WAIT_S)
        for post in resends:
            status, content = post.value
            self.assertIn(status, (502, 504), content)
            self.assertTrue(content["may_have_run"])
        merged = self.stop_and_check()
        counts = self.count_starts(merged, ticket)
        self.assertTrue(set(counts.values()) <= {1}, counts)

    def test_graceful_stop_answers_a_running_job(self) -> None:
        self.wait_until_job_runs()
        name = self.plan.vms[1].name
        ticket = self.mint(1)
        path = f"/v1/jobs/{ticket}?wait_ms=25000"
        running = gevent.spawn(self.call, 1, "PUT", path, self.build_job(TASK_MS))
        self.wait_until_running(1)
        self.assertEqual(self.running.stop(name), 0)
        self.assertEqual(running.get(timeout=WAIT_S)[0], 200)
        self.stop_and_check()

    def test_second_signal_ends_the_process_and_logs_cut_requests(self) -> None:
        self.wait_until_job_runs()
        ticket = self.mint(2)
        path = f"/v1/jobs/{ticket}?wait_ms=25000"
        interrupted = gevent.spawn(
            self.call, 2, "PUT", path, self.build_job(TASK_MS * 4)
        )
        self.wait_until_running(2)
        child = self.running.entries.pop(self.plan.vms[2].name)
        child.send_signal(signal.SIGTERM)
        gevent.sleep(0.5)
        child.send_signal(signal.SIGTERM)
        self.assertEqual(child.wait(WAIT_S), 1)
        interrupted.join(timeout=WAIT_S)
        self.assertIn("requests cut", child.get_log_tail())

    def test_two_operators_with_one_version(self) -> None:
        roller = bundles.BundleRoller(self.running)
        for _ in range(5):
            bundles.race(roller)
        bundles.kill_leader(roller)
        roller.wait_until_in_force(WAIT_S)
        self.stop_and_check()
