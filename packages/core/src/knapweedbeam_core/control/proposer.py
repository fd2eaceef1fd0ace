"""Forwarding of operators' proposals from an entry VM to the leader."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, outcomes, reasons
from knapweedbeam_core.bundles import model, signing
from knapweedbeam_core.control import messages

CALL_TIMEOUT_MS = 5_000
ATTEMPT_TIMEOUT_MS = 1_500
RETRY_MS = 200
MAX_CALLS = 64
MAX_DETAIL_ERRORS = 20

REASONS = {
    messages.Verdict.CONFLICT: reasons.Reason.CONFLICT,
    messages.Verdict.INVALID: reasons.Reason.INVALID,
    messages.Verdict.SIGNATURES: reasons.Reason.SIGNATURES,
    messages.Verdict.STALE: reasons.Reason.STALE,
}


@dataclasses.dataclass(slots=True)
class Call:
    """An operator's call; `unanswered` holds the attempts of unknown outcome."""

    number: int
    text: str
    due_ms: int
    next_attempt_ms: int
    unanswered: set[int] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """The result of a call: the accepted bundle, or why none was accepted."""

    call: int
    result: messages.BundleProposed | outcomes.Refusal


def check_text(text: str) -> outcomes.Refusal | None:
    """Return the refusal of a text that is invalid by itself, else None."""
    signed = signing.parse_signed(text)
    if isinstance(signed, model.BundleError):
        return build_invalid((signed,))
    bundle = model.parse_bundle(text)
    if isinstance(bundle, tuple):
        return build_invalid(bundle)
    return None


def build_invalid(errors: tuple[model.BundleError, ...]) -> outcomes.Refusal:
    """Return a refusal that lists the first `MAX_DETAIL_ERRORS` errors."""
    lines = [f"{error.field}: {error.detail}" for error in errors[:MAX_DETAIL_ERRORS]]
    return outcomes.Refusal(reasons.Reason.INVALID, "\n".join(lines))


class Proposer:
    """The operators' calls at this node that wait for a decision."""

    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.calls: dict[int, Call] = {}
        self.attempts = 0
        self.results: list[CallResult] = []

    def add(self, number: int, text: str) -> None:
        """Add a call, or refuse it at once if it is invalid or too many are open."""
        refusal = check_text(text)
        if refusal is None and len(self.calls) >= MAX_CALLS:
            refusal = outcomes.Refusal(reasons.Reason.OVERLOADED)
        if refusal is not None:
            self.results.append(CallResult(number, refusal))
            return
        now_ms = self.clock.now_ms()
        self.calls[number] = Call(number, text, now_ms + CALL_TIMEOUT_MS, now_ms)

    def build_due_attempts(self, term: int) -> list[messages.ProposeBundle]:
        """Return the attempts that are due, addressed to the leader of `term`."""
        now_ms = self.clock.now_ms()
        due = []
        for call in self.calls.values():
            if now_ms < call.next_attempt_ms:
                continue
            self.attempts += 1
            call.unanswered.add(self.attempts)
            call.next_attempt_ms = now_ms + ATTEMPT_TIMEOUT_MS
            attempt = messages.ProposeBundle(
                call.number, self.attempts, term, call.text
            )
            due.append(attempt)
        return due

    def expire(self) -> None:
        """End the calls that timed out.

        The outcome is unknown while an attempt is unanswered; otherwise nothing
        has changed.
        """
        now_ms = self.clock.now_ms()
        for call in [c for c in self.calls.values() if now_ms >= c.due_ms]:
            del self.calls[call.number]
            reason = reasons.Reason.NO_QUORUM
            if call.unanswered:
                reason = reasons.Reason.OUTCOME_UNKNOWN
            self.results.append(CallResult(call.number, outcomes.Refusal(reason)))

    def handle_reply(self, proposed: messages.BundleProposed) -> None:
        """Handle the leader's reply to one attempt."""
        call = self.calls.get(proposed.call)
        if call is None or proposed.verdict == messages.Verdict.UNKNOWN:
            if call is not None:
                call.next_attempt_ms = self.clock.now_ms() + RETRY_MS
            return
        call.unanswered.discard(proposed.attempt)
        if proposed.verdict == messages.Verdict.NO_QUORUM:
            call.next_attempt_ms = self.clock.now_ms() + RETRY_MS
            return
        del self.calls[call.number]
        if proposed.verdict == messages.Verdict.ACCEPTED:
            self.results.append(CallResult(call.number, proposed))
            return
        refusal = outcomes.Refusal(REASONS[proposed.verdict], proposed.detail)
        self.results.append(CallResult(call.number, refusal))

    def take_results(self) -> list[CallResult]:
        """Return and clear the results since the last call."""
        results, self.results = self.results, []
        return results
