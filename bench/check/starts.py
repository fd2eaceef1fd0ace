"""Checks that no task starts twice and that no job reported as not run started."""

from __future__ import annotations

import collections

from bench.check import breaches, history_index
from knapweedbeam_server import history

MAX_STARTS = 3


def check_single_starts(index: history_index.HistoryIndex) -> list[breaches.Breach]:
    """Return a breach for each task that endpoints started more than once.

    A single request to a repeatable service may start up to `MAX_STARTS` times.
    """
    found = []
    for task, starts in index.starts.items():
        allowed = MAX_STARTS if index.is_repeatable(task.ticket) else 1
        if len(starts) > allowed:
            subject = f"{task.ticket}/{task.index}"
            detail = f"started {len(starts)} times, allowed {allowed}"
            found.append(
                breaches.Breach(
                    breaches.Promise.SINGLE_START, subject, detail, tuple(starts)
                )
            )
    return found


def check_at_most_once(index: history_index.HistoryIndex) -> list[breaches.Breach]:
    """Return a breach for each non-repeatable request that ran more than once.

    That is a task that started twice, or an own key of a caller under which two tickets
    started.
    """
    found = []
    for task, starts in index.starts.items():
        if len(starts) > 1 and not index.is_repeatable(task.ticket):
            subject = f"{task.ticket}/{task.index}"
            detail = f"not repeatable, but ran {len(starts)} times"
            found.append(
                breaches.Breach(
                    breaches.Promise.AT_MOST_ONCE, subject, detail, tuple(starts)
                )
            )
    return found + check_keys(index)


def check_keys(index: history_index.HistoryIndex) -> list[breaches.Breach]:
    """Return a breach for each own key under which two tickets started."""
    tickets: dict[tuple[str, str], set[str]] = collections.defaultdict(set)
    for records in index.submitted.values():
        for record in records:
            if record.event.key:
                pair = (record.event.member, record.event.key)
                tickets[pair].add(record.event.ticket)
    found = []
    for (member, key), key_tickets in tickets.items():
        started = sorted(
            ticket for ticket in key_tickets if index.started_jobs.get(ticket)
        )
        if len(started) > 1:
            proof = tuple(index.started_jobs[ticket][0] for ticket in started)
            detail = f"{len(started)} tickets started"
            found.append(
                breaches.Breach(
                    breaches.Promise.AT_MOST_ONCE, f"{member} {key}", detail, proof
                )
            )
    return found


def check_not_run(index: history_index.HistoryIndex) -> list[breaches.Breach]:
    """Return a breach for each job reported as not run of which a task started."""
    found = []
    for ticket, answers in index.answers.items():
        not_run = [a for a in answers if a.event.outcome == history.OutcomeKind.NOT_RUN]
        starts = index.started_jobs.get(ticket, [])
        if not_run and starts:
            detail = f"reported as not run, but {len(starts)} tasks started"
            proof: breaches.Proof = (not_run[0], *starts)
            found.append(
                breaches.Breach(breaches.Promise.TRUE_NOT_RUN, ticket, detail, proof)
            )
    return found
