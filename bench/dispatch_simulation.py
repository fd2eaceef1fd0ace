"""A simulation of dispatchers, endpoints and links in virtual time.

A heap of events drives real dispatchers; no other part of the system runs. A task
takes its work divided by its endpoint's pace. The simulation records each breach of
the dispatchers' guarantees in `breaches`. Tests and experiments use it.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import heapq
import itertools
import random
import typing

from knapweedbeam_core import clock, effects, ids, jobs, outcomes, reasons, rules
from knapweedbeam_core.dispatch import dispatcher
from knapweedbeam_core.entry import parts

SERVICE = "order-desk"
JOB_CLASS = "quote"
WALL_MS = 1_700_000_000_000
FOREVER_MS = 1 << 50


class DriftingClock:
    """A process's monotonic clock, with its own origin and rate over virtual time."""

    def __init__(self, base: clock.ManualClock, origin_ms: int, rate: float) -> None:
        self.base = base
        self.origin_ms = origin_ms
        self.rate = rate

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds."""
        return self.origin_ms + int(self.base.monotonic_ms * self.rate)

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return WALL_MS + self.base.monotonic_ms


@dataclasses.dataclass(slots=True, eq=False)
class FakeEndpoint:
    """A fake endpoint, which runs every task at once, also those over its slots.

    `over_slots` counts the starts for which no slot was free.
    """

    name: str
    domain: str
    slots: int
    pace: float
    incarnation: int = 1
    sequence: int = 0
    running: int = 0
    starts: int = 0
    failures: int = 0
    over_slots: int = 0
    max_running: int = 0
    failing: bool = False
    is_isolated: bool = False
    leaving_ms: int = FOREVER_MS
    last_start_ms: int = -1
    failed_ms: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, eq=False)
class EntryProcess:
    """One incarnation of an entry VM's process."""

    process: ids.ProcessId
    domain: str
    dispatcher: dispatcher.Dispatcher
    clock: DriftingClock
    is_alive: bool = True


@dataclasses.dataclass(slots=True)
class JobRecord:
    """The history of one job; `work_ms` are the run times of its tasks at pace 1."""

    job: jobs.Job
    owner: str
    submitted_ms: float
    work_ms: tuple[float, ...]
    ended_ms: float = -1.0
    outcome: outcomes.Outcome | None = None
    starts: set[int] = dataclasses.field(default_factory=set)
    not_started: set[int] = dataclasses.field(default_factory=set)
    is_failing: bool = False
    is_lost: bool = False


@dataclasses.dataclass(slots=True)
class Settings:
    """The size and faults of a simulation; link delays are one way, in milliseconds."""

    domains: int = 3
    per_domain: int = 2
    endpoints: int = 24
    slots: int = 8
    same_domain_ms: float = 0.2
    cross_domain_ms: float = 1.0
    task_hop_ms: float = 0.5
    begin_ms: float = 0.6
    paces: tuple[float, ...] = (1.0, 2.0, 3.0, 4.0)
    same_domain_share: float = 1.0
    policy: str = "least_finish"
    members: int = 2
    message_weight: int = 1
    clock_drift: float = 0.0
    loss_probability: float = 0.0
    jitter_ms: float = 0.0
    build_dispatcher: collections.abc.Callable[..., dispatcher.Dispatcher] = (
        dispatcher.Dispatcher
    )


Action = collections.abc.Callable[[], None]


class Simulation:
    """Entry VMs, endpoints and jobs, driven by events in order of virtual time."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.base = clock.ManualClock(0, WALL_MS)
        self.now = 0.0
        self.events: list[tuple[float, int, Action]] = []
        self.event_numbers = itertools.count()
        self.processes: dict[str, EntryProcess] = {}
        self.endpoints: dict[str, FakeEndpoint] = {}
        self.records: dict[str, JobRecord] = {}
        self.messages: dict[str, int] = {}
        self.frames = 0
        self.partitions: set[frozenset[str]] = set()
        self.breaches: list[str] = []
        self.task_starts = 0
        self.incarnations = itertools.count(1)
        self.rules = rules.Rules(
            version=1,
            weights=rules.Weights(1, settings.message_weight),
            members={f"m{i}": rules.MemberRules(f"m{i}") for i in range(60)},
            services={SERVICE: rules.ServiceRules(SERVICE)},
        )
        self.tickets = itertools.count()
        self.used_ms: dict[str, float] = {}
        self.names = [
            (f"d{d}v{v}", f"d{d}")
            for d in range(settings.domains)
            for v in range(settings.per_domain)
        ]
        for name, domain in self.names:
            self.start_process(name, domain)
        for index in range(settings.endpoints):
            pace = settings.paces[index % len(settings.paces)]
            domain = f"d{index % settings.domains}"
            name = f"e{index}"
            self.endpoints[name] = FakeEndpoint(name, domain, settings.slots, pace)
            self.schedule(self.rng.random() * 500, self.build_announce(name))

    # Events.

    def schedule(self, time_ms: float, action: Action) -> None:
        """Run an action at a virtual time."""
        heapq.heappush(self.events, (time_ms, next(self.event_numbers), action))

    def run(self, until_ms: float) -> None:
        """Run all actions that are due until a time."""
        while self.events and self.events[0][0] <= until_ms:
            time_ms, _, action = heapq.heappop(self.events)
            self.set_now(time_ms)
            action()
        self.set_now(until_ms)

    def set_now(self, time_ms: float) -> None:
        """Set virtual time on all clocks."""
        self.now = max(self.now, time_ms)
        self.base.monotonic_ms = int(self.now)
        self.base.epoch_ms = WALL_MS + int(self.now)

    # Processes.

    def start_process(self, name: str, domain: str) -> None:
        """Start a new incarnation of an entry VM."""
        peers = tuple(parts.Peer(n, d) for n, d in self.names if n != name)
        process = ids.ProcessId(name, next(self.incarnations))
        rate = 1.0 + self.settings.clock_drift * self.rng.uniform(-1, 1)
        own_clock = DriftingClock(self.base, self.rng.randrange(10_000), rate)
        built = self.settings.build_dispatcher(
            process,
            domain,
            peers,
            parts.NullLimiter(),
            own_clock,
            random.Random(self.rng.random()),
            self.settings.policy,
        )
        entry = EntryProcess(process, domain, built, own_clock)
        self.processes[name] = entry
        self.apply_effects(entry, built.on_rules(self.rules))
        self.schedule(
            self.now + self.rng.random() * parts.TICK_MS, self.build_tick(entry)
        )

    def build_tick(self, entry: EntryProcess) -> Action:
        """Return an action that ticks a process and schedules the next tick."""

        def tick() -> None:
            if entry.is_alive:
                self.apply_effects(entry, entry.dispatcher.tick())
                self.schedule(self.now + parts.TICK_MS, tick)

        return tick

    def kill(self, name: str) -> None:
        """Kill an entry VM; its jobs are lost, but their running tasks continue."""
        self.processes[name].is_alive = False
        for record in self.records.values():
            if record.owner == name and record.outcome is None:
                record.is_lost = True

    def restart(self, name: str, domain: str) -> None:
        """Kill an entry VM and start its next incarnation."""
        self.kill(name)
        self.start_process(name, domain)

    def isolate(self, endpoint: FakeEndpoint) -> None:
        """Stop an endpoint's announcements; entry VMs can still send it tasks."""
        endpoint.is_isolated = True

    def is_partitioned(self, one: str, other: str) -> bool:
        """Say whether two processes or failure domains cannot reach each other."""
        return frozenset((one, other)) in self.partitions

    def apply_effects(
        self, entry: EntryProcess, produced: collections.abc.Sequence[typing.Any]
    ) -> None:
        """Carry out the effects of a process."""
        targets = set()
        for effect in produced:
            if isinstance(effect, effects.Send):
                targets.add(effect.to)
                self.send(entry, effect)
            elif isinstance(effect, effects.StartTask):
                self.send_task(entry, effect)
            elif isinstance(effect, effects.RequestBegin):
                self.confirm_start(entry, effect.ticket)
            elif isinstance(effect, effects.JobEnded):
                self.end_job(effect)
        self.frames += len(targets)

    def send(self, entry: EntryProcess, effect: effects.Send) -> None:
        """Send a message over a link, which may delay, lose or duplicate it."""
        kind = type(effect.message).__name__
        self.messages[kind] = self.messages.get(kind, 0) + 1
        target = self.processes[effect.to]
        is_same_domain = target.domain == entry.domain
        delay_ms = (
            self.settings.same_domain_ms
            if is_same_domain
            else self.settings.cross_domain_ms
        )
        delay_ms += self.rng.random() * self.settings.jitter_ms
        sender = entry.process
        for _ in range(2 if self.rng.random() < self.settings.loss_probability else 1):
            if self.rng.random() >= self.settings.loss_probability:
                self.schedule(
                    self.now + delay_ms,
                    lambda: self.deliver(sender, effect, entry.domain),
                )

    def deliver(self, sender: ids.ProcessId, effect: effects.Send, domain: str) -> None:
        """Deliver a message, unless the target is dead or partitioned."""
        target = self.processes[effect.to]
        is_cut = self.is_partitioned(domain, target.domain) or self.is_partitioned(
            sender.name, effect.to
        )
        if target.is_alive and not is_cut:
            produced = target.dispatcher.on_message(sender, effect.message)
            self.apply_effects(target, produced)

    def confirm_start(self, entry: EntryProcess, ticket: str) -> None:
        """Confirm after a round trip that the job may start."""

        def start() -> None:
            if entry.is_alive:
                self.apply_effects(entry, entry.dispatcher.start_job(ticket))

        self.schedule(self.now + self.settings.begin_ms, start)

    # Endpoints.

    def build_announce(self, name: str) -> Action:
        """Return an action that announces an endpoint every 500 ms."""
        endpoint = self.endpoints[name]

        def announce() -> None:
            if not endpoint.is_isolated:
                self.announce(endpoint)
            self.schedule(self.now + 500, announce)

        return announce

    def announce(self, endpoint: FakeEndpoint) -> None:
        """Announce an endpoint to a random entry VM that it can reach.

        With `same_domain_share` as probability, an entry VM of its own failure domain
        is taken if there is one.
        """
        endpoint.sequence += 1
        reachable = [
            entry
            for entry in self.processes.values()
            if entry.is_alive and not self.is_partitioned(entry.domain, endpoint.domain)
        ]
        if not reachable:
            return
        local = [entry for entry in reachable if entry.domain == endpoint.domain]
        if local and self.rng.random() < self.settings.same_domain_share:
            reachable = local
        entry = self.rng.choice(reachable)
        record = parts.Announcement(
            endpoint.name,
            SERVICE,
            f"http://{endpoint.name}",
            endpoint.domain,
            f"w-{endpoint.name}",
            endpoint.incarnation,
            endpoint.sequence,
            endpoint.slots,
            64,
            endpoint.leaving_ms <= self.now,
        )
        self.apply_effects(entry, entry.dispatcher.announce(record)[1])

    def leave(self, name: str) -> None:
        """Let an endpoint announce that it is leaving."""
        endpoint = self.endpoints[name]
        endpoint.leaving_ms = int(self.now)
        if not endpoint.is_isolated:
            self.announce(endpoint)

    def send_task(self, entry: EntryProcess, start: effects.StartTask) -> None:
        """Send a task to its endpoint and check that it starts only once."""
        record = self.records[start.task.ticket]
        index = start.task.index
        if index in record.starts:
            self.breaches.append(f"{start.task} started twice")
        record.starts.add(index)
        endpoint = self.endpoints[start.endpoint]
        endpoint.last_start_ms = max(endpoint.last_start_ms, int(self.now))
        self.task_starts += 1
        hop_ms = self.settings.task_hop_ms
        if self.is_partitioned(entry.domain, endpoint.domain):
            result = effects.TaskNotStarted(reasons.Reason.ENDPOINT_LOST)
            self.schedule(
                self.now + hop_ms, self.build_task_end(entry, start, result, 1)
            )
            return
        self.schedule(self.now + hop_ms, lambda: self.run_task(entry, start, endpoint))

    def run_task(
        self, entry: EntryProcess, start: effects.StartTask, endpoint: FakeEndpoint
    ) -> None:
        """Run a task at its endpoint and schedule its end."""
        endpoint.starts += 1
        endpoint.running += 1
        endpoint.max_running = max(endpoint.max_running, endpoint.running)
        if endpoint.running > endpoint.slots:
            endpoint.over_slots += 1
        record = self.records[start.task.ticket]
        result: effects.TaskResult = effects.TaskAnswered(
            str(start.task.index).encode()
        )
        run_ms = max(1, round(record.work_ms[start.task.index] / endpoint.pace))
        if endpoint.failing or record.is_failing:
            result = effects.TaskFailed(reasons.Reason.TASK_FAILED)
            run_ms = 1
            endpoint.failures += 1
            endpoint.failed_ms.append(self.now)
        self.used_ms[record.job.member] = (
            self.used_ms.get(record.job.member, 0.0) + run_ms
        )

        def finish() -> None:
            endpoint.running -= 1
            hop_ms = self.settings.task_hop_ms
            self.schedule(
                self.now + hop_ms, self.build_task_end(entry, start, result, run_ms)
            )

        self.schedule(self.now + run_ms, finish)

    def build_task_end(
        self,
        entry: EntryProcess,
        start: effects.StartTask,
        result: effects.TaskResult,
        run_ms: int,
    ) -> Action:
        """Return an action that reports a task's end to the dispatcher."""

        def end() -> None:
            if isinstance(result, effects.TaskNotStarted):
                self.records[start.task.ticket].starts.discard(start.task.index)
            if entry.is_alive:
                task_end = effects.TaskEnd(start.task, start.endpoint, result, run_ms)
                self.apply_effects(entry, entry.dispatcher.handle_task_end(task_end))

        return end

    # Jobs.

    def submit(
        self,
        owner: str,
        member: str,
        work_ms: tuple[float, ...],
        job_class: str = JOB_CLASS,
        due_in_ms: int = 60_000,
        declared: bool = False,
        repeatable: bool = False,
    ) -> JobRecord:
        """Submit a job to an entry VM and return its record.

        With `declared`, the tasks state their work as expected run time.
        """
        entry = self.processes[owner]
        ticket = f"t{next(self.tickets)}"
        specs = tuple(
            jobs.TaskSpec(b"{}", run_ms=round(ms) if declared else 0) for ms in work_ms
        )
        due_ms = entry.clock.now_ms() + due_in_ms
        job = jobs.Job(ticket, member, SERVICE, job_class, due_ms, specs, repeatable)
        record = JobRecord(job, owner, self.now, work_ms)
        self.records[ticket] = record
        if entry.is_alive:
            self.apply_effects(entry, entry.dispatcher.enqueue(job))
        else:
            record.is_lost = True
        return record

    def end_job(self, ended: effects.JobEnded) -> None:
        """Record and check a job's outcome.

        It must be the only one, a job reported as not run must have started no task,
        and a complete one must have all answers in order.
        """
        record = self.records[ended.ticket]
        if record.outcome is not None:
            self.breaches.append(f"{ended.ticket} ended twice")
        record.outcome = ended.outcome
        record.ended_ms = self.now
        if isinstance(ended.outcome, outcomes.NotRun) and record.starts:
            self.breaches.append(f"{ended.ticket} reported as not run, but started")
        if isinstance(ended.outcome, outcomes.Complete):
            expected = tuple(str(i).encode() for i in range(len(record.work_ms)))
            if ended.outcome.answers != expected:
                self.breaches.append(f"{ended.ticket} has wrong answers")

    def count_over_slots(self) -> int:
        """Return the number of starts over slots at all endpoints."""
        return sum(endpoint.over_slots for endpoint in self.endpoints.values())
