"""The messages between coordinators.

A ticket names the incarnations of its owner and its witness, and the link names
the sender's: a process refuses what is meant for, or comes from, another run.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import jobs, outcomes, reasons

Result = outcomes.Complete | outcomes.NotRun | outcomes.Failed | outcomes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitJob:
    """A submission for the ticket's owner; `left_ms` is left to its deadline."""

    ticket: str
    member: str
    service: str
    job_class: str
    left_ms: int
    tasks: tuple[jobs.TaskSpec, ...]
    repeatable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FindOutcome:
    """Ask the ticket's owner for the outcome, now or once it is known."""

    ticket: str
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTicket:
    """Ask the ticket's owner to cancel its job."""

    ticket: str
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class TicketPending:
    """The owner holds the job and will send its outcome."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class TicketAnswered:
    """The outcome or the refusal, from the ticket's owner or its witness.

    `body_digest` names the submission that a `CONFLICT` is about.
    """

    ticket: str
    result: Result
    body_digest: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class WrongRun:
    """The sender is a later run of the process that was meant."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class BeginJob:
    """Ask the witness to record that the job begins."""

    ticket: str
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class BeginRecorded:
    """The witness holds the job as begun."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class BeginRefused:
    """The witness will never hold the job as begun."""

    ticket: str
    reason: reasons.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class SettleJob:
    """Have the witness keep the outcome of a job for `retention_ms`.

    `urgent` says that the caller's reply waits for the acknowledgement.
    """

    ticket: str
    member: str
    outcome: outcomes.Outcome
    retention_ms: int
    urgent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SettleRecorded:
    """The witness keeps the outcomes of these jobs."""

    tickets: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SealTicket:
    """Ask the witness for the outcome of a job whose owner is silent.

    A witness that sees the owner live seals only where the asker `insists`.
    """

    ticket: str
    member: str
    insists: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SealRefused:
    """The ticket is not sealed: its job has begun, or its owner is live."""

    ticket: str
    owner_live: bool
