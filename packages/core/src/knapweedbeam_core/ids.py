"""Identifiers of processes and tasks."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ProcessId:
    """One incarnation of a process.

    `incarnation` is unique for each start and only compared for equality: another
    incarnation of the same name means that the earlier one has ended.
    """

    name: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class TaskId:
    """One task of a job: the job's ticket text and the task's index from 0."""

    ticket: str
    index: int
