"""Endpoints, a network and a dispatcher in virtual time, with checks of promises."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import typing

from knapweedbeam_core import clock, effects
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import attempt_tracker, calls, clocks, dispatcher, messages

LATENCY_MS = 1
LEASE_MS = 1_000
STOP_MS = 50
CALL_TIMEOUT_MS = 300
ANNOUNCE_MS = 1_500
BOUNDS = attempt_tracker.ProtocolBounds(LEASE_MS, STOP_MS, ANNOUNCE_MS)
ENTRY = "entry"


@dataclasses.dataclass(slots=True)
class RunningAttempt:
    """One attempt on a fake endpoint, until it ends."""

    task: str
    number: int
    cpu_millis: int
    began_ms: int
    ends_ms: int
    kind: calls.EndKind = calls.EndKind.DONE


class FakeEndpoint:
    """An endpoint as the platform's pages describe it."""

    def __init__(
        self,
        simulation: Simulation,
        name: str,
        cpu_millis: int = 64_000,
        speed: float = 1.0,
    ) -> None:
        self.simulation = simulation
        self.name = name
        self.cpu_millis = cpu_millis
        self.speed = speed
        self.born_ms = 1
        self.sequence = 0
        self.fence = 0
        self.until_ms = 0
        self.running_attempts: dict[str, RunningAttempt] = {}
        self.ended: list[calls.End] = []
        self.highest_ended: dict[str, int] = {}
        self.places = itertools.count(1)
        self.is_unresponsive = False
        self.is_failing = False
        self.is_hanging = False
        self.drops_answers = False
        self.start_delay_ms = 0
        self.rack = "r1"
        self.saved_progress: dict[str, str] = {}
        self.polls: list[
            tuple[calls.Hold, typing.Callable[[calls.HoldResult], None]]
        ] = []

    def build_announcement(
        self, state: messages.EndpointState = messages.EndpointState.UP
    ) -> messages.EndpointNews:
        """Return the next announcement."""
        self.sequence += 1
        return messages.EndpointNews(
            self.name,
            self.born_ms,
            self.sequence,
            "service",
            self.name,
            "domain",
            state,
            self.cpu_millis,
            100_000,
            0,
            ("a", self.rack),
            self.simulation.now_ms,
            rack=self.rack,
        )

    def start(self, order: calls.Start) -> calls.Verdict:
        """Take a start order."""
        if order.fence < self.fence:
            return calls.Verdict.FENCED
        self.fence = order.fence
        if order.until_ms <= self.simulation.now_ms:
            return calls.Verdict.LEASE_EXPIRED
        self.until_ms = max(self.until_ms, order.until_ms)
        if order.number <= self.highest_ended.get(order.task, 0):
            return calls.Verdict.SUPERSEDED
        if order.task in self.running_attempts:
            return calls.Verdict.ACCEPTED
        if not self.simulation.is_ticket_valid(self, order):
            return calls.Verdict.NO_TICKET
        self.simulation.record_start(self, order)
        work_ms = self.simulation.get_work_ms(order.task)
        ends_ms = self.simulation.now_ms + int(work_ms / self.speed)
        run = RunningAttempt(
            order.task,
            order.number,
            self.simulation.cpu_millis[order.task.partition(".")[0]],
            self.simulation.now_ms,
            10**9 if self.is_hanging else ends_ms,
        )
        if self.is_failing:
            run.kind, run.ends_ms = calls.EndKind.FAILED, self.simulation.now_ms + 1
        self.running_attempts[order.task] = run
        self.simulation.schedule(run.ends_ms, lambda: self.end(run, run.kind))
        return calls.Verdict.ACCEPTED

    def stop(self, order: calls.Stop) -> calls.Verdict:
        """Take a stop order."""
        if order.fence < self.fence:
            return calls.Verdict.FENCED
        self.fence = order.fence
        self.highest_ended[order.task] = max(
            self.highest_ended.get(order.task, 0), order.number
        )
        run = self.running_attempts.get(order.task)
        if run is not None and run.number <= order.number:
            self.simulation.schedule_after(
                STOP_MS - 10, lambda: self.end(run, calls.EndKind.STOPPED)
            )
        return calls.Verdict.ACCEPTED

    def end(self, run: RunningAttempt, kind: calls.EndKind) -> None:
        """End a run."""
        if self.running_attempts.get(run.task) is not run:
            return
        del self.running_attempts[run.task]
        self.highest_ended[run.task] = max(
            self.highest_ended.get(run.task, 0), run.number
        )
        self.ended.append(calls.End(next(self.places), run.task, run.number, kind))
        self.wake()

    def expire(self) -> None:
        """Kill what runs once the lease has run out."""
        if self.running_attempts and self.simulation.now_ms > self.until_ms:
            for run in list(self.running_attempts.values()):
                self.end(run, calls.EndKind.EXPIRED)

    def hold(
        self, order: calls.Hold, reply: typing.Callable[[calls.HoldResult], None]
    ) -> calls.Verdict | None:
        """Take a hold; the lists go to `reply` at the next end."""
        if order.fence < self.fence:
            return calls.Verdict.FENCED
        self.fence = order.fence
        self.until_ms = max(self.until_ms, min(order.until_ms, self.max_until_ms))
        self.ended = [end for end in self.ended if end.place > order.acked_end]
        if self.ended or not order.wait_ms:
            reply(self.build_lists())
            return None
        waiting = (order, reply)
        self.polls.append(waiting)
        self.simulation.schedule_after(order.wait_ms, lambda: self.time_out(waiting))
        return None

    def time_out(
        self, waiting: tuple[calls.Hold, typing.Callable[[calls.HoldResult], None]]
    ) -> None:
        """Answer a hold that waited for as long as it said."""
        if waiting in self.polls:
            self.polls.remove(waiting)
            waiting[1](self.build_lists())

    @property
    def max_until_ms(self) -> int:
        """Return the longest lease from now."""
        return self.simulation.now_ms + LEASE_MS

    def wake(self) -> None:
        """Answer the holds that wait."""
        polls, self.polls = self.polls, []
        for _, reply in polls:
            reply(self.build_lists())

    def build_lists(self) -> calls.HoldResult:
        """Return what runs and what has ended."""
        running = tuple(
            calls.Running(r.task, r.number, self.saved_progress.get(r.task, ""))
            for r in self.running_attempts.values()
        )
        reading = clocks.Reading(self.simulation.now_ms, 0, 0)
        return calls.HoldResult(self.born_ms, reading, running, tuple(self.ended))

    def crash(self) -> None:
        """Run nothing and answer nothing from now on."""
        self.running_attempts.clear()
        self.polls.clear()
        self.is_unresponsive = True


class Simulation:
    """Virtual time, one or more dispatchers, endpoints, and what callers got."""

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
        self.pending_placements: set[str] = set()
        self.drop_probability = 0.0
        self.allowed_endpoints: dict[str, set[str]] = {}
        self.advice_requests: list[calls.RequestAdvice] = []

    @property
    def now_ms(self) -> int:
        """Return the time."""
        return self.clock.now_ms()

    def schedule(self, when_ms: int, call: typing.Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self.events, (when_ms, next(self.event_numbers), call))

    def schedule_after(self, delay_ms: int, call: typing.Callable[[], None]) -> None:
        """Do something later."""
        self.schedule(self.now_ms + delay_ms, call)

    def get_work_ms(self, task: str) -> int:
        """Return the work of a task on a sound endpoint."""
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
    ) -> dispatcher.Dispatcher:
        """Add a dispatcher that has stood by and knows some endpoints, or all."""
        made = dispatcher.Dispatcher(name, BOUNDS, self.clock)
        made.started_ms -= standby_ms
        self.dispatchers.append(made)
        for known in self.endpoints if known_endpoints is None else known_endpoints:
            news = self.endpoints[known].build_announcement()
            self.run(made, made.on_announcement(news))
        self.run(made, made.set_fence(fence))
        return made

    def submit(
        self,
        to: dispatcher.Dispatcher,
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
    ) -> None:
        """Hand in a job of one step."""
        self.work_ms[job_id] = work_ms
        self.cpu_millis[job_id] = cpu_millis
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
        )
        self.run(to, to.on_submit(ENTRY, submit))

    def run(self, by: dispatcher.Dispatcher, produced: dispatcher.Effects) -> None:
        """Carry out a dispatcher's effects."""
        for effect in produced:
            match effect:
                case calls.Start():
                    self.call(by, effect, by.on_start_answer)
                case calls.Stop():
                    self.call(by, effect, by.on_stop_answer)
                case calls.StartPolling(endpoint):
                    self.poll(by, endpoint)
                case calls.Probe(endpoint):
                    self.probe(by, endpoint)
                case calls.RequestAdvice():
                    self.handle_advice_request(by, effect)
                case calls.RecordEnd():
                    self.handle_record_end(by, effect)
                case effects.Send(_, message):
                    job_id = getattr(message, "job_id", "")
                    self.outcomes.setdefault(job_id, (message, self.now_ms))
        if by.name not in self.pending_placements:
            self.pending_placements.add(by.name)
            self.schedule_after(0, lambda: self.place(by))

    def handle_advice_request(
        self, by: dispatcher.Dispatcher, asked: calls.RequestAdvice
    ) -> None:
        """Answer which endpoints may run a step; a ticket names step and time."""
        self.advice_requests.append(asked)
        job_id = asked.step.partition(".")[0]
        rows = tuple(
            (name, f"{asked.step} {name} {self.now_ms + asked.valid_ms}")
            for name, _ in asked.endpoints
            if name in self.allowed_endpoints.get(job_id, ())
        )
        self.schedule_after(
            5 + len(asked.endpoints),
            lambda: self.run(by, by.on_advice(asked, calls.Advice(rows))),
        )

    def is_ticket_valid(self, endpoint: FakeEndpoint, order: calls.Start) -> bool:
        """Say whether a start carries a valid ticket, where it needs one."""
        if order.task.partition(".")[0] not in self.allowed_endpoints:
            return True
        step, name, until_ms = (order.ticket or "- - 0").split(" ")
        is_valid = self.now_ms <= int(until_ms)
        return order.task.startswith(step + ".") and name == endpoint.name and is_valid

    def handle_record_end(
        self, by: dispatcher.Dispatcher, noted: calls.RecordEnd
    ) -> None:
        """Take an end that the log is to have: this world has none."""

    def place(self, by: dispatcher.Dispatcher) -> None:
        """Let a dispatcher place once after the events of a moment."""
        self.pending_placements.discard(by.name)
        produced = by.place()
        if produced:
            self.run(by, produced)

    def draw_delay_ms(self) -> int:
        """Return how late an order is carried out, 0 for at once.

        A late one gets no answer.
        """
        if self.rng.random() >= self.drop_probability:
            return 0
        return self.rng.randint(2_000, 12_000)

    def call(
        self,
        by: dispatcher.Dispatcher,
        order: calls.Start | calls.Stop,
        on_answer: typing.Callable[..., dispatcher.Effects],
    ) -> None:
        """Send an order and bring back its end."""
        endpoint = self.endpoints[order.target.endpoint]
        sent_ms = self.now_ms
        is_start = isinstance(order, calls.Start)

        def answer(verdict: calls.Verdict, clock_ms: int | None) -> None:
            reading = None
            if clock_ms is not None:
                reading = clocks.Reading(clock_ms, sent_ms, self.now_ms)
            self.run(by, on_answer(order, calls.Answer(verdict, reading)))

        def arrive() -> None:
            if self.is_unreachable(by.name, endpoint):
                return
            if isinstance(order, calls.Start):
                verdict = endpoint.start(order)
            else:
                verdict = endpoint.stop(order)
            is_lost = is_start and (endpoint.drops_answers or endpoint.start_delay_ms)
            if is_lost or dropped_ms:
                return
            clock_ms = self.now_ms
            self.schedule_after(LATENCY_MS, lambda: settle(verdict, clock_ms))

        def settle(verdict: calls.Verdict, clock_ms: int | None) -> None:
            if not done:
                done.append(True)
                answer(verdict, clock_ms)

        done: list[bool] = []
        dropped_ms = self.draw_delay_ms()
        delay_ms = dropped_ms or (endpoint.start_delay_ms if is_start else 0)
        self.schedule_after(LATENCY_MS + delay_ms, arrive)
        self.schedule_after(
            CALL_TIMEOUT_MS, lambda: settle(calls.Verdict.UNKNOWN, None)
        )

    def poll(self, by: dispatcher.Dispatcher, name: str) -> None:
        """Keep a hold open at an endpoint."""
        order = by.build_hold(name)
        if order is None:
            return

        def settle(answer: calls.HoldResult | calls.HoldFailed) -> None:
            if isinstance(answer, calls.HoldFailed):
                self.run(by, by.on_hold_failed(order, answer))
                self.schedule_after(100, lambda: self.poll(by, name))
                return
            self.run(by, by.on_hold_result(order, answer))
            self.poll(by, name)

        self.hold(by, order, settle)

    def probe(self, by: dispatcher.Dispatcher, name: str) -> None:
        """Look once at an endpoint's lists."""
        order = by.build_probe(name)
        if order is not None:
            self.hold(
                by,
                order,
                lambda answer: self.run(by, by.on_probe_result(order, answer)),
            )

    def hold(
        self,
        by: dispatcher.Dispatcher,
        order: calls.Hold,
        on_answer: typing.Callable[[calls.HoldResult | calls.HoldFailed], None],
    ) -> None:
        """Send a hold and bring back its end."""
        endpoint = self.endpoints[order.target.endpoint]
        sent_ms = self.now_ms
        dropped_ms = self.draw_delay_ms()
        done: list[bool] = []

        def answered(holding: calls.HoldResult) -> None:
            if self.is_unreachable(by.name, endpoint) or dropped_ms:
                return
            self.schedule_after(LATENCY_MS, lambda: settle(holding))

        def settle(answer: calls.HoldResult | calls.HoldFailed) -> None:
            if done:
                return
            done.append(True)
            if isinstance(answer, calls.HoldResult):
                reading = clocks.Reading(answer.reading.clock_ms, sent_ms, self.now_ms)
                answer = dataclasses.replace(answer, reading=reading)
            on_answer(answer)

        def arrive() -> None:
            if self.is_unreachable(by.name, endpoint):
                return
            verdict = endpoint.hold(order, answered)
            if verdict is not None and not dropped_ms:
                self.schedule_after(
                    LATENCY_MS, lambda: settle(calls.HoldFailed(verdict))
                )

        self.schedule_after(LATENCY_MS + dropped_ms, arrive)
        timeout_ms = order.wait_ms + CALL_TIMEOUT_MS
        failed = calls.HoldFailed(calls.Verdict.UNKNOWN)
        self.schedule_after(timeout_ms, lambda: settle(failed))

    def is_unreachable(self, name: str, endpoint: FakeEndpoint) -> bool:
        """Say whether an endpoint cannot be reached."""
        return endpoint.is_unresponsive or (name, endpoint.name) in self.cut_links

    def record_start(self, endpoint: FakeEndpoint, order: calls.Start) -> None:
        """Note a start, and a promise that it breaks."""
        job_id = order.task.partition(".")[0]
        used = sum(run.cpu_millis for run in endpoint.running_attempts.values())
        if used + self.cpu_millis[job_id] > endpoint.cpu_millis:
            self.breaches.append(f"{self.now_ms}: room of {endpoint.name} exceeded")
        for other in self.endpoints.values():
            if order.task in other.running_attempts:
                self.breaches.append(f"{self.now_ms}: {order.task} runs twice")
        self.starts.append((self.now_ms, endpoint.name, order))

    def advance(self, by_ms: int, tick_ms: int = 20) -> None:
        """Let time pass."""
        until_ms = self.now_ms + by_ms
        for when_ms in range(self.now_ms, until_ms, tick_ms):
            self.schedule(when_ms, self.tick)
        while self.events and self.events[0][0] <= until_ms:
            when_ms, _, call = heapq.heappop(self.events)
            self.clock.advance(max(0, when_ms - self.now_ms))
            call()
        self.clock.advance(until_ms - self.now_ms)

    def tick(self) -> None:
        """Do what is due."""
        for endpoint in self.endpoints.values():
            endpoint.expire()
        for each in self.dispatchers:
            self.run(each, each.tick())

    def get_outcome(self, job_id: str) -> str:
        """Return the name of a job's outcome, empty while it is open."""
        known = self.outcomes.get(job_id)
        return type(known[0]).__name__ if known is not None else ""
