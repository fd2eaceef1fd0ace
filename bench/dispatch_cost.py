"""Measure the processor time of a task's start and end in one dispatcher.

Run `python -m bench.dispatch_cost`; each line gives the number of starts that one
process can handle per second of processor time, without the rest of the system.
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
TASKS_PER_TICK = 200
ANSWER = effects.TaskAnswered(b"1")
WALL_MS = 1_700_000_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """The size of one measurement; `tasks` are those of a job."""

    endpoints: int
    members: int
    tasks: int


SIZES = tuple(
    Size(endpoints, members, tasks)
    for endpoints, members, tasks in itertools.product(
        (24, 1200), (2, 58), (1, 20, 450)
    )
)


class DispatchLoop:
    """Drives one dispatcher, whose slots are all busy, without I/O."""

    def __init__(self, size: Size) -> None:
        self.size = size
        self.clock = clock.ManualClock(1_000, WALL_MS)
        process = ids.ProcessId("a1", 1)
        limiter = parts.NullLimiter()
        self.dispatcher = dispatcher.Dispatcher(
            process, "a", (), limiter, self.clock, random.Random(1)
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
        """Announce all endpoints."""
        self.sequence += 1
        self.announced_ms = self.clock.now_ms()
        for index in range(self.size.endpoints):
            name = f"e{index}"
            record = parts.Announcement(
                name, SERVICE, name, "a", name, 1, self.sequence, SLOTS, 64
            )
            self.apply_effects(self.dispatcher.announce(record)[1])

    def apply_effects(self, produced: typing.Iterable[typing.Any]) -> None:
        """Carry out effects: start jobs at once and record the running tasks."""
        for effect in produced:
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

    def fill_queue(self, target_tasks: int) -> None:
        """Submit jobs until that many tasks are queued."""
        state = self.dispatcher.state
        while state.queued_tasks < target_tasks:
            self.submit()

    def end_one(self) -> None:
        """End the task that has run longest."""
        start = self.running.popleft()
        end = effects.TaskEnd(start.task, start.endpoint, ANSWER, RUN_MS)
        self.apply_effects(self.dispatcher.handle_task_end(end))
        self.ends += 1

    def step(self) -> None:
        """End and start some tasks, then advance the clock by one tick."""
        for _ in range(TASKS_PER_TICK):
            self.fill_queue(self.size.tasks)
            self.end_one()
        self.clock.advance(parts.TICK_MS)
        self.apply_effects(self.dispatcher.tick())


def measure(size: Size, seconds: float) -> float:
    """Return the starts per second of processor time, measured for some seconds."""
    loop = DispatchLoop(size)
    loop.fill_queue(size.endpoints * SLOTS + size.tasks)
    for _ in range(5):
        loop.step()
    loop.ends = 0
    used_s = 0.0
    while used_s < seconds:
        if loop.clock.now_ms() - loop.announced_ms > 800:
            loop.announce()
        started_s = time.process_time()
        loop.step()
        used_s += time.process_time() - started_s
    return loop.ends / used_s


def main(seconds: float = 1.0, runs: int = 3) -> None:
    """Print the median rate of several runs for every size."""
    for size in SIZES:
        rate = statistics.median(measure(size, seconds) for _ in range(runs))
        print(
            f"endpoints {size.endpoints:5} members {size.members:3}"
            f" tasks a job {size.tasks:4}: {rate:8.0f} starts a second"
        )


if __name__ == "__main__":
    typer.run(main)
