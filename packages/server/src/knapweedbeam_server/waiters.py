"""HTTP calls that wait for an answer."""

from __future__ import annotations

import dataclasses
import itertools

import gevent.event

from knapweedbeam_core import effects, outcomes
from knapweedbeam_core.entry import parts

JobAnswer = outcomes.Outcome | outcomes.Refusal
ProposalAnswer = parts.Accepted | outcomes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Resolved:
    """An answer, with the ticket that the caller should use from now on."""

    ticket: str
    answer: JobAnswer


@dataclasses.dataclass(slots=True)
class WaiterGroup:
    """The calls at this process that wait for one ticket and sent the same body."""

    result: gevent.event.AsyncResult = dataclasses.field(
        default_factory=gevent.event.AsyncResult
    )
    count: int = 0


class JobWaiters:
    """The waiting calls by ticket; a group is removed with its last call.

    Calls are grouped by the digest of their body, so that the refusal of one body
    never reaches calls that sent another body or none.
    """

    def __init__(self) -> None:
        self.tickets: dict[str, dict[bytes, WaiterGroup]] = {}

    def join(self, ticket: str, digest: bytes) -> WaiterGroup:
        """Add a call that waits for a ticket; the digest is empty without a body."""
        groups = self.tickets.setdefault(ticket, {})
        group = groups.setdefault(digest, WaiterGroup())
        group.count += 1
        return group

    def leave(self, ticket: str, digest: bytes, group: WaiterGroup) -> None:
        """Remove a call from its group."""
        group.count -= 1
        groups = self.tickets.get(ticket, {})
        if group.count or groups.get(digest) is not group:
            return
        del groups[digest]
        if not groups:
            del self.tickets[ticket]

    def resolve(self, answer: effects.Answer) -> None:
        """Pass an answer to the calls that it concerns.

        The refusal of a body reaches only the calls that sent that body; any other
        answer reaches all calls for the ticket.
        """
        final_ticket = answer.key_ticket or answer.ticket
        resolved = Resolved(final_ticket, answer.outcome)
        is_refusal = isinstance(answer.outcome, outcomes.Refusal)
        if is_refusal and answer.body_digest:
            group = self.tickets.get(answer.ticket, {}).get(answer.body_digest)
            if group is not None:
                group.result.set(resolved)
            return
        for group in self.tickets.pop(answer.ticket, {}).values():
            group.result.set(resolved)

    def get_count(self) -> int:
        """Return the number of waiting calls."""
        groups = [
            group for by_digest in self.tickets.values() for group in by_digest.values()
        ]
        return sum(group.count for group in groups)


class ProposalWaiters:
    """Operators' proposals that wait for the replicated log."""

    def __init__(self) -> None:
        self.calls = itertools.count(1)
        self.results: dict[int, gevent.event.AsyncResult] = {}

    def open(self) -> tuple[int, gevent.event.AsyncResult]:
        """Return a new call number and the result to wait for."""
        call = next(self.calls)
        result = self.results[call] = gevent.event.AsyncResult()
        return call, result

    def resolve(self, call: int, answer: ProposalAnswer) -> None:
        """Pass the answer to its call, if that still waits."""
        result = self.results.pop(call, None)
        if result is not None:
            result.set(answer)
