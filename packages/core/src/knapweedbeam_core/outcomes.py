"""What a caller is told: complete, not run, or failed; never partial."""

from __future__ import annotations

import dataclasses
import typing

from knapweedbeam_core import reasons


@dataclasses.dataclass(frozen=True, slots=True)
class Complete:
    """Every task ran and answered; `answers` are JSON texts in task order."""

    answers: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """Nothing of the submission ran, earlier tries included, nor ever will."""

    reason: reasons.Reason
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The job failed as a whole; `may_have_run` is false only when it is sure."""

    reason: reasons.Reason
    may_have_run: bool = True


Outcome = Complete | NotRun | Failed


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A call that was not taken; `detail` names the place for people."""

    reason: reasons.Reason
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """The job is known and has no outcome yet."""


PENDING: typing.Final = Pending()
