"""How a leader decides on proposals, one at a time."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses

from knapweedbeam_core import clock, ids
from knapweedbeam_core.bundles import compile, model, signing
from knapweedbeam_core.control import ledger, messages
from knapweedbeam_core.entry import parts
from knapweedbeam_core.log import replica

MAX_QUEUED = 64
SPREAD_WAIT_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One attempt to have a bundle accepted."""

    sender: ids.ProcessId
    call: int
    attempt: int
    text: str

    @property
    def origin(self) -> str:
        """Return what stays the same over the attempts of one call."""
        return f"{self.sender.name}/{self.sender.incarnation}/{self.call}"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What is answered to a request."""

    request: Request
    proposed: messages.BundleProposed


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """A bundle that is in the log and not committed yet."""

    request: Request
    version: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class Spreading:
    """An accepted bundle whose answer waits until it is in force elsewhere."""

    decision: Decision
    until_ms: int


def decide(
    request: Request,
    verdict: messages.Verdict,
    detail: str = "",
    version: int = 0,
    digest: str = "",
    again: bool = False,
) -> Decision:
    """Return a decision."""
    proposed = messages.BundleProposed(
        request.call, request.attempt, verdict, version, digest, again, detail
    )
    return Decision(request, proposed)


class Decider:
    """Takes proposals where the leader is; `decisions` are to be sent."""

    def __init__(
        self,
        own: replica.Replica,
        state: ledger.Ledger,
        timer: clock.Clock,
        first_keys: tuple[bytes, ...],
        first_needed: int,
    ) -> None:
        self.replica = own
        self.ledger = state
        self.clock = timer
        self.keys = first_keys
        self.needed = max(1, first_needed)
        self.seen: dict[str, tuple[int, int]] = {}
        self.queue: collections.deque[Request] = collections.deque()
        self.pending: Pending | None = None
        self.spreading: list[Spreading] = []
        self.decisions: list[Decision] = []

    def obey(self, bundle: model.Bundle) -> None:
        """Take the operators' keys of the newest accepted bundle."""
        self.keys = compile.get_operator_keys(bundle)
        self.needed = bundle.signatures

    def take(self, request: Request, term: int) -> parts.Effects:
        """Take an attempt for the leader of `term`; a late copy is dropped."""
        sender = request.sender
        known = self.seen.get(sender.name)
        number = (sender.incarnation, request.attempt)
        if known is not None and known[0] == number[0] and known[1] >= number[1]:
            return []
        self.seen[sender.name] = number
        is_current = term == self.replica.wal.term and self.replica.is_leader
        if not is_current or len(self.queue) >= MAX_QUEUED:
            self.decisions.append(decide(request, messages.Verdict.NO_QUORUM))
            return []
        self.queue.append(request)
        return self.step()

    def step(self) -> parts.Effects:
        """Go on as far as the log allows."""
        if self.replica.leader_state is None:
            self.give_up()
            return []
        produced: parts.Effects = []
        while self.queue and self.pending is None and self.replica.is_caught_up:
            produced += self.decide_next(self.queue.popleft())
        return produced

    def give_up(self) -> None:
        """Answer everything that this replica can decide no more."""
        while self.queue:
            request = self.queue.popleft()
            self.decisions.append(decide(request, messages.Verdict.NO_QUORUM))
        if self.pending is not None:
            request = self.pending.request
            self.decisions.append(decide(request, messages.Verdict.UNKNOWN))
            self.pending = None

    def decide_next(self, request: Request) -> parts.Effects:
        """Refuse a proposal, answer it again, or put it into the log."""
        signed = signing.parse_signed(request.text)
        bundle = model.parse_bundle(request.text)
        if isinstance(signed, model.BundleError) or isinstance(bundle, tuple):
            self.decisions.append(decide(request, messages.Verdict.INVALID))
            return []
        if bundle.version <= self.ledger.version:
            self.answer_known(request, bundle.version, signed.digest)
            return []
        verdict, detail = self.check_new(bundle, signed)
        if verdict != messages.Verdict.ACCEPTED:
            self.decisions.append(decide(request, verdict, detail))
            return []
        self.pending = Pending(request, bundle.version, signed.digest)
        command = ledger.RollBundle(
            bundle.version, signed.digest, request.text, request.origin
        )
        return self.replica.propose(ledger.encode(command))

    def check_new(
        self, bundle: model.Bundle, signed: signing.Signed
    ) -> tuple[messages.Verdict, str]:
        """Say whether a bundle may follow the newest one."""
        newest = self.ledger.version
        if bundle.version != newest + 1:
            return messages.Verdict.CONFLICT, self.describe(newest)
        if not signing.verify_signatures(signed, self.keys, self.needed):
            detail = f"{self.needed} needed by keys of version {newest}"
            return messages.Verdict.SIGNATURES, detail
        return messages.Verdict.ACCEPTED, ""

    def describe(self, version: int) -> str:
        """Return which version is accepted under which digest."""
        if not version:
            return "no version is accepted yet"
        return f"version {version} is accepted with digest " + self.ledger.get_digest(
            version
        )

    def answer_known(self, request: Request, version: int, digest: str) -> None:
        """Answer for a version that was decided earlier."""
        accepted = self.ledger.get_digest(version)
        if not accepted:
            detail = f"the digest of version {version} is no longer kept"
            self.decisions.append(decide(request, messages.Verdict.STALE, detail))
            return
        if accepted != digest:
            detail = self.describe(version)
            self.decisions.append(decide(request, messages.Verdict.CONFLICT, detail))
            return
        stored = self.ledger.texts.get(version)
        again = stored is None or stored.origin != request.origin
        self.accept(request, version, digest, again)

    def on_applied(self) -> parts.Effects:
        """Answer the pending proposal once its version is decided."""
        pending = self.pending
        if pending is not None and pending.version <= self.ledger.version:
            self.pending = None
            if pending.digest == self.ledger.get_digest(pending.version):
                self.accept(pending.request, pending.version, pending.digest, False)
            else:
                self.queue.appendleft(pending.request)
        return self.step()

    def accept(self, request: Request, version: int, digest: str, again: bool) -> None:
        """Answer as accepted, once the bundle had time to spread."""
        decision = decide(
            request, messages.Verdict.ACCEPTED, "", version, digest, again
        )
        until_ms = self.clock.now_ms() + SPREAD_WAIT_MS
        self.spreading.append(Spreading(decision, until_ms))

    def release(self, spread_version: int) -> None:
        """Answer what is in force everywhere or has waited long enough."""
        now_ms = self.clock.now_ms()
        waiting = []
        for spreading in self.spreading:
            is_spread = spreading.decision.proposed.version <= spread_version
            if is_spread or now_ms >= spreading.until_ms:
                self.decisions.append(spreading.decision)
            else:
                waiting.append(spreading)
        self.spreading = waiting

    def take_decisions(self) -> collections.abc.Sequence[Decision]:
        """Return the decisions since the last call."""
        decisions, self.decisions = self.decisions, []
        return decisions
