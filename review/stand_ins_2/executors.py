"""An executor as the platform's pages describe it, with a log of what it saw."""

from __future__ import annotations

import asyncio
import collections.abc
import dataclasses
import time
import typing

import http_messages
import recording

MAX_LISTED_ENDS = 500
FOREVER_S = 1e9


@dataclasses.dataclass(slots=True)
class Run:
    """One start of a task; `how` and `noted` are set when it has ended."""

    executor: str
    task: str
    attempt: int
    started_s: float
    duration_s: float
    natural_end: str
    ended_s: float = 0.0
    how: str = ""
    place: int = 0
    noted_s: float = 0.0
    stop_asked_s: float = 0.0
    cpu: int = 0


# Returns how long a run of a task takes and how it ends by itself.
Plan = collections.abc.Callable[["Executor", str, int], tuple[float, str]]


class Executor:
    """One executor that does not guard its capacity (`enforcesCapacity` is false)."""

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        zone: str,
        labels: list[str],
        bounds: dict[str, typing.Any],
        beat_ms: int,
        control: list[str],
        plan: Plan,
        record: recording.Record,
    ) -> None:
        self.name = name
        self.zone = zone
        self.labels = labels
        self.service = "despacho"
        self.hold_max_s = bounds["holdMaxMs"] / 1_000
        self.stop_s = bounds["stopMs"] / 1_000
        self.beat_s = beat_ms / 1_000
        self.control = control
        self.plan = plan
        self.record = record
        self.server = http_messages.Server(host, port, self.handle)
        self.born = int(time.time() * 1_000)
        self.start_s = time.monotonic()
        self.fence = 0
        self.sequence = 0
        self.lease_end_s = 0.0
        self.lapsed_s = 0.0
        self.running: dict[str, Run] = {}
        self.ended: list[Run] = []
        self.places = 0
        self.highest: dict[str, int] = {}
        self.runs: list[Run] = []
        self.changed = asyncio.Event()
        self.is_cut = False
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def clock_s(self) -> float:
        """Return this executor's steady clock."""
        return time.monotonic() - self.start_s

    async def start(self) -> None:
        """Listen, announce, and watch the lease."""
        await self.server.start()
        self.tasks = [
            asyncio.create_task(self.announce_forever()),
            asyncio.create_task(self.expire_forever()),
        ]

    def stop(self) -> None:
        """Stop at the end of the case."""
        for task in self.tasks:
            task.cancel()
        self.server.stop()

    async def announce_forever(self) -> None:
        """Announce this executor at its interval, to the next node after a failure."""
        nodes = list(self.control)
        offset = sum(self.name.encode()) % len(nodes)
        nodes = nodes[offset:] + nodes[:offset]
        preferred = ""
        while True:
            while self.is_cut:
                await asyncio.sleep(0.05)
            for address in [preferred, *nodes] if preferred else list(nodes):
                reply = await self.announce(address)
                if 200 <= reply.status < 300:
                    named = (reply.content or {}).get("heartbeatAddr", "")
                    preferred = named or address
                    break
            await asyncio.sleep(self.beat_s)

    async def announce(self, address: str) -> http_messages.Reply:
        """Send one announcement."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": 32_000, "memMb": 131_072, "gpu": 0},
            "labels": self.labels,
            "clockMs": int(self.clock_s * 1_000),
            "sequence": self.sequence,
            "born": self.born,
        }
        return await http_messages.send(
            address, "PUT", f"/knapweedbeam/instances/{self.name}", body, timeout_s=1.0
        )

    async def handle(self, request: http_messages.Request) -> http_messages.Reply:
        """Handle a call."""
        expected = request.headers.get("knapweedbeam-expect-instance", self.name)
        if expected != self.name:
            return self.reply(421)
        self.expire()
        body = request.content
        if body.get("fence", 0) < self.fence:
            return self.reply(409, {"reason": "fence"})
        self.fence = body.get("fence", 0)
        match request.path.rsplit("/", 1)[1]:
            case "run-start":
                return self.start_run(body)
            case "run-stop":
                return self.stop_run(body)
            case "hold":
                return await self.hold(body)
        return self.reply(404)

    def reply(
        self, status: int, content: dict[str, typing.Any] | None = None
    ) -> http_messages.Reply:
        """Return a reply with this executor's clock and birth."""
        base = {"clockMs": int(self.clock_s * 1_000), "born": self.born}
        return http_messages.Reply(status, base | (content or {}))

    def extend_lease(self, deadline_ms: int) -> None:
        """Extend the lease, which never shortens, to at most `holdMaxMs`."""
        limit_s = self.clock_s + self.hold_max_s
        self.lease_end_s = max(self.lease_end_s, min(deadline_ms / 1_000, limit_s))

    def start_run(self, body: dict[str, typing.Any]) -> http_messages.Reply:
        """Start a run."""
        task, attempt = body["task"], body["attempt"]
        if body["deadlineMs"] / 1_000 <= self.clock_s:
            return self.reply(409, {"reason": "late"})
        self.extend_lease(body["deadlineMs"])
        present = self.running.get(task)
        if present is not None and present.attempt == attempt:
            return self.reply(200)
        if attempt <= self.highest.get(task, 0) or present is not None:
            return self.reply(409, {"reason": "old"})
        duration_s, how = self.plan(self, task, attempt)
        run = Run(self.name, task, attempt, time.monotonic(), duration_s, how)
        self.running[task] = run
        self.runs.append(run)
        self.record.write("start", self.name, task, attempt, f"fence {self.fence}")
        if duration_s < FOREVER_S:
            loop = asyncio.get_running_loop()
            loop.call_later(duration_s, self.end_run, run, how)
        return self.reply(200)

    def stop_run(self, body: dict[str, typing.Any]) -> http_messages.Reply:
        """Stop a run, which ends a little later."""
        task, attempt = body["task"], body["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.running.get(task)
        if run is not None and run.attempt == attempt and not run.stop_asked_s:
            run.stop_asked_s = time.monotonic()
            self.record.write("stop", self.name, task, attempt, f"fence {self.fence}")
            loop = asyncio.get_running_loop()
            loop.call_later(self.stop_s / 2, self.end_run, run, "stopped")
        return self.reply(200)

    def end_run(self, run: Run, how: str) -> None:
        """End a run, unless it has ended, and list the end until it is acknowledged."""
        self.expire()
        if run.how:
            return
        del self.running[run.task]
        run.how, run.ended_s = how, time.monotonic()
        self.places += 1
        run.place = self.places
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.attempt)
        self.ended.append(run)
        self.record.write("end", self.name, run.task, run.attempt, how)
        self.changed.set()

    def expire(self) -> None:
        """Kill everything that runs once the lease has run out."""
        if self.clock_s <= self.lease_end_s:
            return
        self.lapsed_s = time.monotonic()
        for run in list(self.running.values()):
            del self.running[run.task]
            run.how, run.ended_s = "lapsed", time.monotonic()
            self.places += 1
            run.place = self.places
            self.highest[run.task] = max(self.highest.get(run.task, 0), run.attempt)
            self.ended.append(run)
            self.record.write("end", self.name, run.task, run.attempt, "lapsed")
            self.changed.set()

    async def expire_forever(self) -> None:
        """Watch the lease."""
        while True:
            self.expire()
            await asyncio.sleep(0.01)

    async def hold(self, body: dict[str, typing.Any]) -> http_messages.Reply:
        """Take note of acknowledged ends, renew the lease and return both lists."""
        fence = self.fence
        for run in self.ended:
            if run.place <= body["ackSeq"] and self.lapsed_s < run.ended_s:
                run.noted_s = time.monotonic()
        self.ended = [run for run in self.ended if run.place > body["ackSeq"]]
        if "deadlineMs" in body:
            self.extend_lease(body["deadlineMs"])
        wait_ms = min(2_000, body.get("waitMs", 0))
        if not self.ended and wait_ms:
            self.changed.clear()
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await self.changed.wait()
            except TimeoutError:
                pass
            self.expire()
            if fence < self.fence:
                return self.reply(409, {"reason": "fence"})
        running = [[run.task, run.attempt, "", 100, 0] for run in self.running.values()]
        finished = [
            [run.place, run.task, run.attempt, run.how, ""]
            for run in self.ended[:MAX_LISTED_ENDS]
        ]
        return self.reply(200, {"running": running, "finished": finished})

    async def cut(self, for_s: float) -> None:
        """Cut the links to and from this executor, which runs on; calls are refused."""
        self.record.write("trouble: cut off", self.name)
        self.is_cut = True
        self.server.stop()
        await asyncio.sleep(for_s)
        self.is_cut = False
        await self.server.start()
        self.record.write("reachable again", self.name)

    def lose(self) -> None:
        """Lose this executor for good, with all that runs on it."""
        self.record.write("trouble: lost for good", self.name)
        self.is_cut = True
        self.server.stop()
        for run in self.running.values():
            run.how, run.ended_s = "lost", time.monotonic()
            self.record.write("end", self.name, run.task, run.attempt, "lost")
        self.running.clear()
        self.ended.clear()
