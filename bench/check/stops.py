"""Checks that a graceful shutdown interrupts no request."""

from __future__ import annotations

from bench import events
from bench.check import breaches, history_index, reader
from knapweedbeam_core import reasons
from knapweedbeam_server import history

INTERRUPTED_REASONS = frozenset(
    {
        reasons.Reason.OWNER_LOST,
        reasons.Reason.OUTCOME_UNKNOWN,
        reasons.Reason.ENDPOINT_LOST,
    }
)


def check_stops(index: history_index.HistoryIndex) -> list[breaches.Breach]:
    """Return a breach for each request that a graceful stop interrupted.

    Also returns one for each process that itself reports interrupted requests.
    """
    found = []
    for stop in index.merged.get(events.StopSent):
        for ticket, detail, proof in find_interrupted(index, stop):
            found.append(
                breaches.Breach(
                    breaches.Promise.GRACEFUL_STOP, ticket, detail, (stop, *proof)
                )
            )
    for stopped in index.merged.get(history.Stopped):
        if stopped.event.cut:
            detail = f"reports that it interrupted {stopped.event.cut} requests"
            found.append(
                breaches.Breach(
                    breaches.Promise.GRACEFUL_STOP, stopped.process, detail, (stopped,)
                )
            )
    return found


def find_interrupted(
    index: history_index.HistoryIndex, stop: reader.Record[events.StopSent]
) -> list[tuple[str, str, breaches.Proof]]:
    """Return ticket, detail and proof of each request that the stop interrupted.

    That is a request sent to the process before its stop whose connection broke
    afterwards, or one that was then answered as lost with its owner.
    """
    name = stop.event.process
    found: list[tuple[str, str, breaches.Proof]] = []
    for lost in index.merged.get(events.ConnectionLost):
        event = lost.event
        sent_before = event.sent_ms < stop.at_ms <= lost.at_ms
        if event.to == name and sent_before and not event.refused:
            found.append((event.ticket, "its connection broke", (lost,)))
    for ticket, answers in index.answers.items():
        for answer in answers:
            if is_lost_by_stop(index, answer, stop):
                detail = f"answered {answer.event.reason} after the stop"
                found.append((ticket, detail, (answer,)))
    return found


def is_lost_by_stop(
    index: history_index.HistoryIndex,
    answer: history_index.Answered,
    stop: reader.Record[events.StopSent],
) -> bool:
    """Say whether an answer reports a job of the stopped process as lost.

    The job was submitted to the process before its stop and answered after it.
    """
    event = answer.event
    if event.outcome != history.OutcomeKind.FAILED or answer.at_ms < stop.at_ms:
        return False
    if event.reason not in INTERRUPTED_REASONS:
        return False
    first = index.submitted.get(event.ticket, ())[:1]
    return any(
        record.event.to == stop.event.process and record.at_ms < stop.at_ms
        for record in first
    )
