"""Processor time of a start and its end through one dispatcher.

Run `python -m bench.dispatch_cost`; each line gives the starts that one process
can make in a second of processor time, with nothing else of the system.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random
import statistics
import time
import typing

import typer

from knapweedbeam_core import clock, effects, ids, jobs, rules
from knapweedbeam_core.dispatch import dispatcher
from knapweedbeam_core.entry import parts

SERVICE = "order-desk"
SLOTS = 8
RUN_MS = 200
TICKS_EVERY = 200
ANSWER = effects.TaskAnswered(b"1")
WALL_MS = 1_700_000_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """One measurement."""

    endpoints: int
    members: int
    tasks: int


SIZES = tuple(
    Size(endpoints, members, tasks)
    for endpoints, members, tasks in itertools.product(
        (24, 1200), (2, 58), (1, 20, 450)
    )
)


class Loop:
    """One dispatcher whose slots are all busy, driven without I/O."""

    def __init__(self, size: Size) -> None:
        self.size = size
        self.clock = clock.ManualClock(1_000, WALL_MS)
        me = ids.ProcessId("a1", 1)
        limiter = parts.NullLimiter()
        self.dispatcher = dispatcher.Dispatcher(
            me, "a", (), limiter, self.clock, random.Random(1)
        )
        members = {f"m{i}": rules.MemberRules(f"m{i}") for i in range(size.members)}
        self.dispatcher.on_rules(rules.Rules(version=1, members=members))
        self.running: collections.deque[effects.StartTask] = collections.deque()
        self.numbers = itertools.count()
        self.spec = jobs.TaskSpec(b"{}")
        self.sequence = 0
        self.announced_ms = 0
        self.ends = 0
        self.announce()
        self.apply_effects(self.dispatcher.tick())

    def announce(self) -> None:
        """Have every endpoint announce itself."""
        self.sequence += 1
        self.announced_ms = self.clock.now_ms()
        for index in range(self.size.endpoints):
            name = f"e{index}"
            record = parts.Announcement(
                name, SERVICE, name, "a", name, 1, self.sequence, SLOTS, 64
            )
            self.apply_effects(self.dispatcher.announce(record)[1])

    def apply_effects(self, found: typing.Iterable[typing.Any]) -> None:
        """Carry effects out: begin at once, keep what runs."""
        for effect in found:
            if isinstance(effect, effects.StartTask):
                self.running.append(effect)
            elif isinstance(effect, effects.RequestBegin):
                self.apply_effects(self.dispatcher.start_job(effect.ticket))

    def submit(self) -> None:
        """Submit one job."""
        number = next(self.numbers)
        member = f"m{number % self.size.members}"
        due_ms = self.clock.now_ms() + 60_000
        tasks = (self.spec,) * self.size.tasks
        job = jobs.Job(f"t{number}", member, SERVICE, "quote", due_ms, tasks)
        self.apply_effects(self.dispatcher.enqueue(job))

    def top_up(self, waiting: int) -> None:
        """Keep a backlog of that many tasks."""
        state = self.dispatcher.state
        while state.queued_tasks < waiting:
            self.submit()

    def end_one(self) -> None:
        """End the task that runs longest."""
        start = self.running.popleft()
        end = effects.TaskEnd(start.task, start.endpoint, ANSWER, RUN_MS)
        self.apply_effects(self.dispatcher.handle_task_end(end))
        self.ends += 1

    def step(self) -> None:
        """End and start some tasks and let 20 ms pass."""
        for _ in range(TICKS_EVERY):
            self.top_up(self.size.tasks)
            self.end_one()
        self.clock.advance(parts.TICK_MS)
        self.apply_effects(self.dispatcher.tick())


def measure(size: Size, seconds: float) -> float:
    """Return starts per second of processor time."""
    loop = Loop(size)
    loop.top_up(size.endpoints * SLOTS + size.tasks)
    for _ in range(5):
        loop.step()
    loop.ends = 0
    used = 0.0
    while used < seconds:
        if loop.clock.now_ms() - loop.announced_ms > 800:
            loop.announce()
        began = time.process_time()
        loop.step()
        used += time.process_time() - began
    return loop.ends / used


def main(seconds: float = 1.0, runs: int = 3) -> None:
    """Measure every size; the median of several runs."""
    for size in SIZES:
        rate = statistics.median(measure(size, seconds) for _ in range(runs))
        print(
            f"endpoints {size.endpoints:5} members {size.members:3}"
            f" tasks a job {size.tasks:4}: {rate:8.0f} starts a second"
        )


if __name__ == "__main__":
    typer.run(main)
