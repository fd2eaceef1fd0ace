"""Checks that no task starts twice and that not run is true."""

from __future__ import annotations

import collections

from bench.check import breaches, view
from knapweedbeam_server import history

MAX_REPEATS = 3


def check_single_starts(seen: view.View) -> list[breaches.Breach]:
    """Return a breach for each task that endpoints started more than once.

    A single request to a repeatable service may start again, within bounds.
    """
    found = []
    for task, starts in seen.starts.items():
        allowed = MAX_REPEATS if seen.is_repeatable(task.ticket) else 1
        if len(starts) > allowed:
            subject = f"{task.ticket}/{task.index}"
            detail = f"started {len(starts)} times, allowed {allowed}"
            found.append(
                breaches.Breach(
                    breaches.Promise.SINGLE_START, subject, detail, tuple(starts)
                )
            )
    return found


def check_at_most_once(seen: view.View) -> list[breaches.Breach]:
    """Return a breach for each request not repeatable that ran more than once.

    Beside a task that started twice, that is a caller's own key under which two
    tickets started.
    """
    found = []
    for task, starts in seen.starts.items():
        if len(starts) > 1 and not seen.is_repeatable(task.ticket):
            subject = f"{task.ticket}/{task.index}"
            detail = f"not repeatable, ran {len(starts)} times"
            found.append(
                breaches.Breach(
                    breaches.Promise.AT_MOST_ONCE, subject, detail, tuple(starts)
                )
            )
    return found + check_keys(seen)


def check_keys(seen: view.View) -> list[breaches.Breach]:
    """Return a breach for each own key under which two tickets started."""
    tickets: dict[tuple[str, str], set[str]] = collections.defaultdict(set)
    for records in seen.submitted.values():
        for record in records:
            if record.event.key:
                pair = (record.event.member, record.event.key)
                tickets[pair].add(record.event.ticket)
    found = []
    for (member, key), used in tickets.items():
        started = sorted(ticket for ticket in used if seen.started_jobs.get(ticket))
        if len(started) > 1:
            proof = tuple(seen.started_jobs[ticket][0] for ticket in started)
            detail = f"{len(started)} tickets started"
            found.append(
                breaches.Breach(
                    breaches.Promise.AT_MOST_ONCE, f"{member} {key}", detail, proof
                )
            )
    return found


def check_not_run(seen: view.View) -> list[breaches.Breach]:
    """Return a breach for each job told not run of which a task started."""
    found = []
    for ticket, answers in seen.answers.items():
        told = [a for a in answers if a.event.outcome == history.OutcomeKind.NOT_RUN]
        starts = seen.started_jobs.get(ticket, [])
        if told and starts:
            detail = f"told not run, {len(starts)} tasks started"
            proof: breaches.Proof = (told[0], *starts)
            found.append(
                breaches.Breach(breaches.Promise.TRUE_NOT_RUN, ticket, detail, proof)
            )
    return found
