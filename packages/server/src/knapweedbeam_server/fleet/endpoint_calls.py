"""Carries out a dispatcher's orders, each in a greenlet of its own."""

from __future__ import annotations

import collections.abc
import typing

import gevent

from knapweedbeam_core.pool import calls, dispatcher
from knapweedbeam_server.fleet import ports, telemetry
from knapweedbeam_server.logs import catalogue, emit

# Pauses between polls of an endpoint that doesn't answer.
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 0.1
# An endpoint answers at once while it lists ends that were not acknowledged; the log
# takes some 20 ms to have them.
OPEN_ENDS_PAUSE_S = 0.01

Run = collections.abc.Callable[[dispatcher.Effects], None]


class EndpointCalls:
    """The open calls to endpoints."""

    def __init__(
        self,
        decisions: dispatcher.Dispatcher,
        client: ports.EndpointClient,
        run: Run,
        counts: telemetry.Telemetry,
    ) -> None:
        self.decisions = decisions
        self.client = client
        self.run = run
        self.counts = counts

    def take(self, order: calls.Call) -> None:
        """Begin to carry out one order."""
        match order:
            case calls.Start():
                gevent.spawn(self.start, order)
            case calls.Stop():
                gevent.spawn(self.stop, order)
            case calls.StartPolling(endpoint):
                gevent.spawn(self.hold, endpoint)
            case calls.Probe(endpoint):
                gevent.spawn(self.look, endpoint)
            case calls.RequestAdvice():
                gevent.spawn(self.request_advice, order)
            case _:
                typing.assert_never(order)

    def start(self, order: calls.Start) -> None:
        """Start an attempt."""
        answer = self.client.start(order)
        self.counts.note_order("start", answer.verdict.value)
        self.run(self.decisions.on_start_answer(order, answer))

    def stop(self, order: calls.Stop) -> None:
        """Stop an attempt."""
        answer = self.client.stop(order)
        self.counts.note_order("stop", answer.verdict.value)
        self.run(self.decisions.on_stop_answer(order, answer))

    def look(self, endpoint: str) -> None:
        """Look once at what an endpoint lists."""
        order = self.decisions.build_probe(endpoint)
        if order is None:
            return
        answer = self.client.hold(order)
        end = answer.verdict.value if isinstance(answer, calls.HoldFailed) else "listed"
        self.counts.note_order("look", end)
        self.run(self.decisions.on_probe_result(order, answer))

    def request_advice(self, order: calls.RequestAdvice) -> None:
        """Ask which endpoints may run a step."""
        advice = self.client.request_advice(order)
        self.counts.note_order("advice", "none" if advice is None else "answered")
        emit.emit(
            catalogue.ADVICE_TAKEN,
            step=order.step,
            asked=len(order.endpoints),
            allowed=-1 if advice is None else len(advice.allowed),
        )
        self.run(self.decisions.on_advice(order, advice))

    def hold(self, endpoint: str) -> None:
        """Poll an endpoint for as long as the dispatcher wants it."""
        pause_s = FIRST_PAUSE_S
        while True:
            order = self.decisions.build_hold(endpoint)
            if order is None:
                return
            answer = self.client.hold(order)
            if isinstance(answer, calls.HoldResult):
                pause_s = FIRST_PAUSE_S
                self.run(self.decisions.on_hold_result(order, answer))
                if self.decisions.has_unacked_ends(endpoint):
                    gevent.sleep(OPEN_ENDS_PAUSE_S)
                continue
            self.counts.note_order("hold", answer.verdict.value)
            self.run(self.decisions.on_hold_failed(order, answer))
            gevent.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)
