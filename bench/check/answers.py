"""Checks that answers are whole and belong to their requests."""

from __future__ import annotations

from bench.check import breaches, view
from knapweedbeam_core import ids
from knapweedbeam_server import history


def check_whole(seen: view.View) -> list[breaches.Breach]:
    """Return a breach for each answer that is neither complete nor failed.

    A complete answer has one task answer a task, and endpoints started each; any
    other outcome has none.
    """
    found = []
    for ticket, answers in seen.answers.items():
        for answer in answers:
            detail = find_partial(seen, ticket, answer)
            if detail:
                proof = (*seen.submitted.get(ticket, ())[:1], answer)
                found.append(
                    breaches.Breach(
                        breaches.Promise.WHOLE_OUTCOME, ticket, detail, proof
                    )
                )
    return found


def find_partial(seen: view.View, ticket: str, answer: view.Answered) -> str:
    """Return what an answer lacks, empty when it is whole."""
    event, tasks = answer.event, seen.get_tasks(ticket)
    if event.outcome != history.OutcomeKind.COMPLETE:
        return f"{event.outcome} with {event.answers} answers" if event.answers else ""
    if event.answers != tasks:
        return f"{event.answers} answers to {tasks} tasks"
    missing = [n for n in range(tasks) if ids.TaskId(ticket, n) not in seen.starts]
    return f"complete, but tasks {missing} never started" if missing else ""


def check_own(seen: view.View) -> list[breaches.Breach]:
    """Return a breach for each answer that holds another request's."""
    return [
        breaches.Breach(
            breaches.Promise.OWN_ANSWER,
            ticket,
            f"answers {list(answer.event.foreign)} belong to another request",
            (answer,),
        )
        for ticket, answers in seen.answers.items()
        for answer in answers
        if answer.event.foreign
    ]
