"""A fake platform that stops tasks on request and reports workers' usage late."""

from __future__ import annotations

import collections
import dataclasses
import random
import typing

import gevent
import gevent.pywsgi
import msgspec

from bench import calls, endpoint
from knapweedbeam_core import clock

REPORT_S = 1.0
DELAYED_REPORTS = 1
CALL_TIMEOUT_S = 2.0
FORWARDED = "forwarded=1"
WORKER_CPU_MILLIS = 64_000
WORKER_MEMORY_MIB = 262_144


class UsageBody(msgspec.Struct):
    """The body of `POST /v1/usage`."""

    worker: str
    as_of_ms: int
    cpu_millis: int
    cpu_millis_in_use: int
    memory_mib: int
    memory_mib_in_use: int


@dataclasses.dataclass(slots=True)
class PlatformCounts:
    """Counts of the requests and reports that the platform handled."""

    stops: int = 0
    stopped: int = 0
    reports: int = 0


class FakePlatform:
    """The platform of the endpoints that one process hosts.

    `siblings` are the platforms of the other processes that host endpoints.
    """

    def __init__(
        self,
        endpoints: dict[str, endpoint.FakeEndpoint],
        entries: tuple[str, ...],
        token: str,
        siblings: tuple[str, ...],
        own_clock: clock.Clock,
        rng: random.Random,
    ) -> None:
        self.endpoints = endpoints
        self.siblings = [
            calls.Caller(address, token, CALL_TIMEOUT_S) for address in siblings
        ]
        self.clock = own_clock
        self.rng = rng
        self.counts = PlatformCounts()
        self.callers = [
            calls.Caller(address, token, CALL_TIMEOUT_S, connections=2)
            for address in entries
        ]
        self.delayed_reports: collections.deque[list[UsageBody]] = collections.deque()

    def serve(
        self, environ: dict[str, typing.Any], start_response: endpoint.StartResponse
    ) -> list[bytes]:
        """Handle `POST /tasks/{ticket}/{index}/stop`."""
        path = environ["PATH_INFO"]
        task = endpoint.parse_task(path)
        if task is None or not path.endswith("/stop"):
            return endpoint.reply(start_response, 404, b"{}")
        self.counts.stops += 1
        stopped = sum(each.stop_task(task) for each in self.endpoints.values())
        if not stopped and environ["QUERY_STRING"] != FORWARDED:
            stopped = self.forward(path)
        self.counts.stopped += stopped
        return endpoint.reply(start_response, 202 if stopped else 404, b"{}")

    def forward(self, path: str) -> int:
        """Forward a stop to all siblings and return how many stopped the task."""
        requests = [
            gevent.spawn(sibling.call, "POST", f"{path}?{FORWARDED}")
            for sibling in self.siblings
        ]
        gevent.joinall(requests)
        answers = [each.value for each in requests]
        return sum(isinstance(a, calls.Reply) and a.status == 202 for a in answers)

    def run(self) -> None:
        """Report each worker's usage `DELAYED_REPORTS` reports late."""
        while True:
            self.delayed_reports.append(self.measure())
            if len(self.delayed_reports) > DELAYED_REPORTS:
                for usage in self.delayed_reports.popleft():
                    self.report(usage)
            gevent.sleep(REPORT_S)

    def measure(self) -> list[UsageBody]:
        """Return the current usage of each worker."""
        usage: dict[str, UsageBody] = {}
        now_ms = self.clock.wall_ms()
        for each in self.endpoints.values():
            worker = each.spec.worker
            body = usage.setdefault(
                worker,
                UsageBody(worker, now_ms, WORKER_CPU_MILLIS, 0, WORKER_MEMORY_MIB, 0),
            )
            for running in each.running.values():
                body.cpu_millis_in_use += running.payload.cpu_millis
                body.memory_mib_in_use += running.payload.memory_mib
        return list(usage.values())

    def report(self, usage: UsageBody) -> None:
        """Send one report to a random entry VM; a lost report is not sent again."""
        caller = self.rng.choice(self.callers)
        caller.call("POST", "/v1/usage", msgspec.json.encode(usage))
        self.counts.reports += 1
