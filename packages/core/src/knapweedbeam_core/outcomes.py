"""Outcomes of jobs: complete, not run or failed, never partial."""

from __future__ import annotations

import dataclasses
import typing

from knapweedbeam_core import reasons


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """Every task ran and answered; `answers` holds JSON texts in task order."""

    answers: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """No task of the job ran or will run, earlier attempts included."""

    reason: reasons.Reason
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The job failed as a whole.

    `may_have_run` is false only if it is certain that no task ran.
    """

    reason: reasons.Reason
    may_have_run: bool = True


Outcome = Complete | NotRun | Failed


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refused call; `detail` is a human-readable explanation."""

    reason: reasons.Reason
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """The job is known and has no outcome yet."""


PENDING: typing.Final = Pending()
