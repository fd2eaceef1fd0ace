"""A stand-in for an executor, after the pages on running tasks and discovery."""

from __future__ import annotations

import asyncio
import dataclasses
import time
import typing

import http_io
import record

MAX_LEASE_MS = 1_000
STOP_S = 0.02
STARTUP_S = 0.3
MAX_LISTED_ENDS = 500
# An acknowledgement counts if it comes within this time.
PING_TIMEOUT_S = 1.0


@dataclasses.dataclass(slots=True)
class Run:
    """One run of a task; `at_work_s` is when it is at work, for tasks that last."""

    task: str
    number: int
    spec: str
    started_s: float
    is_stopping: bool = False
    handle: asyncio.TimerHandle | None = None

    def is_at_work(self) -> bool:
        """Return whether a task that lasts has started up."""
        return time.monotonic() - self.started_s >= STARTUP_S

    @property
    def percent(self) -> int:
        """Return the share of the work that is done, 100 for a task at work."""
        passed = time.monotonic() - self.started_s
        return min(100, int(100 * passed / STARTUP_S))


class Observer(typing.Protocol):
    """Is told what executors do."""

    def on_start(self, executor: Executor, run: Run) -> None:
        """Handle the start of a run."""

    def on_stop_order(self, executor: Executor, run: Run) -> None:
        """Handle that a run is ordered to stop; it is still at work."""

    def on_end(self, executor: Executor, run: Run, how: str) -> None:
        """Handle the end of a run."""


class Executor:
    """One machine with the executors that live there one after the other.

    The `spec` of a task begins with its run time in milliseconds, or is `lasting`.
    """

    def __init__(
        self,
        name: str,
        host: str,
        controls: list[str],
        events: record.Record,
        observer: Observer,
        labels: tuple[str, str] = ("a", "r1"),
        cpu: int = 64_000,
        zone: str = "z1",
        beat_s: float = 0.5,
    ) -> None:
        self.name = name
        self.controls = controls
        self.record = events
        self.observer = observer
        self.labels = labels
        self.cpu = cpu
        self.zone = zone
        self.beat_s = beat_s
        self.server = http_io.Server(host, self.handle)
        self.address = ""
        self.is_up = False
        self.is_draining = False
        # Statuses for calls while the executor is unhealthy; empty while it is sound.
        self.unhealthy: dict[str, int] = {}
        self.beat_address = ""
        self.background: list[asyncio.Task[None]] = []
        self.reset()

    def reset(self) -> None:
        """Begin a life that knows nothing of before."""
        self.born = int(time.time() * 1_000)
        self.start_s = time.monotonic()
        self.fence = 0
        self.lease_end_ms = 0
        self.sequence = 0
        self.count = 0
        self.running: dict[str, Run] = {}
        self.ended: list[list[object]] = []
        self.highest: dict[str, int] = {}
        self.has_ended = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Return this life's steady clock."""
        return int((time.monotonic() - self.start_s) * 1_000)

    async def start(self) -> None:
        """Begin to serve and to ping."""
        self.reset()
        await self.server.open()
        self.address = f"{self.server.host}:{self.server.port}"
        self.is_up = True
        self.background = [
            asyncio.create_task(self.ping_forever()),
            asyncio.create_task(self.expire_forever()),
        ]
        self.record.add(f"{self.name} is up at {self.address}, born {self.born}")

    def crash(self) -> None:
        """End without a word; what runs ends with it."""
        self.is_up = False
        for each in self.background:
            each.cancel()
        self.server.close()
        self.record.add(f"{self.name} crashes")
        for run in list(self.running.values()):
            self.end(run, "crashed")

    # Calls.

    async def handle(
        self, method: str, path: str, headers: dict[str, str], body: typing.Any
    ) -> tuple[int, object] | None:
        """Handle one call."""
        if not self.is_up:
            return None
        born = self.born
        verb = path.rpartition("/")[2]
        if headers.get("knapweedbeam-expect-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock_ms, "born": self.born}
        if verb in self.unhealthy:
            self.record.add(f"{self.name} answers {self.unhealthy[verb]} to {verb}")
            return self.unhealthy[verb], {"clockMs": self.clock_ms, "born": self.born}
        self.expire()
        if body.get("fence", 0) < self.fence:
            return 409, self.answer(reason="fence")
        self.fence = body.get("fence", 0)
        if verb == "hold":
            return await self.hold(body, born)
        if verb == "run-start":
            return self.run_start(body)
        if verb == "run-stop":
            return self.run_stop(body)
        return 400, self.answer()

    def answer(self, **fields: object) -> dict[str, object]:
        """Return the body of an answer."""
        return {"clockMs": self.clock_ms, "born": self.born, **fields}

    def renew(self, deadline_ms: int) -> None:
        """Take a deadline, cut to the longest lease; it never shortens."""
        until = min(deadline_ms, self.clock_ms + MAX_LEASE_MS)
        self.lease_end_ms = max(self.lease_end_ms, until)

    def run_start(self, body: typing.Any) -> tuple[int, object]:
        """Start a run."""
        task, number = body["task"], body["attempt"]
        if body["deadlineMs"] <= self.clock_ms:
            return 409, self.answer(reason="late")
        self.renew(body["deadlineMs"])
        current = self.running.get(task)
        if current is not None and current.number == number:
            return 200, self.answer()
        if number <= self.highest.get(task, 0):
            return 409, self.answer(reason="old")
        run = Run(task, number, body["spec"], time.monotonic())
        self.running[task] = run
        self.record.add(f"{self.name} starts {task} run {number} fence {self.fence}")
        self.observer.on_start(self, run)
        if run.spec != "lasting":
            loop = asyncio.get_running_loop()
            run.handle = loop.call_later(
                int(run.spec.split()[0]) / 1_000, self.finish, run, "done"
            )
        return 200, self.answer()

    def run_stop(self, body: typing.Any) -> tuple[int, object]:
        """Stop a run, if it is there."""
        task, number = body["task"], body["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number == number and not run.is_stopping:
            self.record.add(
                f"{self.name} is told to stop {task} run {number} fence {self.fence}"
            )
            self.observer.on_stop_order(self, run)
            run.is_stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self.finish, run, "stopped")
        return 200, self.answer()

    async def hold(self, body: typing.Any, born: int) -> tuple[int, object] | None:
        """Renew the lease, wait for an end, and list what runs and what ended."""
        self.renew(body.get("deadlineMs", 0))
        self.ended = [row for row in self.ended if row[0] > body["ackSeq"]]
        if not self.ended and body.get("waitMs"):
            self.has_ended.clear()
            try:
                async with asyncio.timeout(body["waitMs"] / 1_000):
                    await self.has_ended.wait()
            except TimeoutError:
                pass
        if self.born != born or not self.is_up:
            return None
        self.expire()
        rows = [[r.task, r.number, "", r.percent, 0] for r in self.running.values()]
        ended = self.ended[:MAX_LISTED_ENDS]
        return 200, self.answer(running=rows, finished=ended)

    # Ends.

    def finish(self, run: Run, how: str) -> None:
        """End a run if it is still there and the lease has not lapsed."""
        self.expire()
        if self.is_up and self.running.get(run.task) is run:
            self.end(run, how)

    def end(self, run: Run, how: str) -> None:
        """End a run, unless it has ended, and list its end."""
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.handle is not None:
            run.handle.cancel()
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.record.add(f"{self.name} ends {run.task} run {run.number} {how}")
        self.observer.on_end(self, run, how)
        if how != "crashed":
            self.count += 1
            self.ended.append([self.count, run.task, run.number, how, ""])
            self.has_ended.set()

    def expire(self) -> None:
        """Kill everything once the lease has lapsed."""
        if self.clock_ms > self.lease_end_ms:
            for run in list(self.running.values()):
                self.end(run, "lapsed")

    async def expire_forever(self) -> None:
        """Watch the lease."""
        while True:
            await asyncio.sleep(0.005)
            self.expire()

    # Pings.

    def build_ping(self) -> dict[str, object]:
        """Return the body of the next ping."""
        self.sequence += 1
        return {
            "service": "s1",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 65_536, "gpu": 0},
            "labels": list(self.labels),
            "clockMs": self.clock_ms,
            "born": self.born,
            "sequence": self.sequence,
        }

    async def ping_forever(self) -> None:
        """Ping one control process, the next one if it does not acknowledge."""
        path = f"/knapweedbeam/instances/{self.name}"
        number = 0
        while True:
            ping = self.build_ping()
            for _ in range(len(self.controls) + 1):
                address = (
                    self.beat_address or self.controls[number % len(self.controls)]
                )
                reply = await http_io.call(
                    address, "PUT", path, ping, timeout_s=PING_TIMEOUT_S
                )
                if 200 <= reply.status < 300:
                    named = (reply.body or {}).get("heartbeatAddr", "")
                    self.beat_address = named or address
                    break
                self.beat_address = ""
                number += 1
            await asyncio.sleep(self.beat_s)
