"""Executors that follow the platform's pages and record what they run."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import time

from stand_ins import http, record

HOLD_MAX_MS = 1_000
PING_INTERVAL_S = 1.5
LISTED_ENDS = 500
STOP_S = 0.01
Decide = collections.abc.Callable[[str, int], tuple[float, str]]


@dataclasses.dataclass
class Run:
    """One run of a task; `ended_ms` is on the clock of the executor."""

    executor: str
    task: str
    attempt: int
    began_s: float
    ended_s: float = 0.0
    ended_ms: int = 0
    place: int = 0
    how: str = ""
    noted_s: float = 0.0
    timer: asyncio.TimerHandle | None = None


class Executor:
    """One executor over its lifetimes.

    `decide` says how long a run takes and how it ends.
    """

    def __init__(
        self,
        name: str,
        host: str,
        control: list[str],
        rec: record.Record,
        decide: Decide,
        labels: tuple[str, str] = ("a", "rack-1"),
        cpu: int = 64_000,
    ) -> None:
        self.name = name
        self.host = host
        self.control = control
        self.record = rec
        self.decide = decide
        self.labels = labels
        self.cpu = cpu
        self.heartbeat_address = ""
        self.state = "ready"
        self.runs: list[Run] = []
        self.server = http.Server(self.handle)
        self.pinger: asyncio.Task[None] | None = None
        self.is_up = False

    async def start(self) -> None:
        """Begin a lifetime: nothing runs, and all counts start anew."""
        self.born = int(time.time() * 1_000)
        self.began_s = time.monotonic()
        self.lease_end_ms = 0
        self.lapsed_ms = -1
        self.fence = 0
        self.sequence = 0
        self.state = "ready"
        self.running: dict[str, Run] = {}
        self.finished: list[Run] = []
        self.ends = 0
        self.highest: dict[str, int] = {}
        self.something_ended = asyncio.Event()
        self.server = http.Server(self.handle)
        await self.server.start(self.host)
        self.is_up = True
        self.record.add("executor up", executor=self.name, born=self.born)
        self.pinger = asyncio.create_task(self.ping_forever())
        self.lease_watch = asyncio.create_task(self.watch_lease())

    def crash(self) -> None:
        """End the lifetime; all that runs ends with it."""
        self.is_up = False
        for task in (self.pinger, self.lease_watch):
            if task is not None:
                task.cancel()
        for run in list(self.running.values()):
            self.finish(run, "lost")
        self.server.close()
        self.record.add("executor down", executor=self.name)

    @property
    def clock_ms(self) -> int:
        """Return the executor's clock, which starts with its lifetime."""
        return int((time.monotonic() - self.began_s) * 1_000)

    # Pings.

    async def ping_forever(self) -> None:
        """Send a ping at regular intervals."""
        while True:
            await self.ping()
            await asyncio.sleep(PING_INTERVAL_S)

    async def ping(self) -> bool:
        """Send a ping; without an ack within a second, call the next machine."""
        self.sequence += 1
        body = {
            "service": "desk",
            "address": self.server.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 262_144, "gpu": 0},
            "labels": list(self.labels),
            "clockMs": self.clock_ms,
            "born": self.born,
            "sequence": self.sequence,
        }
        first = [self.heartbeat_address] if self.heartbeat_address else []
        for address in [*first, *self.control]:
            reply = await http.call(
                address, "PUT", f"/knapweedbeam/instances/{self.name}", body
            )
            if 200 <= reply.status < 300:
                named = (reply.body or {}).get("heartbeatAddr", "")
                self.heartbeat_address = named or address
                return True
            self.heartbeat_address = ""
        return False

    # Calls of the system.

    async def handle(
        self, method: str, path: str, headers: dict[str, str], body: http.Body
    ) -> tuple[int, http.Body]:
        """Answer one call."""
        if path == "/healthz":
            return 200, {}
        expected = headers.get("knapweedbeam-expect-instance", self.name)
        if expected != self.name:
            return 421, {"clockMs": self.clock_ms}
        if body["fence"] < self.fence:
            return 409, {"clockMs": self.clock_ms, "reason": "fence"}
        self.fence = body["fence"]
        match path.rsplit("/", 1)[1]:
            case "hold":
                return 200, await self.hold(body)
            case "run-start":
                status, content = self.start_run(body)
            case "run-stop":
                status, content = await self.stop_run(body)
            case _:
                status, content = 400, {}
        return status, content | {"clockMs": self.clock_ms}

    def extend_lease(self, deadline_ms: int) -> None:
        """Extend the lease; it never shortens."""
        self.check_lease()
        limit_ms = self.clock_ms + HOLD_MAX_MS
        self.lease_end_ms = max(self.lease_end_ms, min(deadline_ms, limit_ms))

    def check_lease(self) -> None:
        """End all runs if the lease has expired."""
        if self.clock_ms <= self.lease_end_ms:
            return
        self.lapsed_ms = self.lease_end_ms
        for run in list(self.running.values()):
            self.finish(run, "lapsed")

    async def watch_lease(self) -> None:
        """Check the lease often."""
        while True:
            await asyncio.sleep(0.005)
            self.check_lease()

    def start_run(self, body: http.Body) -> tuple[int, http.Body]:
        """Start a run of a task; the capacity isn't guarded."""
        task, attempt = body["task"], body["attempt"]
        if body["deadlineMs"] <= self.clock_ms:
            return 409, {"reason": "late"}
        self.extend_lease(body["deadlineMs"])
        present = self.running.get(task)
        if present is not None and present.attempt == attempt:
            return 200, {}
        if attempt <= self.highest.get(task, 0) or present is not None:
            return 409, {"reason": "old"}
        run = Run(self.name, task, attempt, self.record.now_s())
        self.running[task] = run
        self.runs.append(run)
        work_s, how = self.decide(task, attempt)
        self.record.add("run", executor=self.name, task=task, attempt=attempt)
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(work_s, self.finish, run, how)
        return 200, {}

    async def stop_run(self, body: http.Body) -> tuple[int, http.Body]:
        """Stop a run; one that isn't there yet will be rejected."""
        task, attempt = body["task"], body["attempt"]
        self.record.add("stop", executor=self.name, task=task, attempt=attempt)
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.running.get(task)
        if run is not None and run.attempt <= attempt:
            asyncio.get_running_loop().call_later(STOP_S, self.finish, run, "stopped")
        return 200, {}

    def finish(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer is not None:
            run.timer.cancel()
        run.how = how
        run.ended_s = self.record.now_s()
        run.ended_ms = self.clock_ms
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.attempt)
        self.record.add(
            "end", executor=self.name, task=run.task, attempt=run.attempt, how=how
        )
        if how == "lost":
            return
        self.ends += 1
        run.place = self.ends
        self.finished.append(run)
        self.something_ended.set()

    async def hold(self, body: http.Body) -> http.Body:
        """Renew the lease, forget acknowledged ends, and list what runs and ended."""
        self.extend_lease(body.get("deadlineMs", 0))
        self.acknowledge(body["ackSeq"])
        wait_ms = min(2_000, body.get("waitMs", 0))
        if wait_ms and not self.finished:
            self.something_ended.clear()
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await self.something_ended.wait()
            except TimeoutError:
                pass
        return {
            "born": self.born,
            "clockMs": self.clock_ms,
            "running": [
                [run.task, run.attempt, "", 100, 1] for run in self.running.values()
            ],
            "finished": [
                [run.place, run.task, run.attempt, run.how, ""]
                for run in self.finished[:LISTED_ENDS]
            ],
        }

    def acknowledge(self, place: int) -> None:
        """Forget the ends up to a place.

        They are taken note of unless the lease lapsed between the end and now.
        """
        for run in self.finished:
            if run.place <= place and self.lapsed_ms < run.ended_ms:
                run.noted_s = self.record.now_s()
                self.record.add(
                    "noted", executor=self.name, task=run.task, attempt=run.attempt
                )
        self.finished = [run for run in self.finished if run.place > place]
