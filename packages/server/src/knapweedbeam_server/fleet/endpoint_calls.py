"""Makes the dispatcher's calls to endpoints, each in a greenlet of its own."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import gevent

from knapweedbeam_core.pool import calls, dispatcher
from knapweedbeam_server.fleet import ports, telemetry
from knapweedbeam_server.logs import catalogue, emit

# Pauses between polls of an endpoint that doesn't answer.
FIRST_PAUSE_S = 0.02
MAX_PAUSE_S = 0.1
# An endpoint answers at once while it lists ends that were not acknowledged; the log
# takes about 20 ms to store them.
OPEN_ENDS_PAUSE_S = 0.01


@dataclasses.dataclass(slots=True)
class CallCounts:
    """The calls that were sent in a time window, by kind, and those without answer."""

    starts: int = 0
    stops: int = 0
    holds: int = 0
    probes: int = 0
    unanswered: int = 0


Run = collections.abc.Callable[[dispatcher.Effects], None]


class EndpointCalls:
    """The open calls to endpoints."""

    def __init__(
        self,
        owner: dispatcher.Dispatcher,
        client: ports.EndpointClient,
        run: Run,
        metrics: telemetry.Telemetry,
    ) -> None:
        self.dispatcher = owner
        self.client = client
        self.run = run
        self.telemetry = metrics
        self.counts = CallCounts()

    def take_counts(self) -> CallCounts:
        """Return the counts since the last call, and start again from 0."""
        counts = self.counts
        self.counts = CallCounts()
        return counts

    def count_verdict(self, kind: str, verdict: calls.Verdict) -> None:
        """Count how a call ended."""
        self.counts.unanswered += verdict == calls.Verdict.UNKNOWN
        self.telemetry.count_call(kind, verdict.value)

    def spawn(self, call: calls.Call) -> None:
        """Make one call in a new greenlet."""
        match call:
            case calls.Start():
                gevent.spawn(self.start, call)
            case calls.Stop():
                gevent.spawn(self.stop, call)
            case calls.StartPolling(endpoint):
                gevent.spawn(self.poll, endpoint)
            case calls.Probe(endpoint):
                gevent.spawn(self.probe, endpoint)
            case calls.RequestAdvice():
                gevent.spawn(self.request_advice, call)
            case _:
                typing.assert_never(call)

    def start(self, call: calls.Start) -> None:
        """Start an attempt."""
        self.counts.starts += 1
        self.dispatcher.on_start_sent(call)
        answer = self.client.start(call)
        self.count_verdict("start", answer.verdict)
        self.run(self.dispatcher.on_start_answer(call, answer))

    def stop(self, call: calls.Stop) -> None:
        """Stop an attempt."""
        self.counts.stops += 1
        answer = self.client.stop(call)
        self.count_verdict("stop", answer.verdict)
        self.run(self.dispatcher.on_stop_answer(call, answer))

    def probe(self, endpoint: str) -> None:
        """Get the lists of an endpoint once."""
        call = self.dispatcher.build_probe(endpoint)
        if call is None:
            return
        self.counts.probes += 1
        answer = self.client.hold(call)
        if isinstance(answer, calls.HoldFailed):
            self.count_verdict("look", answer.verdict)
        else:
            self.telemetry.count_call("look", "listed")
        self.run(self.dispatcher.on_probe_result(call, answer))

    def request_advice(self, call: calls.RequestAdvice) -> None:
        """Ask which endpoints may run a step."""
        advice = self.client.request_advice(call)
        self.telemetry.count_call("advice", "none" if advice is None else "answered")
        emit.emit(
            catalogue.ADVICE_TAKEN,
            step=call.step,
            asked=len(call.endpoints),
            allowed=-1 if advice is None else len(advice.allowed),
        )
        self.run(self.dispatcher.on_advice(call, advice))

    def poll(self, endpoint: str) -> None:
        """Poll an endpoint for as long as the dispatcher wants it."""
        pause_s = FIRST_PAUSE_S
        while True:
            call = self.dispatcher.build_hold(endpoint)
            if call is None:
                return
            self.counts.holds += 1
            answer = self.client.hold(call)
            if isinstance(answer, calls.HoldResult):
                pause_s = FIRST_PAUSE_S
                self.run(self.dispatcher.on_hold_result(call, answer))
                if self.dispatcher.has_unacked_ends(endpoint):
                    gevent.sleep(OPEN_ENDS_PAUSE_S)
                continue
            self.count_verdict("hold", answer.verdict)
            self.run(self.dispatcher.on_hold_failed(call, answer))
            gevent.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)
