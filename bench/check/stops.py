"""Checks that a graceful shutdown cuts no request."""

from __future__ import annotations

from bench import events
from bench.check import breaches, reader, view
from knapweedbeam_core import reasons
from knapweedbeam_server import history

CUT_REASONS = frozenset(
    {
        reasons.Reason.OWNER_LOST,
        reasons.Reason.OUTCOME_UNKNOWN,
        reasons.Reason.ENDPOINT_LOST,
    }
)


def check_stops(seen: view.View) -> list[breaches.Breach]:
    """Return a breach for each request that a graceful stop cut."""
    found = []
    for stop in seen.merged.get(events.StopSent):
        for ticket, detail, proof in find_cut(seen, stop):
            found.append(
                breaches.Breach(
                    breaches.Promise.GRACEFUL_STOP, ticket, detail, (stop, *proof)
                )
            )
    for stopped in seen.merged.get(history.Stopped):
        if stopped.event.cut:
            detail = f"says that it cut {stopped.event.cut} requests"
            found.append(
                breaches.Breach(
                    breaches.Promise.GRACEFUL_STOP, stopped.process, detail, (stopped,)
                )
            )
    return found


def find_cut(
    seen: view.View, stop: reader.Record[events.StopSent]
) -> list[tuple[str, str, breaches.Proof]]:
    """Return ticket, detail and proof of each request that the stop cut.

    That is a request sent to the process before its stop whose connection broke
    afterwards, or one that then was answered as lost with its owner.
    """
    name = stop.event.process
    found: list[tuple[str, str, breaches.Proof]] = []
    for lost in seen.merged.get(events.ConnectionLost):
        event = lost.event
        sent_before = event.sent_ms < stop.at_ms <= lost.at_ms
        if event.to == name and sent_before and not event.refused:
            found.append((event.ticket, "its connection broke", (lost,)))
    for ticket, answers in seen.answers.items():
        for answer in answers:
            if is_lost_with(seen, answer, stop):
                detail = f"answered {answer.event.reason} after the stop"
                found.append((ticket, detail, (answer,)))
    return found


def is_lost_with(
    seen: view.View, answer: view.Answered, stop: reader.Record[events.StopSent]
) -> bool:
    """Say whether a job that the process took was lost by its stop."""
    event = answer.event
    if event.outcome != history.OutcomeKind.FAILED or answer.at_ms < stop.at_ms:
        return False
    if event.reason not in CUT_REASONS:
        return False
    first = seen.submitted.get(event.ticket, ())[:1]
    return any(
        record.event.to == stop.event.process and record.at_ms < stop.at_ms
        for record in first
    )
