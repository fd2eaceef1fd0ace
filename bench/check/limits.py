"""Checks that no contract limit is exceeded in any window."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import typing

from bench import events
from bench.check import breaches, reader, view
from knapweedbeam_server import history


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """An amount used at a time, with the record that says so."""

    at_ms: int
    amount: int
    record: reader.Record[typing.Any]


def check_limits(seen: view.View) -> list[breaches.Breach]:
    """Return a breach for each window in which a limit was exceeded.

    Where the bench declared a limit on task starts, the endpoints' own records
    decide; other limits are judged by what the entry VMs recorded.
    """
    return [
        *check_declared(seen),
        *check_sliding(seen.merged),
        *check_aligned(seen.merged),
    ]


def check_declared(seen: view.View) -> list[breaches.Breach]:
    """Check the limits on task starts that the bench declared."""
    found = []
    members = {
        ticket: records[0].event.member for ticket, records in seen.submitted.items()
    }
    starts = seen.merged.get(history.Started, history.Role.ENDPOINT)
    for declared in seen.merged.get(events.LimitDeclared):
        limit = declared.event
        uses = [
            Use(start.at_ms, 1, start)
            for start in starts
            if members.get(start.event.ticket) == limit.member
        ]
        crowd = find_crowd(uses, limit.window_ms, limit.task_starts)
        if crowd:
            found.append(
                build(limit.member, limit.limit, crowd, limit.task_starts, (declared,))
            )
    return found


def check_sliding(merged: reader.History) -> list[breaches.Breach]:
    """Check the sliding windows that entry VMs recorded."""
    uses: dict[tuple[str, str], list[Use]] = collections.defaultdict(list)
    rules: dict[tuple[str, str], tuple[int, int]] = {}
    for record in merged.get(history.LimitUsed):
        event = record.event
        if event.sliding:
            name = (event.member, event.limit)
            uses[name].append(Use(record.at_ms, event.amount, record))
            allowed = max(event.allowed, rules.get(name, (0, 0))[1])
            rules[name] = (event.window_ms, allowed)
    found = []
    for name, own in uses.items():
        window_ms, allowed = rules[name]
        crowd = find_crowd(own, window_ms, allowed)
        if crowd:
            found.append(build(*name, crowd, allowed, ()))
    return found


def check_aligned(merged: reader.History) -> list[breaches.Breach]:
    """Check the aligned windows that entry VMs recorded."""
    uses: dict[tuple[str, str, int], list[Use]] = collections.defaultdict(list)
    allowed: dict[tuple[str, str, int], int] = {}
    for record in merged.get(history.LimitUsed):
        event = record.event
        if not event.sliding:
            window = (event.member, event.limit, event.window_start_ms)
            uses[window].append(Use(record.at_ms, event.amount, record))
            allowed[window] = max(event.allowed, allowed.get(window, 0))
    return [
        build(window[0], window[1], own, allowed[window], ())
        for window, own in uses.items()
        if sum(use.amount for use in own) > allowed[window]
    ]


def find_crowd(
    uses: collections.abc.Sequence[Use], window_ms: int, allowed: int
) -> list[Use]:
    """Return the uses of the first window that holds more than is allowed."""
    crowd: collections.deque[Use] = collections.deque()
    total = 0
    for use in sorted(uses, key=lambda each: each.at_ms):
        crowd.append(use)
        total += use.amount
        while crowd and use.at_ms - crowd[0].at_ms >= window_ms:
            total -= crowd.popleft().amount
        if total > allowed:
            return list(crowd)
    return []


def build(
    member: str,
    limit: str,
    uses: collections.abc.Sequence[Use],
    allowed: int,
    rule: tuple[reader.Record[typing.Any], ...],
) -> breaches.Breach:
    """Return a breach of a limit."""
    total = sum(use.amount for use in uses)
    proof = (*rule, *(use.record for use in uses))
    detail = f"{total} used in one window, {allowed} allowed"
    return breaches.Breach(breaches.Promise.LIMITS, f"{member} {limit}", detail, proof)
