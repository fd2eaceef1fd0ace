"""Indexes of a history that several checks use."""

from __future__ import annotations

import collections

from bench.check import reader
from knapweedbeam_core import ids
from knapweedbeam_server import history

Submitted = reader.Record[history.Submitted]
Started = reader.Record[history.Started]
Answered = reader.Record[history.Answered]


class HistoryIndex:
    """The submissions, starts and answers of a history by ticket.

    Starts are those that the endpoints recorded, and answers those that the clients
    recorded.
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
        """Say whether the job is a single request that may be repeated.

        Only the records of entry VMs tell: clients do not know it.
        """
        return any(
            record.event.repeatable and record.event.tasks == 1
            for record in self.submitted.get(ticket, ())
        )

    def count_tasks(self, ticket: str) -> int:
        """Return the number of tasks of a job, 0 if it was never submitted."""
        records = self.submitted.get(ticket, ())
        return max((record.event.tasks for record in records), default=0)
