"""Calls that wait for an answer."""

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
    """An answer, under the ticket that the caller should keep."""

    ticket: str
    answer: JobAnswer


@dataclasses.dataclass(slots=True)
class Group:
    """All calls at this process that wait for one ticket with one body."""

    result: gevent.event.AsyncResult = dataclasses.field(
        default_factory=gevent.event.AsyncResult
    )
    count: int = 0


class JobWaiters:
    """Who waits for which ticket; a group ends with its last call.

    Calls that brought a body are grouped by its digest, so that the refusal of
    one body never reaches those who sent another, or only asked.
    """

    def __init__(self) -> None:
        self.tickets: dict[str, dict[bytes, Group]] = {}

    def join(self, ticket: str, digest: bytes) -> Group:
        """Wait for a ticket; an empty digest is a call that brings no body."""
        groups = self.tickets.setdefault(ticket, {})
        group = groups.setdefault(digest, Group())
        group.count += 1
        return group

    def leave(self, ticket: str, digest: bytes, group: Group) -> None:
        """Stop waiting."""
        group.count -= 1
        groups = self.tickets.get(ticket, {})
        if group.count or groups.get(digest) is not group:
            return
        del groups[digest]
        if not groups:
            del self.tickets[ticket]

    def resolve(self, answer: effects.Answer) -> None:
        """Give the answer to all whom it concerns."""
        kept = answer.key_ticket or answer.ticket
        resolved = Resolved(kept, answer.outcome)
        is_refusal = isinstance(answer.outcome, outcomes.Refusal)
        if is_refusal and answer.body_digest:
            group = self.tickets.get(answer.ticket, {}).get(answer.body_digest)
            if group is not None:
                group.result.set(resolved)
            return
        for group in self.tickets.pop(answer.ticket, {}).values():
            group.result.set(resolved)

    def get_count(self) -> int:
        """Return how many calls wait."""
        groups = [group for known in self.tickets.values() for group in known.values()]
        return sum(group.count for group in groups)


class ProposalWaiters:
    """Operators' calls that wait for the replicated log."""

    def __init__(self) -> None:
        self.calls = itertools.count(1)
        self.results: dict[int, gevent.event.AsyncResult] = {}

    def open(self) -> tuple[int, gevent.event.AsyncResult]:
        """Return a new call number and its result."""
        call = next(self.calls)
        result = self.results[call] = gevent.event.AsyncResult()
        return call, result

    def resolve(self, call: int, answer: ProposalAnswer) -> None:
        """Give the answer to the call."""
        result = self.results.pop(call, None)
        if result is not None:
            result.set(answer)
