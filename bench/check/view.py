"""What several checks need of a history: submissions and starts by ticket."""

from __future__ import annotations

import collections

from bench.check import reader
from knapweedbeam_core import ids
from knapweedbeam_server import history

Submitted = reader.Record[history.Submitted]
Started = reader.Record[history.Started]
Answered = reader.Record[history.Answered]


class View:
    """A history with its submissions, starts and answers by ticket.

    Starts are those that the endpoints recorded; answers are those that the
    clients got.
    """

    def __init__(self, merged: reader.History) -> None:
        self.merged = merged
        self.submitted: dict[str, list[Submitted]] = collections.defaultdict(list)
        for submitted in merged.get(history.Submitted):
            self.submitted[submitted.event.ticket].append(submitted)
        self.starts: dict[ids.TaskId, list[Started]] = collections.defaultdict(list)
        self.started_jobs: dict[str, list[Started]] = collections.defaultdict(list)
        for started in merged.get(history.Started, history.Role.ENDPOINT):
            task = ids.TaskId(started.event.ticket, started.event.index)
            self.starts[task].append(started)
            self.started_jobs[task.ticket].append(started)
        self.answers: dict[str, list[Answered]] = collections.defaultdict(list)
        for answered in merged.get(history.Answered, history.Role.CLIENT):
            self.answers[answered.event.ticket].append(answered)

    def is_repeatable(self, ticket: str) -> bool:
        """Say whether the job is one request that may be sent again.

        What the entry VM says counts: clients do not know it.
        """
        return any(
            record.event.repeatable and record.event.tasks == 1
            for record in self.submitted.get(ticket, ())
        )

    def get_tasks(self, ticket: str) -> int:
        """Return how many tasks the job has, 0 when it was never submitted."""
        found = self.submitted.get(ticket, ())
        return max((record.event.tasks for record in found), default=0)
