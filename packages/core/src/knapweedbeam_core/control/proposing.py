"""How an entry VM brings an operator's proposal to the leader."""

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
    """One operator's call; `unanswered` holds the attempts whose end is open."""

    number: int
    text: str
    due_ms: int
    next_ms: int
    unanswered: set[int] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A call's answer: what was accepted, or why nothing was."""

    call: int
    result: messages.BundleProposed | outcomes.Refusal


def check_text(text: str) -> outcomes.Refusal | None:
    """Return why a text can never be accepted, or none."""
    signed = signing.parse_signed(text)
    if isinstance(signed, model.BundleError):
        return build_invalid((signed,))
    bundle = model.parse_bundle(text)
    if isinstance(bundle, tuple):
        return build_invalid(bundle)
    return None


def build_invalid(errors: tuple[model.BundleError, ...]) -> outcomes.Refusal:
    """Return a refusal that names every error."""
    lines = [f"{error.field}: {error.detail}" for error in errors[:MAX_DETAIL_ERRORS]]
    return outcomes.Refusal(reasons.Reason.INVALID, "\n".join(lines))


class Proposer:
    """The calls that wait here for a decision."""

    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.calls: dict[int, Call] = {}
        self.attempts = 0
        self.ended: list[Ended] = []

    def add(self, number: int, text: str) -> None:
        """Take a call, or end it at once."""
        refusal = check_text(text)
        if refusal is None and len(self.calls) >= MAX_CALLS:
            refusal = outcomes.Refusal(reasons.Reason.OVERLOADED)
        if refusal is not None:
            self.ended.append(Ended(number, refusal))
            return
        now_ms = self.clock.now_ms()
        self.calls[number] = Call(number, text, now_ms + CALL_TIMEOUT_MS, now_ms)

    def get_due(self, term: int) -> list[messages.ProposeBundle]:
        """Return the attempts that are due, for the leader of `term`."""
        now_ms = self.clock.now_ms()
        due = []
        for call in self.calls.values():
            if now_ms < call.next_ms:
                continue
            self.attempts += 1
            call.unanswered.add(self.attempts)
            call.next_ms = now_ms + ATTEMPT_TIMEOUT_MS
            attempt = messages.ProposeBundle(
                call.number, self.attempts, term, call.text
            )
            due.append(attempt)
        return due

    def expire(self) -> None:
        """End the calls whose time is over, as surely unchanged or as unknown."""
        now_ms = self.clock.now_ms()
        for call in [c for c in self.calls.values() if now_ms >= c.due_ms]:
            del self.calls[call.number]
            reason = reasons.Reason.NO_QUORUM
            if call.unanswered:
                reason = reasons.Reason.OUTCOME_UNKNOWN
            self.ended.append(Ended(call.number, outcomes.Refusal(reason)))

    def take(self, proposed: messages.BundleProposed) -> None:
        """Take the answer to one attempt."""
        call = self.calls.get(proposed.call)
        if call is None or proposed.verdict == messages.Verdict.UNKNOWN:
            if call is not None:
                call.next_ms = self.clock.now_ms() + RETRY_MS
            return
        call.unanswered.discard(proposed.attempt)
        if proposed.verdict == messages.Verdict.NO_QUORUM:
            call.next_ms = self.clock.now_ms() + RETRY_MS
            return
        del self.calls[call.number]
        if proposed.verdict == messages.Verdict.ACCEPTED:
            self.ended.append(Ended(call.number, proposed))
            return
        refusal = outcomes.Refusal(REASONS[proposed.verdict], proposed.detail)
        self.ended.append(Ended(call.number, refusal))

    def take_ended(self) -> list[Ended]:
        """Return the calls that ended since the last time."""
        ended, self.ended = self.ended, []
        return ended
