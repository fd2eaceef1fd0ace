"""Calls that wait for an answer."""

from __future__ import annotations

import dataclasses
import itertools

import gevent.event

from knapweedbeam_core import outcomes, reasons
from knapweedbeam_core.entry import parts

JobAnswer = outcomes.Outcome | outcomes.Refusal
ProposalAnswer = parts.Accepted | outcomes.Refusal


@dataclasses.dataclass(slots=True)
class Group:
    """All calls at this process that wait for one ticket with one body."""

    digest: bytes
    result: gevent.event.AsyncResult = dataclasses.field(
        default_factory=gevent.event.AsyncResult
    )
    count: int = 0


class JobWaiters:
    """Who waits for which ticket; a group ends with its last call."""

    def __init__(self) -> None:
        self.groups: dict[str, Group] = {}

    def join(self, ticket: str, digest: bytes) -> Group | outcomes.Refusal:
        """Wait for a ticket; an empty digest is a call that brings no body.

        Another body under the same ticket is a conflict: the answer to one of
        the two must not reach the other.
        """
        group = self.groups.get(ticket)
        if group is None:
            group = self.groups[ticket] = Group(digest)
        if digest and group.digest and digest != group.digest:
            detail = "the ticket was submitted with another body"
            return outcomes.Refusal(reasons.Reason.CONFLICT, detail)
        group.digest = group.digest or digest
        group.count += 1
        return group

    def leave(self, ticket: str, group: Group) -> None:
        """Stop waiting."""
        group.count -= 1
        if not group.count and self.groups.get(ticket) is group:
            del self.groups[ticket]

    def resolve(self, ticket: str, answer: JobAnswer) -> None:
        """Give the answer to all who wait."""
        group = self.groups.pop(ticket, None)
        if group is not None:
            group.result.set(answer)

    def get_count(self) -> int:
        """Return how many calls wait."""
        return sum(group.count for group in self.groups.values())


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
