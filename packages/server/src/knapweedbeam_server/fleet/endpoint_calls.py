"""Makes the dispatcher's calls to endpoints, each in a greenlet of its own."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import gevent

from knapweedbeam_core.pool import calls, dispatcher, shards
from knapweedbeam_server.fleet import ports, telemetry
from knapweedbeam_server.logs import catalogue, emit, faults

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
        owner: shards.ShardedDispatcher,
        client: ports.EndpointClient,
        run: Run,
        metrics: telemetry.Telemetry,
    ) -> None:
        self.shards = owner
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
        self.counts.unanswered += verdict.may_have_arrived
        self.telemetry.count_call(kind, verdict.value)

    def spawn(self, call: calls.Call) -> None:
        """Make one call in a new greenlet."""
        gevent.spawn(self.run_call, call)

    def run_call(self, call: calls.Call) -> None:
        """Make one call; an unexpected error is logged and concerns it alone."""
        try:
            self.make_call(call)
        except Exception as error:
            self.report_error(call, error)

    def report_error(self, call: calls.Call | calls.Hold, error: Exception) -> None:
        """Log an unexpected error of a call."""
        emit.emit(
            catalogue.DECISION_FAILED,
            step=type(call).__name__,
            subject=describe_subject(call),
            error=faults.describe(error),
        )

    def make_call(self, call: calls.Call) -> None:
        """Make one call and pass on its answer."""
        match call:
            case calls.Start():
                self.start(call)
            case calls.Stop():
                self.stop(call)
            case calls.StartPolling():
                self.poll(call)
            case calls.Probe(endpoint):
                self.probe(endpoint)
            case calls.RequestAdvice():
                self.request_advice(call)
            case _:
                typing.assert_never(call)

    def start(self, call: calls.Start) -> None:
        """Start an attempt."""
        self.counts.starts += 1
        self.shards.on_start_sent(call)
        try:
            answer = self.client.start(call)
        except Exception as error:
            self.report_error(call, error)
            answer = calls.Answer(calls.Verdict.UNKNOWN)
        self.count_verdict("start", answer.verdict)
        self.run(self.shards.on_start_answer(call, answer))

    def stop(self, call: calls.Stop) -> None:
        """Stop an attempt."""
        self.counts.stops += 1
        try:
            answer = self.client.stop(call)
        except Exception as error:
            self.report_error(call, error)
            answer = calls.Answer(calls.Verdict.UNKNOWN)
        self.count_verdict("stop", answer.verdict)
        self.run(self.shards.on_stop_answer(call, answer))

    def hold(self, call: calls.Hold) -> calls.HoldResult | calls.HoldFailed:
        """Get the lists of an endpoint; an unexpected error counts as no answer."""
        try:
            return self.client.hold(call)
        except Exception as error:
            self.report_error(call, error)
            return calls.HoldFailed(calls.Verdict.UNKNOWN)

    def probe(self, endpoint: str) -> None:
        """Get the lists of an endpoint once."""
        call = self.shards.build_probe(endpoint)
        if call is None:
            return
        self.counts.probes += 1
        answer = self.hold(call)
        if isinstance(answer, calls.HoldFailed):
            self.count_verdict("look", answer.verdict)
        else:
            self.telemetry.count_call("look", "listed")
        self.run(self.shards.on_probe_result(call, answer))

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
        self.run(self.shards.on_advice(call, advice))

    def poll(self, polling: calls.StartPolling) -> None:
        """Poll an endpoint for as long as the dispatcher wants it."""
        pause_s = FIRST_PAUSE_S
        while True:
            call = self.shards.build_hold(polling.endpoint)
            if call is None:
                return
            try:
                is_answered = self.poll_once(call)
            except Exception as error:
                self.report_error(polling, error)
                is_answered = False
            if is_answered:
                pause_s = FIRST_PAUSE_S
                continue
            gevent.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    def poll_once(self, call: calls.Hold) -> bool:
        """Make one hold and pass on its result; return whether it was answered."""
        self.counts.holds += 1
        answer = self.hold(call)
        if isinstance(answer, calls.HoldFailed):
            self.count_verdict("hold", answer.verdict)
            self.run(self.shards.on_hold_failed(call, answer))
            return False
        self.run(self.shards.on_hold_result(call, answer))
        if self.shards.has_unacked_ends(call.target.endpoint):
            gevent.sleep(OPEN_ENDS_PAUSE_S)
        return True


def describe_subject(call: calls.Call | calls.Hold) -> str:
    """Return what a call is about: an endpoint, or the step that needs advice."""
    match call:
        case calls.Start(target) | calls.Stop(target) | calls.Hold(target):
            return target.endpoint
        case calls.StartPolling(endpoint) | calls.Probe(endpoint):
            return endpoint
        case calls.RequestAdvice():
            return call.step
