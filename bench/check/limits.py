"""Checks that no contract limit is exceeded in any window."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import typing

from bench import events
from bench.check import breaches, history_index, reader
from knapweedbeam_server import history


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """An amount of a limit used at a time, with the record of it."""

    at_ms: int
    amount: int
    record: reader.Record[typing.Any]


def check_limits(index: history_index.HistoryIndex) -> list[breaches.Breach]:
    """Return a breach for each window in which a limit was exceeded.

    Limits on task starts that the bench declared are checked against the records of the
    endpoints, and other limits against those of the entry VMs.
    """
    return [
        *check_declared(index),
        *check_sliding(index.merged),
        *check_aligned(index.merged),
    ]


def check_declared(index: history_index.HistoryIndex) -> list[breaches.Breach]:
    """Return a breach for each declared limit on task starts that was exceeded."""
    found = []
    members = {
        ticket: records[0].event.member for ticket, records in index.submitted.items()
    }
    starts = index.merged.get(history.Started, history.Role.ENDPOINT)
    for declared in index.merged.get(events.LimitDeclared):
        limit = declared.event
        usages = [
            Usage(start.at_ms, 1, start)
            for start in starts
            if members.get(start.event.ticket) == limit.member
        ]
        excess = find_excess(usages, limit.window_ms, limit.task_starts)
        if excess:
            found.append(
                build_breach(
                    limit.member, limit.limit, excess, limit.task_starts, (declared,)
                )
            )
    return found


def check_sliding(merged: reader.History) -> list[breaches.Breach]:
    """Return a breach for each sliding window of an entry VM's limit exceeded."""
    usages: dict[tuple[str, str], list[Usage]] = collections.defaultdict(list)
    rules: dict[tuple[str, str], tuple[int, int]] = {}
    for record in merged.get(history.LimitUsed):
        event = record.event
        if event.sliding:
            name = (event.member, event.limit)
            usages[name].append(Usage(record.at_ms, event.amount, record))
            allowed = max(event.allowed, rules.get(name, (0, 0))[1])
            rules[name] = (event.window_ms, allowed)
    found = []
    for name, window_usages in usages.items():
        window_ms, allowed = rules[name]
        excess = find_excess(window_usages, window_ms, allowed)
        if excess:
            found.append(build_breach(*name, excess, allowed, ()))
    return found


def check_aligned(merged: reader.History) -> list[breaches.Breach]:
    """Return a breach for each aligned window of an entry VM's limit exceeded."""
    usages: dict[tuple[str, str, int], list[Usage]] = collections.defaultdict(list)
    allowed: dict[tuple[str, str, int], int] = {}
    for record in merged.get(history.LimitUsed):
        event = record.event
        if not event.sliding:
            window = (event.member, event.limit, event.window_start_ms)
            usages[window].append(Usage(record.at_ms, event.amount, record))
            allowed[window] = max(event.allowed, allowed.get(window, 0))
    return [
        build_breach(window[0], window[1], window_usages, allowed[window], ())
        for window, window_usages in usages.items()
        if sum(usage.amount for usage in window_usages) > allowed[window]
    ]


def find_excess(
    usages: collections.abc.Sequence[Usage], window_ms: int, allowed: int
) -> list[Usage]:
    """Return the usages of the first window whose total exceeds what is allowed.

    Empty if there is no such window.
    """
    excess: collections.deque[Usage] = collections.deque()
    total = 0
    for usage in sorted(usages, key=lambda each: each.at_ms):
        excess.append(usage)
        total += usage.amount
        while excess and usage.at_ms - excess[0].at_ms >= window_ms:
            total -= excess.popleft().amount
        if total > allowed:
            return list(excess)
    return []


def build_breach(
    member: str,
    limit: str,
    usages: collections.abc.Sequence[Usage],
    allowed: int,
    rule: tuple[reader.Record[typing.Any], ...],
) -> breaches.Breach:
    """Return a breach of a limit, with the usages of the window as proof."""
    total = sum(usage.amount for usage in usages)
    proof = (*rule, *(usage.record for usage in usages))
    detail = f"{total} used in one window, {allowed} allowed"
    return breaches.Breach(breaches.Promise.LIMITS, f"{member} {limit}", detail, proof)
