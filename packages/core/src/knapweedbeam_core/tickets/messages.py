"""The messages between coordinators.

A ticket contains the incarnations of its owner and its witness, and the link
authenticates the incarnation of the sender. A process refuses a message that was
meant for, or sent by, another incarnation than the ticket names.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import jobs, outcomes, reasons

Result = outcomes.Complete | outcomes.NotRun | outcomes.Failed | outcomes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitJob:
    """Submit a job to the ticket's owner; `left_ms` is the time to its deadline."""

    ticket: str
    member: str
    service: str
    job_class: str
    left_ms: int
    tasks: tuple[jobs.TaskSpec, ...]
    repeatable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FindOutcome:
    """Request the outcome from the ticket's owner, now or once it is known."""

    ticket: str
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelTicket:
    """Request that the ticket's owner cancels its job."""

    ticket: str
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class TicketPending:
    """The owner holds the job and will send its outcome."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class TicketAnswered:
    """The outcome or the refusal, from the ticket's owner or its witness.

    For a `CONFLICT`, `body_digest` identifies the refused submission.
    """

    ticket: str
    result: Result
    body_digest: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class WrongRun:
    """The sender is a later incarnation of the process that was addressed."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class BeginJob:
    """Request that the witness records the job as begun."""

    ticket: str
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class BeginRecorded:
    """The witness has recorded the job as begun."""

    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class BeginRefused:
    """The witness will never record the job as begun."""

    ticket: str
    reason: reasons.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class SettleJob:
    """Have the witness keep the outcome of a job for `retention_ms`.

    `urgent` is set if the reply to the caller waits for the acknowledgement.
    """

    ticket: str
    member: str
    outcome: outcomes.Outcome
    retention_ms: int
    urgent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SettleRecorded:
    """The witness has stored the outcomes of these jobs."""

    tickets: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SealTicket:
    """Request the outcome of a job whose owner is unresponsive from the witness.

    A witness that sees the owner as live seals the ticket only if `insists` is set.
    """

    ticket: str
    member: str
    insists: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SealRefused:
    """The ticket is not sealed: its job has begun, or its owner is live."""

    ticket: str
    owner_live: bool
