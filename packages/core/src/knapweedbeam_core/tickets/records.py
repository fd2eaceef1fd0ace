"""The jobs that a process owns, and their states."""

from __future__ import annotations

import dataclasses
import enum

from knapweedbeam_core import ids, outcomes
from knapweedbeam_core.charts import chart
from knapweedbeam_core.tickets import ticket_codec

CHART = chart.load_chart("knapweedbeam_core.tickets", "job.toml")


class State(enum.StrEnum):
    """The states of `job.toml`."""

    QUEUED = "queued"
    BEGINNING = "beginning"
    BEGUN = "begun"
    SETTLING = "settling"
    SETTLED = "settled"
    GONE = "gone"


class Event(enum.StrEnum):
    """The events of `job.toml`."""

    BEGIN = "begin"
    RECORDED = "recorded"
    REFUSED = "refused"
    SETTLE = "settle"
    ACKNOWLEDGED = "acknowledged"
    SILENT = "silent"
    ENDED = "ended"
    EXPIRE = "expire"


NOT_BEGUN = frozenset({State.QUEUED, State.BEGINNING})


@dataclasses.dataclass(slots=True)
class Record:
    """A job at its owner.

    `digest` is empty if the ticket was cancelled before its submission.
    `step_started_ms` is when the begin or settle message that the witness has not
    acknowledged was first sent. `waiting_processes` are the processes with callers
    that wait for the outcome.
    """

    ticket: ticket_codec.Ticket
    member: str
    digest: bytes
    repeatable: bool
    retention_ms: int
    held_bytes: int = 0
    state: State = State.QUEUED
    outcome: outcomes.Outcome | None = None
    is_replied: bool = False
    step_started_ms: int = 0
    waiting_processes: tuple[str, ...] = ()

    def add_waiting_process(self, name: str) -> None:
        """Record that callers at the process `name` wait for the outcome."""
        if name not in self.waiting_processes:
            self.waiting_processes += (name,)

    def apply(self, event: Event) -> bool:
        """Apply an event; return whether the state changed."""
        target = CHART.get_next_state(self.state, event)
        if target == self.state:
            return False
        self.state = State(target)
        return True


class Records:
    """All records of an owner, by ticket text and by witness."""

    def __init__(self) -> None:
        self.by_text: dict[str, Record] = {}
        self.open_by_witness: dict[ids.ProcessId, dict[str, Record]] = {}

    def add(self, record: Record) -> None:
        """Add a record."""
        self.by_text[record.ticket.text] = record
        witness = record.ticket.witness
        if witness is not None and record.state is not State.SETTLED:
            self.open_by_witness.setdefault(witness, {})[record.ticket.text] = record

    def close(self, record: Record) -> None:
        """Remove a settled record from those that wait for their witness."""
        witness = record.ticket.witness
        if witness is None or witness not in self.open_by_witness:
            return
        self.open_by_witness[witness].pop(record.ticket.text, None)
        if not self.open_by_witness[witness]:
            del self.open_by_witness[witness]

    def get_open(self, witness: ids.ProcessId) -> list[Record]:
        """Return the records that are not settled at `witness`."""
        return list(self.open_by_witness.get(witness, {}).values())
