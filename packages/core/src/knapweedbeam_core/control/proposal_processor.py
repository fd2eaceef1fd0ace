"""Processing of bundle proposals at the leader, one at a time."""

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
DISTRIBUTION_WAIT_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One attempt to have a bundle accepted."""

    sender: ids.ProcessId
    call: int
    attempt: int
    text: str

    @property
    def origin(self) -> str:
        """Return an identifier that is the same for all attempts of one call."""
        return f"{self.sender.name}/{self.sender.incarnation}/{self.call}"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The reply to a request."""

    request: Request
    proposed: messages.BundleProposed


@dataclasses.dataclass(frozen=True, slots=True)
class PendingProposal:
    """A bundle that is in the log but not committed yet."""

    request: Request
    version: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredDecision:
    """An acceptance that is sent once the bundle is in force at the entry VMs.

    It is sent at `until_ms` at the latest.
    """

    decision: Decision
    until_ms: int


def build_decision(
    request: Request,
    verdict: messages.Verdict,
    detail: str = "",
    version: int = 0,
    digest: str = "",
    again: bool = False,
) -> Decision:
    """Return the decision on a request as a reply to its sender."""
    proposed = messages.BundleProposed(
        request.call, request.attempt, verdict, version, digest, again, detail
    )
    return Decision(request, proposed)


class ProposalProcessor:
    """Checks proposals at the leader and puts the valid ones into the log.

    `decisions` holds the replies to send.
    """

    def __init__(
        self,
        own_replica: replica.Replica,
        state: ledger.Ledger,
        timer: clock.Clock,
        initial_keys: tuple[bytes, ...],
        initial_needed: int,
    ) -> None:
        self.replica = own_replica
        self.ledger = state
        self.clock = timer
        self.keys = initial_keys
        self.needed = max(1, initial_needed)
        self.newest_attempts: dict[str, tuple[int, int]] = {}
        self.queue: collections.deque[Request] = collections.deque()
        self.pending: PendingProposal | None = None
        self.deferred: list[DeferredDecision] = []
        self.decisions: list[Decision] = []

    def apply_bundle(self, bundle: model.Bundle) -> None:
        """Use the operators' keys of the newest accepted bundle."""
        self.keys = compile.get_operator_keys(bundle)
        self.needed = bundle.signatures

    def handle_request(self, request: Request, term: int) -> parts.Effects:
        """Queue an attempt for the leader of `term`, unless it is a late copy."""
        sender = request.sender
        newest = self.newest_attempts.get(sender.name)
        number = (sender.incarnation, request.attempt)
        if newest is not None and newest[0] == number[0] and newest[1] >= number[1]:
            return []
        self.newest_attempts[sender.name] = number
        is_current = term == self.replica.wal.term and self.replica.is_leader
        if not is_current or len(self.queue) >= MAX_QUEUED:
            self.decisions.append(build_decision(request, messages.Verdict.NO_QUORUM))
            return []
        self.queue.append(request)
        return self.process_queue()

    def process_queue(self) -> parts.Effects:
        """Process queued requests until one waits for the log."""
        if self.replica.leader_state is None:
            self.end_all()
            return []
        produced: parts.Effects = []
        while self.queue and self.pending is None and self.replica.is_caught_up:
            produced += self.process_request(self.queue.popleft())
        return produced

    def end_all(self) -> None:
        """End all requests, as this replica no longer leads.

        Queued ones changed nothing; the outcome of the pending one is unknown.
        """
        while self.queue:
            request = self.queue.popleft()
            self.decisions.append(build_decision(request, messages.Verdict.NO_QUORUM))
        if self.pending is not None:
            request = self.pending.request
            self.decisions.append(build_decision(request, messages.Verdict.UNKNOWN))
            self.pending = None

    def process_request(self, request: Request) -> parts.Effects:
        """Refuse a proposal, repeat an earlier reply, or put it into the log."""
        signed = signing.parse_signed(request.text)
        bundle = model.parse_bundle(request.text)
        if isinstance(signed, model.BundleError) or isinstance(bundle, tuple):
            self.decisions.append(build_decision(request, messages.Verdict.INVALID))
            return []
        if bundle.version <= self.ledger.version:
            self.answer_decided(request, bundle.version, signed.digest)
            return []
        verdict, detail = self.check_new(bundle, signed)
        if verdict != messages.Verdict.ACCEPTED:
            self.decisions.append(build_decision(request, verdict, detail))
            return []
        self.pending = PendingProposal(request, bundle.version, signed.digest)
        command = ledger.RollBundle(
            bundle.version, signed.digest, request.text, request.origin
        )
        return self.replica.propose(ledger.encode(command))

    def check_new(
        self, bundle: model.Bundle, signed: signing.Signed
    ) -> tuple[messages.Verdict, str]:
        """Check whether a bundle may follow the newest one."""
        newest = self.ledger.version
        if bundle.version != newest + 1:
            return messages.Verdict.CONFLICT, self.describe(newest)
        if not signing.verify_signatures(signed, self.keys, self.needed):
            detail = f"signatures needed: {self.needed}, by keys of version {newest}"
            return messages.Verdict.SIGNATURES, detail
        return messages.Verdict.ACCEPTED, ""

    def describe(self, version: int) -> str:
        """Return the accepted version and its digest as text."""
        if not version:
            return "no version is accepted yet"
        return f"version {version} is accepted with digest " + self.ledger.get_digest(
            version
        )

    def answer_decided(self, request: Request, version: int, digest: str) -> None:
        """Answer a request for a version that was accepted earlier."""
        accepted = self.ledger.get_digest(version)
        if not accepted:
            detail = f"the digest of version {version} is no longer kept"
            self.decisions.append(
                build_decision(request, messages.Verdict.STALE, detail)
            )
            return
        if accepted != digest:
            detail = self.describe(version)
            self.decisions.append(
                build_decision(request, messages.Verdict.CONFLICT, detail)
            )
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
        return self.process_queue()

    def accept(self, request: Request, version: int, digest: str, again: bool) -> None:
        """Accept a request; the reply is deferred while the bundle is distributed."""
        decision = build_decision(
            request, messages.Verdict.ACCEPTED, "", version, digest, again
        )
        until_ms = self.clock.now_ms() + DISTRIBUTION_WAIT_MS
        self.deferred.append(DeferredDecision(decision, until_ms))

    def release_deferred(self, distributed_version: int) -> None:
        """Release replies whose bundle is in force everywhere or whose wait is over."""
        now_ms = self.clock.now_ms()
        waiting = []
        for deferred in self.deferred:
            is_distributed = deferred.decision.proposed.version <= distributed_version
            if is_distributed or now_ms >= deferred.until_ms:
                self.decisions.append(deferred.decision)
            else:
                waiting.append(deferred)
        self.deferred = waiting

    def take_decisions(self) -> collections.abc.Sequence[Decision]:
        """Return and clear the decisions made since the last call."""
        decisions, self.decisions = self.decisions, []
        return decisions
