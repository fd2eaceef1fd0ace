"""Checks that answers are complete and belong to their requests."""

from __future__ import annotations

from bench.check import breaches, history_index
from knapweedbeam_core import ids
from knapweedbeam_server import history


def check_complete(index: history_index.HistoryIndex) -> list[breaches.Breach]:
    """Return a breach for each answer that is neither complete nor failed.

    A complete outcome has one answer per task, and an endpoint started each task; any
    other outcome has no answers.
    """
    found = []
    for ticket, answers in index.answers.items():
        for answer in answers:
            detail = describe_missing(index, ticket, answer)
            if detail:
                proof = (*index.submitted.get(ticket, ())[:1], answer)
                found.append(
                    breaches.Breach(
                        breaches.Promise.WHOLE_OUTCOME, ticket, detail, proof
                    )
                )
    return found


def describe_missing(
    index: history_index.HistoryIndex, ticket: str, answer: history_index.Answered
) -> str:
    """Return what is wrong with an answer, empty if nothing is."""
    event, tasks = answer.event, index.count_tasks(ticket)
    if event.outcome != history.OutcomeKind.COMPLETE:
        return f"{event.outcome} with {event.answers} answers" if event.answers else ""
    if event.answers != tasks:
        return f"{event.answers} answers to {tasks} tasks"
    missing = [n for n in range(tasks) if ids.TaskId(ticket, n) not in index.starts]
    return f"complete, but tasks {missing} never started" if missing else ""


def check_ownership(index: history_index.HistoryIndex) -> list[breaches.Breach]:
    """Return a breach for each answer that contains those of another request."""
    return [
        breaches.Breach(
            breaches.Promise.OWN_ANSWER,
            ticket,
            f"answers {list(answer.event.foreign)} belong to another request",
            (answer,),
        )
        for ticket, answers in index.answers.items()
        for answer in answers
        if answer.event.foreign
    ]
