"""A simulation of dispatchers, endpoints and a network in virtual time.

It runs real dispatchers and records each breach of what they guarantee.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import math
import random
import typing

from knapweedbeam_core import clock, effects
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import (
    attempt_tracker,
    calls,
    clocks,
    dispatcher,
    messages,
    room_policy,
)

LATENCY_MS = 1
LEASE_MS = 1_000
STOP_MS = 50
CALL_TIMEOUT_MS = 300
CRASH_DELAY_MS = 10
RESTART_MS = 3_000
ANNOUNCE_INTERVAL_MS = 1_500
# Interval at which dispatchers list their endpoints to their possible successors.
LIST_INTERVAL_MS = 1_000
# Of the holds that were sent to an endpoint, the last ones may be open.
MAX_OPEN_CALLS = 20
LISTED_ENDS = 500
BOUNDS = attempt_tracker.ProtocolBounds(
    LEASE_MS, STOP_MS, ANNOUNCE_INTERVAL_MS, listed_ends=LISTED_ENDS
)
ENTRY = "entry"


class Dispatching(typing.Protocol):
    """A dispatcher, or several that share the endpoints."""

    name: str

    def on_submit(self, sender: str, submit: messages.Submit) -> dispatcher.Effects:
        """Handle a job."""

    def on_start_sent(self, start: calls.Start) -> None:
        """Record that a start is being sent."""

    def on_start_answer(
        self, start: calls.Start, answer: calls.Answer
    ) -> dispatcher.Effects:
        """Handle the answer to a start."""

    def on_stop_answer(
        self, stop: calls.Stop, answer: calls.Answer
    ) -> dispatcher.Effects:
        """Handle the answer to a stop."""

    def build_hold(self, name: str) -> calls.Hold | None:
        """Return the next hold for an endpoint."""

    def on_hold_result(
        self, hold: calls.Hold, answer: calls.HoldResult
    ) -> dispatcher.Effects:
        """Handle an endpoint's lists."""

    def on_hold_failed(
        self, hold: calls.Hold, failed: calls.HoldFailed
    ) -> dispatcher.Effects:
        """Handle a hold without lists."""

    def build_probe(self, name: str) -> calls.Hold | None:
        """Return a probe of an endpoint."""

    def on_probe_result(
        self, hold: calls.Hold, answer: calls.HoldResult | calls.HoldFailed
    ) -> dispatcher.Effects:
        """Handle the result of a probe."""

    def on_advice(
        self, asked: calls.RequestAdvice, advice: calls.Advice | None
    ) -> dispatcher.Effects:
        """Handle the answer to a request for advice."""

    def list_speeds(self) -> messages.SpeedsLearned:
        """Return the endpoints that may run tasks, with their speeds."""

    def on_speeds(self, sender: str, learned: messages.SpeedsLearned) -> None:
        """Store another dispatcher's endpoints."""

    def on_confirmed(self, confirmed: messages.JobConfirmed) -> dispatcher.Effects:
        """Handle that an entry VM still sends a job here."""

    def get_placement_pause_ms(self) -> int:
        """Return how long the next placement should wait."""

    def place(self) -> dispatcher.Effects:
        """Start the waiting tasks that fit."""


@dataclasses.dataclass(slots=True)
class RunningAttempt:
    """An attempt that runs on a fake endpoint, and how it will end."""

    task: str
    number: int
    cpu_millis: int
    began_ms: int
    ends_ms: int
    kind: calls.EndKind = calls.EndKind.DONE


class FakeEndpoint:
    """An endpoint that follows the platform's protocol, with faults to switch on.

    `highest_ended` holds the highest attempt number of each task that has ended or
    was stopped; that attempt and earlier ones start no more.
    """

    def __init__(
        self,
        simulation: Simulation,
        name: str,
        cpu_millis: int = 64_000,
        speed: float = 1.0,
    ) -> None:
        self.simulation = simulation
        self.name = name
        self.address = name
        self.cpu_millis = cpu_millis
        self.speed = speed
        self.born_ms = 1
        self.sequence = 0
        self.fence = 0
        self.until_ms = 0
        self.running_attempts: dict[str, RunningAttempt] = {}
        self.ended: list[calls.End] = []
        self.highest_ended: dict[str, int] = {}
        self.end_numbers = itertools.count(1)
        self.is_unresponsive = False
        self.has_ended = False
        self.is_failing = False
        self.is_hanging = False
        self.drops_answers = False
        self.start_delay_ms = 0
        self.rack = "r1"
        self.domain = "domain"
        self.cold_ms = 0
        self.saved_progress: dict[str, str] = {}
        self.polls: list[
            tuple[calls.Hold, typing.Callable[[calls.HoldResult], None]]
        ] = []
        # Each closes the connection of one call when the process ends.
        self.open_calls: list[typing.Callable[[], None]] = []

    def build_announcement(
        self, state: messages.EndpointState = messages.EndpointState.UP
    ) -> messages.EndpointNews:
        """Return the next announcement, with a higher sequence number."""
        self.sequence += 1
        return messages.EndpointNews(
            self.name,
            self.born_ms,
            self.sequence,
            "service",
            self.address,
            self.domain,
            state,
            self.cpu_millis,
            100_000,
            0,
            ("a", self.rack),
            self.simulation.now_ms,
            rack=self.rack,
            cold_ms=self.cold_ms,
        )

    def start(self, call: calls.Start) -> calls.Verdict:
        """Handle a call to start an attempt."""
        if call.fence < self.fence:
            return calls.Verdict.FENCED
        self.fence = call.fence
        if call.until_ms <= self.simulation.now_ms:
            return calls.Verdict.LEASE_EXPIRED
        self.until_ms = max(self.until_ms, call.until_ms)
        if call.number <= self.highest_ended.get(call.task, 0):
            return calls.Verdict.SUPERSEDED
        if call.task in self.running_attempts:
            return calls.Verdict.ACCEPTED
        if not self.simulation.is_ticket_valid(self, call):
            return calls.Verdict.NO_TICKET
        self.simulation.record_start(self, call)
        work_ms = self.simulation.get_work_ms(call.task)
        ends_ms = self.simulation.now_ms + int(work_ms / self.speed)
        run = RunningAttempt(
            call.task,
            call.number,
            self.simulation.cpu_millis[call.task.partition(".")[0]],
            self.simulation.now_ms,
            10**9 if self.is_hanging else ends_ms,
        )
        if self.is_failing:
            run.kind, run.ends_ms = calls.EndKind.FAILED, self.simulation.now_ms + 1
        self.running_attempts[call.task] = run
        self.simulation.crash_if_deadly(self, call.task)
        self.simulation.schedule(run.ends_ms, lambda: self.end(run, run.kind))
        return calls.Verdict.ACCEPTED

    def stop(self, call: calls.Stop) -> calls.Verdict:
        """Handle a call to stop a task's attempts up to a number."""
        if call.fence < self.fence:
            return calls.Verdict.FENCED
        self.fence = call.fence
        self.highest_ended[call.task] = max(
            self.highest_ended.get(call.task, 0), call.number
        )
        run = self.running_attempts.get(call.task)
        if run is not None and run.number <= call.number:
            self.simulation.schedule_after(
                STOP_MS - 10, lambda: self.end(run, calls.EndKind.STOPPED)
            )
        return calls.Verdict.ACCEPTED

    def end(self, run: RunningAttempt, kind: calls.EndKind) -> None:
        """End an attempt, record it and answer the waiting holds."""
        if self.running_attempts.get(run.task) is not run:
            return
        del self.running_attempts[run.task]
        self.highest_ended[run.task] = max(
            self.highest_ended.get(run.task, 0), run.number
        )
        self.ended.append(calls.End(next(self.end_numbers), run.task, run.number, kind))
        self.answer_polls()

    def expire(self) -> None:
        """End all running attempts once the lease has expired."""
        if self.running_attempts and self.simulation.now_ms > self.until_ms:
            for run in list(self.running_attempts.values()):
                self.end(run, calls.EndKind.EXPIRED)

    def hold(
        self, call: calls.Hold, reply: typing.Callable[[calls.HoldResult], None]
    ) -> calls.Verdict | None:
        """Handle a hold, which renews the lease and polls for ended attempts.

        `reply` gets the lists at once if an end is unacknowledged or the hold does
        not wait, else at the next end or after its wait time. Returns a verdict only
        if the hold is refused.
        """
        if call.fence < self.fence:
            return calls.Verdict.FENCED
        self.fence = call.fence
        self.until_ms = max(self.until_ms, min(call.until_ms, self.max_until_ms))
        self.ended = [end for end in self.ended if end.place > call.acked_end]
        if self.ended or not call.wait_ms:
            reply(self.build_lists())
            return None
        waiting = (call, reply)
        self.polls.append(waiting)
        self.simulation.schedule_after(call.wait_ms, lambda: self.time_out(waiting))
        return None

    def time_out(
        self, waiting: tuple[calls.Hold, typing.Callable[[calls.HoldResult], None]]
    ) -> None:
        """Answer a hold whose wait time is over."""
        if waiting in self.polls:
            self.polls.remove(waiting)
            waiting[1](self.build_lists())

    @property
    def max_until_ms(self) -> int:
        """Return the end of the longest lease that may be granted now."""
        return self.simulation.now_ms + LEASE_MS

    def answer_polls(self) -> None:
        """Answer all waiting holds."""
        polls, self.polls = self.polls, []
        for _, reply in polls:
            reply(self.build_lists())

    def build_lists(self) -> calls.HoldResult:
        """Return the lists of running and ended attempts."""
        running = tuple(
            calls.Running(r.task, r.number, self.saved_progress.get(r.task, ""))
            for r in self.running_attempts.values()
        )
        reading = clocks.Reading(self.simulation.now_ms, 0, 0)
        ends = tuple(self.ended[:LISTED_ENDS])
        return calls.HoldResult(self.born_ms, reading, running, ends)

    def crash(self) -> None:
        """Drop all attempts and stop answering."""
        self.running_attempts.clear()
        self.polls.clear()
        self.is_unresponsive = True

    def revive(self) -> None:
        """Start the next incarnation under the same id and address, without state."""
        self.is_unresponsive = self.has_ended = False
        self.born_ms += 1
        self.sequence = self.fence = self.until_ms = 0
        self.ended = []
        self.highest_ended = {}
        self.end_numbers = itertools.count(1)

    def end_process(self) -> None:
        """Drop all attempts, close all connections and refuse new ones."""
        self.crash()
        self.refuse_connections()

    def cut_off(self, is_refusing: bool) -> None:
        """Cut off the endpoint, which runs on: calls are refused or left unanswered."""
        self.polls.clear()
        self.is_unresponsive = True
        if is_refusing:
            self.refuse_connections()

    def refuse_connections(self) -> None:
        """Close all connections and refuse new ones."""
        self.has_ended = True
        closing, self.open_calls = self.open_calls, []
        for close in closing:
            close()


class Simulation:
    """Dispatchers and endpoints in virtual time, with the outcomes of submitted jobs.

    `cut_links` holds the pairs of dispatcher and endpoint that cannot connect,
    `drop_probability` is the share of calls that arrive late and go unanswered, and
    `allowed_endpoints` names the endpoints that advice allows, by job; jobs that are
    not in it need no advice. `deadly_tasks` crash each endpoint that starts them, and
    `crashes` holds the endpoints that crashed, with the task to blame. If
    `is_crash_silent`, their hosts leave calls unanswered in place of refusing them.
    `reported_crashes` are those of which dispatchers told entry VMs, by job.
    `suspended` holds the dispatchers that are suspended, with what waits for them.
    """

    def __init__(self, seed: int = 1) -> None:
        self.clock = clock.ManualClock(10_000, 1_700_000_000_000)
        self.rng = random.Random(seed)
        self.events: list[tuple[int, int, typing.Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.endpoints: dict[str, FakeEndpoint] = {}
        self.dispatchers: list[dispatcher.Dispatcher] = []
        self.cut_links: set[tuple[str, str]] = set()
        self.work_ms: dict[str, int] = {}
        self.cpu_millis: dict[str, int] = {}
        self.outcomes: dict[str, tuple[effects.Message, int]] = {}
        self.starts: list[tuple[int, str, calls.Start]] = []
        self.breaches: list[str] = []
        self.submitted_to: dict[str, str] = {}
        self.pending_placements: set[str] = set()
        # Processor time that the dispatchers take for each call and each answer.
        self.call_cost_ms = 0.0
        self.busy_until_ms = 0.0
        self.pending_ticks: set[str] = set()
        self.tick_due_ms = self.now_ms
        self.lists_due_ms = self.now_ms
        self.drop_probability = 0.0
        self.allowed_endpoints: dict[str, set[str]] = {}
        self.advice_requests: list[calls.RequestAdvice] = []
        self.deadly_tasks: set[str] = set()
        self.crashes: list[tuple[str, str]] = []
        self.is_crash_silent = False
        self.reported_crashes: dict[str, list[messages.TaskCrash]] = {}
        self.suspended: dict[str, list[typing.Callable[[], None]]] = {}

    @property
    def now_ms(self) -> int:
        """Return the time."""
        return self.clock.now_ms()

    def schedule(self, when_ms: int, call: typing.Callable[[], None]) -> None:
        """Run a callback at a virtual time."""
        heapq.heappush(self.events, (when_ms, next(self.event_numbers), call))

    def schedule_after(self, delay_ms: int, call: typing.Callable[[], None]) -> None:
        """Run a callback after a delay."""
        self.schedule(self.now_ms + delay_ms, call)

    def occupy(self, action: typing.Callable[[], None]) -> None:
        """Run a dispatcher's action after those that it was asked for before."""
        if not self.call_cost_ms:
            action()
            return
        begin_ms = max(float(self.now_ms), self.busy_until_ms)
        self.busy_until_ms = begin_ms + self.call_cost_ms
        self.schedule(math.ceil(self.busy_until_ms), action)

    def suspend(self, name: str) -> None:
        """Suspend a dispatcher: its timers and what arrives wait until it resumes."""
        self.suspended[name] = []

    def resume(self, name: str) -> None:
        """Resume a dispatcher, which first handles what has waited."""
        for action in self.suspended.pop(name):
            action()

    def deliver(self, by: Dispatching, action: typing.Callable[[], None]) -> None:
        """Run a dispatcher's action, once it is not suspended."""
        if by.name in self.suspended:
            self.suspended[by.name].append(action)
            return
        action()

    def get_work_ms(self, task: str) -> int:
        """Return how long a task runs on an endpoint of speed 1."""
        return self.work_ms[task.partition(".")[0]]

    def add_endpoint(
        self, name: str, cpu_millis: int = 64_000, speed: float = 1.0
    ) -> FakeEndpoint:
        """Add an endpoint."""
        self.endpoints[name] = FakeEndpoint(self, name, cpu_millis, speed)
        return self.endpoints[name]

    def add_dispatcher(
        self,
        name: str,
        fence: int,
        known_endpoints: typing.Iterable[str] | None = None,
        standby_ms: int = 10_000,
        policy: room_policy.RoomPolicy = room_policy.DEFAULT,
    ) -> dispatcher.Dispatcher:
        """Add an active dispatcher that was on standby for some time.

        It has received announcements of `known_endpoints`, by default of all.
        """
        made = dispatcher.Dispatcher(name, BOUNDS, self.clock, policy=policy)
        made.started_ms -= standby_ms
        self.dispatchers.append(made)
        for known in self.endpoints if known_endpoints is None else known_endpoints:
            announcement = self.endpoints[known].build_announcement()
            self.run(made, made.on_announcement(announcement))
        self.run(made, made.set_fence(fence))
        self.tick_due_ms = self.now_ms
        return made

    def submit(
        self,
        to: Dispatching,
        job_id: str,
        count: int = 1,
        work_ms: int = 60,
        cpu_millis: int = 27_000,
        estimate_ms: int = 0,
        age_ms: int = 0,
        patience_ms: int = 3_000,
        attempt_base: int = 0,
        max_attempts: int = 3,
        slack_factor: float = 1.6,
        priority: int = 0,
        queue: str = "queue",
        hand_in: int = 0,
        token: int = 0,
        domain: str = "",
    ) -> None:
        """Submit a job of one step to a dispatcher."""
        self.work_ms[job_id] = work_ms
        self.cpu_millis[job_id] = cpu_millis
        self.submitted_to[job_id] = to.name
        step = messages.SubmittedStep(
            count, cpu_millis, 64, 0, estimate_ms or work_ms, (), "", "", 0
        )
        submit = messages.Submit(
            job_id,
            manifest.Terms(queue, "service", priority, max_attempts, slack_factor, 60),
            "spec",
            (step,),
            age_ms,
            patience_ms,
            attempt_base,
            hand_in,
            token,
            former=tuple(
                each.name for each in self.dispatchers if each.name != to.name
            ),
            domain=domain,
        )
        self.run(to, to.on_submit(ENTRY, submit))

    def run(self, by: Dispatching, produced: dispatcher.Effects) -> None:
        """Carry out a dispatcher's effects, then schedule one placement for it."""
        for effect in produced:
            match effect:
                case calls.Start():
                    self.send_call(by, effect, by.on_start_answer)
                case calls.Stop():
                    self.send_call(by, effect, by.on_stop_answer)
                case calls.StartPolling(endpoint):
                    self.poll(by, endpoint)
                case calls.Probe(endpoint):
                    self.probe(by, endpoint)
                case calls.RequestAdvice():
                    self.handle_advice_request(by, effect)
                case calls.RecordEnd():
                    self.handle_record_end(by, effect)
                case calls.RecordCrash():
                    self.handle_record_crash(by, effect)
                case effects.Send(_, messages.ConfirmJob() as question):
                    self.confirm(by, question)
                case effects.Send(_, messages.TaskCrashed(job_id, crash)):
                    self.reported_crashes.setdefault(job_id, []).append(crash)
                case effects.Send(_, message):
                    job_id = getattr(message, "job_id", "")
                    self.outcomes.setdefault(job_id, (message, self.now_ms))
        if by.name not in self.pending_placements:
            self.pending_placements.add(by.name)
            pause_ms = by.get_placement_pause_ms()
            self.schedule_after(pause_ms, lambda: self.place(by))

    def confirm(self, by: Dispatching, question: messages.ConfirmJob) -> None:
        """Confirm a job to the dispatcher that it was submitted to last."""
        if self.submitted_to.get(question.job_id, by.name) != by.name:
            return
        answer = messages.JobConfirmed(question.job_id, question.question_ms)
        self.schedule_after(
            2 * LATENCY_MS, lambda: self.run(by, by.on_confirmed(answer))
        )

    def handle_advice_request(
        self, by: Dispatching, request: calls.RequestAdvice
    ) -> None:
        """Answer which endpoints may run a step.

        Each allowed endpoint gets a ticket with the step, its name and an expiry time.
        """
        self.advice_requests.append(request)
        job_id = request.step.partition(".")[0]
        rows = tuple(
            (name, f"{request.step} {name} {self.now_ms + request.valid_ms}")
            for name, _ in request.endpoints
            if name in self.allowed_endpoints.get(job_id, ())
        )
        self.schedule_after(
            5 + len(request.endpoints),
            lambda: self.run(by, by.on_advice(request, calls.Advice(rows))),
        )

    def is_ticket_valid(self, endpoint: FakeEndpoint, call: calls.Start) -> bool:
        """Say whether a start needs no ticket or carries a valid one."""
        if call.task.partition(".")[0] not in self.allowed_endpoints:
            return True
        step, name, until_ms = (call.ticket or "- - 0").split(" ")
        is_valid = self.now_ms <= int(until_ms)
        return call.task.startswith(step + ".") and name == endpoint.name and is_valid

    def handle_record_crash(self, by: Dispatching, request: calls.RecordCrash) -> None:
        """Ignore a crash for the log, as this simulation has no log."""

    def crash_if_deadly(self, endpoint: FakeEndpoint, task: str) -> None:
        """Crash an endpoint soon after it started a deadly task."""
        if task in self.deadly_tasks:
            self.schedule_after(CRASH_DELAY_MS, lambda: self.crash(endpoint, task))

    def crash(self, endpoint: FakeEndpoint, task: str = "") -> None:
        """Crash an endpoint; its machine is back later as an endpoint of another id."""
        if endpoint.is_unresponsive:
            return
        self.crashes.append((endpoint.name, task))
        if self.is_crash_silent:
            endpoint.crash()
        else:
            endpoint.end_process()
        self.schedule_after(RESTART_MS, lambda: self.restart(endpoint))

    def restart(self, former: FakeEndpoint) -> None:
        """Start a machine's next endpoint and announce it to all dispatchers."""
        name = f"{former.name}+"
        replacement = self.add_endpoint(name, former.cpu_millis, former.speed)
        replacement.born_ms = self.now_ms
        replacement.address = former.address
        for each in self.dispatchers:
            self.run(each, each.on_announcement(replacement.build_announcement()))

    def handle_record_end(self, by: Dispatching, request: calls.RecordEnd) -> None:
        """Ignore an end for the log, as this simulation has no log."""

    def place(self, by: Dispatching) -> None:
        """Let a dispatcher place tasks once all events of this moment are handled."""
        if by.name in self.suspended:
            self.deliver(by, lambda: self.place(by))
            return
        self.pending_placements.discard(by.name)
        produced = by.place()
        if produced:
            self.run(by, produced)

    def draw_delay_ms(self) -> int:
        """Return the extra delay of a call in milliseconds, usually 0.

        A delayed call is still carried out, but gets no answer.
        """
        if self.rng.random() >= self.drop_probability:
            return 0
        return self.rng.randint(2_000, 12_000)

    def send_call(
        self,
        by: Dispatching,
        call: calls.Start | calls.Stop,
        on_answer: typing.Callable[..., dispatcher.Effects],
    ) -> None:
        """Send a call to an endpoint and deliver its answer or timeout."""
        endpoint = self.endpoints[call.target.endpoint]
        sent_ms = self.now_ms
        is_start = isinstance(call, calls.Start)
        done: list[bool] = []
        dropped_ms = self.draw_delay_ms()

        def answer(verdict: calls.Verdict, clock_ms: int | None) -> None:
            reading = None
            if clock_ms is not None:
                reading = clocks.Reading(clock_ms, sent_ms, self.now_ms)
            received = calls.Answer(verdict, reading)
            self.deliver(by, lambda: self.run(by, on_answer(call, received)))

        def arrive() -> None:
            if self.is_refusing(by.name, endpoint):
                settle(calls.Verdict.REFUSED, None)
            if self.is_unreachable(by.name, endpoint):
                return
            if isinstance(call, calls.Start):
                verdict = endpoint.start(call)
            else:
                verdict = endpoint.stop(call)
            is_lost = is_start and (endpoint.drops_answers or endpoint.start_delay_ms)
            if is_lost or dropped_ms:
                return
            clock_ms = self.now_ms
            self.schedule_after(
                LATENCY_MS, lambda: self.occupy(lambda: settle(verdict, clock_ms))
            )

        def settle(verdict: calls.Verdict, clock_ms: int | None) -> None:
            if not done:
                done.append(True)
                answer(verdict, clock_ms)

        def send() -> None:
            nonlocal sent_ms
            sent_ms = self.now_ms
            if isinstance(call, calls.Start):
                by.on_start_sent(call)
            delay_ms = dropped_ms or (endpoint.start_delay_ms if is_start else 0)
            self.schedule_after(LATENCY_MS + delay_ms, arrive)
            self.schedule_after(
                CALL_TIMEOUT_MS, lambda: settle(calls.Verdict.UNKNOWN, None)
            )

        self.occupy(send)

    def poll(self, by: Dispatching, name: str) -> None:
        """Keep a hold open at an endpoint, until the dispatcher builds no more."""
        call = by.build_hold(name)
        if call is None:
            return

        def settle(answer: calls.HoldResult | calls.HoldFailed) -> None:
            if isinstance(answer, calls.HoldFailed):
                self.run(by, by.on_hold_failed(call, answer))
                self.schedule_after(100, lambda: self.poll(by, name))
                return
            self.run(by, by.on_hold_result(call, answer))
            self.poll(by, name)

        self.hold(by, call, settle)

    def probe(self, by: Dispatching, name: str) -> None:
        """Read an endpoint's lists once."""
        call = by.build_probe(name)
        if call is not None:
            self.hold(
                by,
                call,
                lambda answer: self.run(by, by.on_probe_result(call, answer)),
            )

    def hold(
        self,
        by: Dispatching,
        call: calls.Hold,
        on_answer: typing.Callable[[calls.HoldResult | calls.HoldFailed], None],
    ) -> None:
        """Send a hold to an endpoint and deliver its result or timeout."""
        endpoint = self.endpoints[call.target.endpoint]
        sent_ms = self.now_ms
        dropped_ms = self.draw_delay_ms()
        done: list[bool] = []

        def on_result(result: calls.HoldResult) -> None:
            if self.is_unreachable(by.name, endpoint) or dropped_ms:
                return
            self.schedule_after(LATENCY_MS, lambda: self.occupy(lambda: settle(result)))

        def settle(answer: calls.HoldResult | calls.HoldFailed) -> None:
            if done:
                return
            done.append(True)
            if isinstance(answer, calls.HoldResult):
                reading = clocks.Reading(answer.reading.clock_ms, sent_ms, self.now_ms)
                answer = dataclasses.replace(answer, reading=reading)
            received = answer
            self.deliver(by, lambda: on_answer(received))

        def fail(verdict: calls.Verdict) -> None:
            if (by.name, endpoint.name) not in self.cut_links:
                self.schedule_after(
                    LATENCY_MS, lambda: settle(calls.HoldFailed(verdict))
                )

        def arrive() -> None:
            if self.is_refusing(by.name, endpoint):
                fail(calls.Verdict.REFUSED)
            if self.is_unreachable(by.name, endpoint):
                return
            endpoint.open_calls = endpoint.open_calls[-MAX_OPEN_CALLS:]
            endpoint.open_calls.append(lambda: fail(calls.Verdict.CLOSED))
            verdict = endpoint.hold(call, on_result)
            if verdict is not None and not dropped_ms:
                self.schedule_after(
                    LATENCY_MS, lambda: settle(calls.HoldFailed(verdict))
                )

        def send() -> None:
            nonlocal sent_ms
            sent_ms = self.now_ms
            self.schedule_after(LATENCY_MS + dropped_ms, arrive)
            timeout_ms = call.wait_ms + CALL_TIMEOUT_MS
            failed = calls.HoldFailed(calls.Verdict.UNKNOWN)
            self.schedule_after(timeout_ms, lambda: settle(failed))

        self.occupy(send)

    def is_unreachable(self, name: str, endpoint: FakeEndpoint) -> bool:
        """Say whether a dispatcher cannot reach an endpoint."""
        return endpoint.is_unresponsive or (name, endpoint.name) in self.cut_links

    def is_refusing(self, name: str, endpoint: FakeEndpoint) -> bool:
        """Say whether an endpoint's host refuses a dispatcher's connections."""
        return endpoint.has_ended and (name, endpoint.name) not in self.cut_links

    def record_start(self, endpoint: FakeEndpoint, call: calls.Start) -> None:
        """Record a start, and a breach if it exceeds capacity or runs a task twice."""
        job_id = call.task.partition(".")[0]
        used = sum(run.cpu_millis for run in endpoint.running_attempts.values())
        if used + self.cpu_millis[job_id] > endpoint.cpu_millis:
            self.breaches.append(f"{self.now_ms}: capacity of {endpoint.name} exceeded")
        for other in self.endpoints.values():
            if call.task in other.running_attempts:
                self.breaches.append(f"{self.now_ms}: {call.task} runs twice")
        self.starts.append((self.now_ms, endpoint.name, call))

    def advance(self, by_ms: int, tick_ms: int = 20) -> None:
        """Advance virtual time and run all events that fall due."""
        until_ms = self.now_ms + by_ms
        while self.tick_due_ms < until_ms:
            self.schedule(max(self.tick_due_ms, self.now_ms), self.tick)
            self.tick_due_ms = max(self.tick_due_ms, self.now_ms) + tick_ms
        while self.events and self.events[0][0] <= until_ms:
            when_ms, _, call = heapq.heappop(self.events)
            self.clock.advance(max(0, when_ms - self.now_ms))
            call()
        self.clock.advance(until_ms - self.now_ms)

    def tick(self) -> None:
        """Expire leases, run the dispatchers' timers and exchange their lists."""
        if self.now_ms >= self.lists_due_ms:
            self.lists_due_ms = self.now_ms + LIST_INTERVAL_MS
            self.exchange_lists()
        for endpoint in self.endpoints.values():
            endpoint.expire()
        for each in self.dispatchers:
            if each.name not in self.pending_ticks | self.suspended.keys():
                self.pending_ticks.add(each.name)
                self.occupy(functools.partial(self.tick_dispatcher, each))

    def exchange_lists(self) -> None:
        """Tell all dispatchers which endpoints each active one uses."""
        running = [each for each in self.dispatchers if each.name not in self.suspended]
        for sender in running:
            learned = sender.list_speeds()
            for other in running:
                if learned.speeds and other is not sender:
                    other.on_speeds(sender.name, learned)

    def tick_dispatcher(self, each: dispatcher.Dispatcher) -> None:
        """Run a dispatcher's timers; the next tick comes only after this one."""
        self.pending_ticks.discard(each.name)
        self.run(each, each.tick())

    def get_outcome(self, job_id: str) -> str:
        """Return the class name of a job's outcome message, empty while it is open."""
        entry = self.outcomes.get(job_id)
        return type(entry[0]).__name__ if entry is not None else ""
