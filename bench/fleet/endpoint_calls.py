"""Calls of a simulated process to endpoints, which may be late, lost or unanswered."""

from __future__ import annotations

import collections.abc
import dataclasses
import random
import typing

from bench.fleet import network, observed
from bench.pool import simulation
from knapweedbeam_core.pool import calls, clocks, dispatcher, shards

CALL_TIMEOUT_MS = 300
CONNECT_TIMEOUT_MS = 250
FIRST_PAUSE_MS = 20
MAX_PAUSE_MS = 100
# A call that was sent into a cut may arrive after it.
LATE_CALL_MS = 4_000

Answer = calls.Answer | calls.HoldResult | calls.HoldFailed
Settle = collections.abc.Callable[[Answer], None]
Execute = collections.abc.Callable[[observed.Endpoint, Settle], None]


class Host(typing.Protocol):
    """The process that makes the calls."""

    name: str
    shards: shards.ShardedDispatcher

    @property
    def now_ms(self) -> int:
        """Return the time."""

    def do(self, action: network.Action) -> None:
        """Run an action now, or once the process wakes."""

    def schedule_after(self, delay_ms: int, call: network.Action) -> None:
        """Run an action of this process after a delay."""

    def run(self, produced: dispatcher.Effects) -> None:
        """Carry out effects."""


class EndpointCalls:
    """The calls of one process; `lossy_share` of them arrive seconds late."""

    def __init__(
        self,
        host: Host,
        endpoints: collections.abc.Mapping[str, simulation.FakeEndpoint],
        wires: network.Network,
        rng: random.Random,
    ) -> None:
        self.host = host
        self.endpoints = endpoints
        self.network = wires
        self.rng = rng
        self.lossy_share = 0.0
        self.connected: set[str] = set()

    def spawn(self, call: calls.Call) -> None:
        """Make a call."""
        match call:
            case calls.Start():
                self.start(call)
            case calls.Stop():
                self.stop(call)
            case calls.StartPolling(endpoint):
                self.poll(endpoint, FIRST_PAUSE_MS)
            case calls.Probe(endpoint):
                self.probe(endpoint)

    def start(self, call: calls.Start) -> None:
        """Start an attempt."""
        self.host.shards.on_start_sent(call)

        def execute(endpoint: observed.Endpoint, reply: Settle) -> None:
            reply(self.answer(endpoint, endpoint.start(call)))

        def settle(answer: Answer) -> None:
            assert isinstance(answer, calls.Answer)
            self.host.run(self.host.shards.on_start_answer(call, answer))

        self.exchange(call.target, execute, settle, CALL_TIMEOUT_MS)

    def stop(self, call: calls.Stop) -> None:
        """Stop an attempt."""

        def execute(endpoint: observed.Endpoint, reply: Settle) -> None:
            reply(self.answer(endpoint, endpoint.stop(call)))

        def settle(answer: Answer) -> None:
            assert isinstance(answer, calls.Answer)
            self.host.run(self.host.shards.on_stop_answer(call, answer))

        self.exchange(call.target, execute, settle, CALL_TIMEOUT_MS)

    def poll(self, name: str, pause_ms: int) -> None:
        """Keep a hold open, until the dispatcher wants no more."""
        call = self.host.shards.build_hold(name)
        if call is None:
            return

        def settle(answer: Answer) -> None:
            if isinstance(answer, calls.HoldResult):
                self.host.run(self.host.shards.on_hold_result(call, answer))
                self.poll(name, FIRST_PAUSE_MS)
                return
            assert isinstance(answer, calls.HoldFailed)
            self.host.run(self.host.shards.on_hold_failed(call, answer))
            longer_ms = min(2 * pause_ms, MAX_PAUSE_MS)
            self.host.schedule_after(pause_ms, lambda: self.poll(name, longer_ms))

        self.hold(call, settle)

    def probe(self, name: str) -> None:
        """Read an endpoint's lists once."""
        call = self.host.shards.build_probe(name)
        if call is None:
            return

        def settle(answer: Answer) -> None:
            assert not isinstance(answer, calls.Answer)
            self.host.run(self.host.shards.on_probe_result(call, answer))

        self.hold(call, settle)

    def hold(self, call: calls.Hold, settle: Settle) -> None:
        """Make a hold."""

        def execute(endpoint: observed.Endpoint, reply: Settle) -> None:
            verdict = endpoint.hold(call, reply)
            if verdict is not None:
                reply(calls.HoldFailed(verdict))

        def settle_hold(answer: Answer) -> None:
            if isinstance(answer, calls.Answer):
                answer = calls.HoldFailed(answer.verdict)
            settle(answer)

        timeout_ms = call.wait_ms + CALL_TIMEOUT_MS
        self.exchange(call.target, execute, settle_hold, timeout_ms)

    def answer(
        self, endpoint: observed.Endpoint, verdict: calls.Verdict
    ) -> calls.Answer:
        """Return an answer with the time on an endpoint's clock."""
        reading = clocks.Reading(endpoint.simulation.now_ms, 0, 0)
        return calls.Answer(verdict, reading)

    def exchange(
        self, target: calls.Target, execute: Execute, settle: Settle, timeout_ms: int
    ) -> None:
        """Send a call; pass on its answer, or that none came in time."""
        name = target.endpoint
        endpoint = self.endpoints[name]
        assert isinstance(endpoint, observed.Endpoint)
        sent_ms = self.host.now_ms
        is_settled = False

        def finish(answer: Answer) -> None:
            nonlocal is_settled
            if is_settled:
                return
            is_settled = True
            settle(self.add_times(answer, sent_ms))

        def give_up(verdict: calls.Verdict) -> None:
            if not is_settled:
                self.connected.discard(name)
                finish(calls.Answer(verdict))

        def reply(answer: Answer) -> None:
            left_ms = sent_ms + timeout_ms - endpoint.simulation.now_ms
            self.network.transmit(
                name,
                self.host.name,
                lambda: self.host.do(lambda: finish(answer)),
                left_ms,
            )

        def arrive() -> None:
            if not endpoint.is_unresponsive:
                endpoint.caller = self.host.name
                execute(endpoint, reply)

        if name not in self.connected:
            if not self.network.is_open_both_ways(self.host.name, name):
                unreached = calls.Verdict.UNREACHABLE
                self.host.schedule_after(CONNECT_TIMEOUT_MS, lambda: give_up(unreached))
                return
            self.connected.add(name)
        self.send(name, arrive)
        self.host.schedule_after(timeout_ms, lambda: give_up(calls.Verdict.UNKNOWN))

    def send(self, name: str, arrive: network.Action) -> None:
        """Let a call arrive, perhaps late or never."""
        if self.rng.random() < self.lossy_share:
            simulated = self.endpoints[name].simulation
            simulated.schedule_after(self.rng.randint(300, LATE_CALL_MS), arrive)
            return
        is_late = self.rng.random() < 0.5
        self.network.transmit(
            self.host.name, name, arrive, LATE_CALL_MS if is_late else 0
        )

    def add_times(self, answer: Answer, sent_ms: int) -> Answer:
        """Return an answer with the times of its call at this process."""
        if isinstance(answer, calls.HoldFailed) or answer.reading is None:
            return answer
        times = clocks.Reading(answer.reading.clock_ms, sent_ms, self.host.now_ms)
        return dataclasses.replace(answer, reading=times)
