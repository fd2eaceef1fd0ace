"""A simulation of several coordinators that checks their guarantees."""

from __future__ import annotations

import collections
import dataclasses
import random

from knapweedbeam_core import clock, effects, ids, jobs, outcomes, reasons
from knapweedbeam_core.entry import parts
from knapweedbeam_core.tickets import (
    coordinator,
    job_data,
    messages,
    ticket_codec,
    witness,
)

KEY = b"k" * 32
DOMAINS = {"a1": "a", "a2": "a", "a3": "a", "b1": "b"}
PEERS = tuple(parts.Peer(name, domain) for name, domain in DOMAINS.items())
MEMBER = "m"
TASKS = 3
DEADLINE_MS = 30_000
LONG_PAUSES_MS = tuple(clock.MINUTE_MS * minutes for minutes in (10, 16, 31, 62))
UNKNOWN = (
    reasons.Reason.OUTCOME_UNKNOWN,
    reasons.Reason.OWNER_LOST,
    reasons.Reason.EXPIRED,
)


class BreachError(AssertionError):
    """A guarantee was broken."""


@dataclasses.dataclass(slots=True)
class QueuedJob:
    """A job at the simulated dispatcher."""

    job: jobs.Job
    begun: bool = False
    requested: bool = False
    started: int = 0


@dataclasses.dataclass(slots=True)
class Process:
    """One incarnation of a process.

    `waiting` maps a ticket or handle to the submission digests of the waiting callers.
    An empty digest means a look-up or a cancel.
    """

    id: ids.ProcessId
    coordinator: coordinator.Coordinator
    time: clock.ManualClock
    queued_jobs: dict[str, QueuedJob] = dataclasses.field(default_factory=dict)
    waiting: dict[str, set[bytes]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message in flight."""

    sender: ids.ProcessId
    to: str
    message: effects.Message


def is_repeatable(text: str) -> bool:
    return sum(text.encode()) % 2 == 0


def get_answers(text: str) -> tuple[bytes, ...]:
    return tuple(f'"{text}/{index}"'.encode() for index in range(TASKS))


class Simulation:
    """Runs coordinators in a single thread and checks each of their answers."""

    def __init__(
        self,
        rng: random.Random,
        build: type[coordinator.Coordinator] = coordinator.Coordinator,
        immediate_delivery: bool = False,
    ) -> None:
        self.rng = rng
        self.immediate_delivery = immediate_delivery
        self.build = build
        self.incarnation = 0
        self.processes: dict[str, Process] = {}
        self.in_flight: list[Envelope] = []
        self.recorded: list[Envelope] = []
        self.partitions: set[frozenset[str]] = set()
        self.starts: collections.Counter[ids.TaskId] = collections.Counter()
        self.outcomes: dict[str, list[outcomes.Outcome]] = {}
        self.refusals: list[tuple[str, outcomes.Refusal]] = []
        self.sent_counts: collections.Counter[str] = collections.Counter()
        self.checked_replies: set[str] = set()
        self.answered: list[tuple[str, str, messages.Result]] = []
        self.handles: dict[str, set[str]] = {}
        for name in DOMAINS:
            self.start(name)
        self.update_live()

    def start(self, name: str) -> None:
        """Start a process with a new incarnation."""
        self.incarnation += 1
        me = ids.ProcessId(name, self.incarnation)
        time = clock.ManualClock(self.rng.randrange(10**6), 10**12)
        peers = tuple(peer for peer in PEERS if peer.name != name)
        rng = random.Random(self.rng.getrandbits(32))
        instance = self.build(me, DOMAINS[name], peers, KEY, time, rng)
        self.processes[name] = Process(me, instance, time)

    def crash(self, name: str) -> None:
        self.processes.pop(name, None)

    def crash_unless_last(self, name: str) -> None:
        """Crash a process, unless it is the only one that knows the opened ranges."""
        synced = {
            n for n, p in self.processes.items() if p.coordinator.registrar.is_synced()
        }
        if synced != {name}:
            self.crash(name)

    def is_partitioned(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.partitions

    def add_partition(self, one: str, other: str) -> None:
        self.partitions.add(frozenset((one, other)))

    def isolate(self, name: str) -> None:
        for other in DOMAINS:
            if other != name:
                self.add_partition(name, other)

    def update_live(self) -> None:
        """Update the live processes of every process to those it can reach."""
        for name, process in list(self.processes.items()):
            live = frozenset(
                other.id
                for peer, other in self.processes.items()
                if DOMAINS[peer] == DOMAINS[name]
                and not self.is_partitioned(name, peer)
            )
            self.apply(process, process.coordinator.on_live(live))

    def advance(self, by_ms: int) -> None:
        if self.immediate_delivery:
            self.flush()
        for process in list(self.processes.values()):
            process.time.advance(by_ms)
            self.apply(process, process.coordinator.tick())

    def advance_others(self, name: str, by_ms: int) -> None:
        """Advance the clocks of all processes but one, which is suspended."""
        for process in list(self.processes.values()):
            if process.id.name != name:
                process.time.advance(by_ms)
                self.apply(process, process.coordinator.tick())

    def deliver(self, index: int, duplicate: bool = False) -> None:
        """Deliver a message; a duplicated one also stays in flight."""
        envelope = self.in_flight[index] if duplicate else self.in_flight.pop(index)
        process = self.processes.get(envelope.to)
        if process is None or self.is_partitioned(envelope.sender.name, envelope.to):
            return
        self.apply(
            process, process.coordinator.on_message(envelope.sender, envelope.message)
        )

    def drop(self, index: int) -> None:
        self.in_flight.pop(index)

    def flush(self) -> None:
        while self.in_flight:
            self.deliver(0)

    def flush_to(self, name: str) -> None:
        """Deliver all messages to one process and leave the others in flight."""
        held = [envelope for envelope in self.in_flight if envelope.to != name]
        waiting = [envelope for envelope in self.in_flight if envelope.to == name]
        self.in_flight = waiting
        while self.in_flight and self.in_flight[0].to == name:
            self.deliver(0)
        self.in_flight += held

    def start_recording(self) -> list[Envelope]:
        """Return a list to which every message sent from now on is added."""
        self.recorded = []
        return self.recorded

    def build_job(
        self, text: str, body: bytes = b"{}", repeatable: bool = False
    ) -> jobs.Job:
        tasks = (jobs.TaskSpec(body),) * TASKS
        return jobs.Job(text, MEMBER, "s", "c", DEADLINE_MS, tasks, repeatable)

    def mint(self, name: str, count: int = 1) -> tuple[str, ...]:
        minted = self.processes[name].coordinator.mint(MEMBER, count)
        return minted if isinstance(minted, tuple) else ()

    def submit(self, name: str, text: str, body: bytes = b"{}") -> None:
        process = self.processes[name]
        job = self.build_job(text, body, is_repeatable(text))
        job = dataclasses.replace(job, due_ms=process.time.now_ms() + DEADLINE_MS)
        process.waiting.setdefault(text, set()).add(job_data.get_submission_digest(job))
        self.apply(process, process.coordinator.submit(job))

    def submit_new(self, name: str, key: str) -> None:
        process = self.processes[name]
        job = self.build_job("", repeatable=len(key) % 2 == 0)
        job = dataclasses.replace(job, due_ms=process.time.now_ms() + DEADLINE_MS)
        result = process.coordinator.submit_new(job, key)
        if isinstance(result, outcomes.Refusal):
            return
        handle, produced = result
        process.waiting.setdefault(handle, set()).add(
            job_data.get_submission_digest(job)
        )
        self.handles.setdefault(key, set()).add(handle)
        self.apply(process, produced)

    def look_up(self, name: str, text: str) -> None:
        self.processes[name].waiting.setdefault(text, set()).add(b"")
        self.apply(
            self.processes[name], self.processes[name].coordinator.look_up(text, MEMBER)
        )

    def cancel(self, name: str, text: str) -> None:
        self.processes[name].waiting.setdefault(text, set()).add(b"")
        self.apply(
            self.processes[name], self.processes[name].coordinator.cancel(text, MEMBER)
        )

    def apply(self, process: Process, produced: parts.Effects) -> None:
        """Apply the effects that a coordinator returned."""
        for effect in produced:
            match effect:
                case effects.Send(to, message):
                    self.sent_counts[type(message).__name__] += 1
                    if isinstance(message, messages.TicketAnswered):
                        self.check_recorded_at_witness(
                            process, message.ticket, message.result
                        )
                    envelope = Envelope(process.id, to, message)
                    self.in_flight.append(envelope)
                    self.recorded.append(envelope)
                case effects.Enqueue(job):
                    if job.ticket in process.queued_jobs:
                        raise BreachError(f"{job.ticket} was queued twice")
                    process.queued_jobs[job.ticket] = QueuedJob(job)
                case effects.JobBegun(text):
                    process.queued_jobs[text].begun = True
                case effects.JobAbandoned(text):
                    if process.queued_jobs.pop(text).begun:
                        raise BreachError(f"{text} was begun and abandoned")
                case effects.CancelJob(text):
                    self.end_cancelled(process, text)
                case effects.Answer(text, result, digest, key_ticket):
                    self.check_recorded_at_witness(process, text, result)
                    self.check_requested(process, text, digest)
                    self.answered.append((process.id.name, text, result))
                    self.check_answer(key_ticket or text, result)

    def end_cancelled(self, process: Process, text: str) -> None:
        queued = process.queued_jobs.get(text)
        if queued is None:
            return
        if queued.started:
            self.end(process, text, outcomes.Failed(reasons.Reason.CANCELLED))
        else:
            self.end(process, text, outcomes.NotRun(reasons.Reason.CANCELLED))

    def end(self, process: Process, text: str, outcome: outcomes.Outcome) -> None:
        del process.queued_jobs[text]
        self.apply(process, process.coordinator.settle(text, outcome))

    def run_step(self, name: str, text: str, fail: bool = False) -> None:
        """Advance a job of a process by one step."""
        process = self.processes[name]
        queued = process.queued_jobs[text]
        if not queued.begun:
            if queued.requested:
                return
            if fail:
                self.end(process, text, outcomes.NotRun(reasons.Reason.DEADLINE))
                return
            queued.requested = True
            self.apply(process, process.coordinator.begin(text))
        elif queued.started < TASKS and not fail:
            self.start_task(ids.TaskId(text, queued.started))
            queued.started += 1
        elif fail:
            failed = outcomes.Failed(reasons.Reason.TASK_FAILED, queued.started > 0)
            self.end(process, text, failed)
        else:
            self.end(process, text, outcomes.Complete(get_answers(text)))

    def start_task(self, task: ids.TaskId) -> None:
        self.starts[task] += 1
        if self.starts[task] > 1:
            raise BreachError(f"{task} started twice")
        for key, handles in self.handles.items():
            if task.ticket in handles and self.count_started(handles) > 1:
                raise BreachError(f"own key {key} started twice")
        earlier = self.outcomes.get(task.ticket, [])
        if any(isinstance(outcome, outcomes.NotRun) for outcome in earlier):
            raise BreachError(f"{task} started after not run")

    def count_started(self, texts: set[str]) -> int:
        return len({task.ticket for task in self.starts if task.ticket in texts})

    def check_recorded_at_witness(
        self, process: Process, text: str, result: messages.Result
    ) -> None:
        """Check that the witness has the outcome of an answered non-repeatable job."""
        record = process.coordinator.owner.records.by_text.get(text)
        if record is None or record.repeatable or record.ticket.witness is None:
            return
        if not isinstance(result, outcomes.Complete) or text in self.checked_replies:
            return
        self.checked_replies.add(text)
        parsed = record.ticket.witness
        usable = process.coordinator.witness_selector.is_usable(parsed)
        peer = self.processes.get(parsed.name)
        if not usable or peer is None or peer.id != parsed:
            return
        if peer.coordinator.witness.dropped_entries.may_include(record.ticket):
            return
        entry = peer.coordinator.witness.entries.get(text)
        if entry is None or entry.state is not witness.EntryState.SETTLED:
            raise BreachError(
                f"{text} was answered before its witness stored the outcome"
            )

    def check_requested(self, process: Process, text: str, digest: bytes) -> None:
        """Check that a caller waits; a digest selects the callers with that body."""
        waiting = process.waiting.get(text)
        if not waiting and any(text in handles for handles in self.handles.values()):
            return
        if not waiting:
            raise BreachError(
                f"{text} was answered without a waiting caller at {process.id.name}"
            )
        waiting.discard(digest)
        if not digest or not waiting:
            del process.waiting[text]

    def check_answer(
        self, text: str, result: outcomes.Outcome | outcomes.Refusal
    ) -> None:
        """Check an answer against earlier answers and started tasks of its ticket."""
        if isinstance(result, outcomes.Refusal):
            self.refusals.append((text, result))
            return
        earlier = self.outcomes.setdefault(text, [])
        handled = any(text in handles for handles in self.handles.values())
        if self.immediate_delivery and not handled:
            self.check_unknown_justified(text, earlier, result)
        for outcome in earlier:
            self.check_consistent(text, outcome, result)
        complete = outcomes.Complete(get_answers(text))
        if isinstance(result, outcomes.Complete) and result != complete:
            raise BreachError(f"{text} got a partial answer or another ticket's")
        started = any(self.starts[ids.TaskId(text, i)] for i in range(TASKS))
        if isinstance(result, outcomes.NotRun) and started:
            raise BreachError(
                f"{text} was reported as not run after a task had started"
            )
        earlier.append(result)

    def check_unknown_justified(
        self,
        text: str,
        earlier: list[outcomes.Outcome],
        result: outcomes.Outcome,
    ) -> None:
        """Check that an outcome is unknown only if all that knew it have crashed."""
        if not isinstance(result, outcomes.Failed) or result.reason not in UNKNOWN:
            return
        parsed = ticket_codec.parse_unverified(text)
        assert parsed is not None
        if self.is_up(parsed.owner):
            raise BreachError(f"{text}: {result}, although its owner is live")
        must_run_once = not is_repeatable(text)
        complete = any(isinstance(first, outcomes.Complete) for first in earlier)
        if must_run_once and complete and self.is_up(parsed.witness):
            raise BreachError(f"{text}: {result}, although its witness is live")

    def is_up(self, process_id: ids.ProcessId | None) -> bool:
        return process_id is not None and any(
            p.id == process_id for p in self.processes.values()
        )

    def check_consistent(
        self, text: str, first: outcomes.Outcome, later: outcomes.Outcome
    ) -> None:
        """Check that a later outcome does not contradict an earlier one."""
        if isinstance(first, outcomes.Failed) and first.reason in UNKNOWN:
            return
        if isinstance(later, outcomes.Failed) and later.reason in UNKNOWN:
            return
        both_not_run = isinstance(first, outcomes.NotRun) and isinstance(
            later, outcomes.NotRun
        )
        if not both_not_run and first != later:
            raise BreachError(f"{text}: {later} after {first}")

    def heal_and_drain(self) -> None:
        """Remove all faults, finish all jobs and check that no caller still waits."""
        self.partitions.clear()
        for name in DOMAINS:
            if name not in self.processes:
                self.start(name)
        self.update_live()
        for _ in range(80):
            self.flush()
            for name, process in self.processes.items():
                for text in list(process.queued_jobs):
                    if text in process.queued_jobs:
                        self.run_step(name, text)
            self.advance(500)
        for process in self.processes.values():
            if process.waiting:
                raise BreachError(f"{process.id.name} never answered {process.waiting}")


def get_owner(text: str) -> ids.ProcessId:
    parsed = ticket_codec.parse_unverified(text)
    assert parsed is not None
    return parsed.owner


def get_witness(text: str) -> ids.ProcessId | None:
    parsed = ticket_codec.parse_unverified(text)
    assert parsed is not None
    return parsed.witness


def run_history(
    seed: int,
    steps: int,
    build: type[coordinator.Coordinator] = coordinator.Coordinator,
    loss: float = 0.1,
    long: bool = False,
) -> Simulation:
    """Run and check a random history.

    Without loss, all messages are delivered before the clock advances. A long history
    spans several retention times and uses no own keys.
    """
    rng = random.Random(seed)
    simulation = Simulation(rng, build, immediate_delivery=not loss)
    texts: list[str] = []
    for _ in range(steps):
        if not long:
            run_random_step(simulation, rng, texts, loss)
        elif rng.random() < 0.02:
            simulation.advance_others(
                rng.choice((*DOMAINS, "")), rng.choice(LONG_PAUSES_MS)
            )
        else:
            run_random_step(simulation, rng, texts, loss, keys=False)
    simulation.heal_and_drain()
    return simulation


def run_random_step(
    simulation: Simulation,
    rng: random.Random,
    texts: list[str],
    loss: float,
    keys: bool = True,
) -> None:
    """Perform one random step."""
    names = sorted(simulation.processes)
    name = rng.choice(names) if names else "a1"
    roll = rng.random()
    if not names or roll < 0.02:
        down = sorted(set(DOMAINS) - set(simulation.processes))
        if down:
            simulation.start(rng.choice(down))
    elif roll < 0.03:
        simulation.crash_unless_last(name)
    elif roll < 0.04 and loss:
        simulation.add_partition(*rng.sample(sorted(DOMAINS), 2))
    elif roll < 0.06:
        simulation.partitions.clear()
    elif roll < 0.09:
        simulation.update_live()
    elif roll < 0.14:
        simulation.advance(rng.choice((20, 200, 500, 1_000)))
    elif roll < 0.15:
        simulation.processes[name].time.epoch_ms += rng.choice((-(10**9), 10**9))
    elif roll < 0.19:
        texts += simulation.mint(name)
    elif roll < 0.22 and keys:
        simulation.submit_new(name, f"key {rng.randrange(8)}")
    elif roll < 0.31 and texts:
        body = b"[]" if rng.random() < 0.05 else b"{}"
        simulation.submit(name, rng.choice(texts[-8:]), body)
    elif roll < 0.33 and texts:
        simulation.look_up(name, rng.choice(texts))
    elif roll < 0.34 and texts:
        simulation.cancel(name, rng.choice(texts[-4:]))
    elif roll < 0.62 and simulation.processes[name].queued_jobs:
        held = sorted(simulation.processes[name].queued_jobs)
        simulation.run_step(name, rng.choice(held), rng.random() < 0.05)
    elif simulation.in_flight:
        index = rng.randrange(min(len(simulation.in_flight), 6))
        if rng.random() < loss:
            simulation.drop(index)
        else:
            simulation.deliver(index, rng.random() < loss)
