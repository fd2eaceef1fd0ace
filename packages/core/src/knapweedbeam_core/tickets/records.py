"""The jobs that a process owns, and where each stands."""

from __future__ import annotations

import dataclasses
import enum

from knapweedbeam_core import ids, outcomes
from knapweedbeam_core.charts import chart
from knapweedbeam_core.tickets import ticket

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
    """One job at its owner.

    An empty `digest` stands for a ticket cancelled before its submission.
    `since_ms` is when the step at the witness that is under way was first sent.
    """

    ticket: ticket.Ticket
    member: str
    digest: bytes
    repeatable: bool
    retention_ms: int
    held_bytes: int = 0
    state: State = State.QUEUED
    outcome: outcomes.Outcome | None = None
    replied: bool = False
    since_ms: int = 0
    askers: tuple[str, ...] = ()

    def add_asker(self, name: str) -> None:
        """Note that callers at the process `name` wait."""
        if name not in self.askers:
            self.askers += (name,)

    def apply(self, event: Event) -> bool:
        """Take an event; say whether the state changed."""
        target = CHART.advance(self.state, event)
        if target == self.state:
            return False
        self.state = State(target)
        return True


class Records:
    """All records of an owner, by ticket text and by witness."""

    def __init__(self) -> None:
        self.by_text: dict[str, Record] = {}
        self.open_at: dict[ids.ProcessId, dict[str, Record]] = {}

    def add(self, record: Record) -> None:
        """Add a record."""
        self.by_text[record.ticket.text] = record
        witness = record.ticket.witness
        if witness is not None and record.state is not State.SETTLED:
            self.open_at.setdefault(witness, {})[record.ticket.text] = record

    def close(self, record: Record) -> None:
        """Drop a settled record from those that wait for their witness."""
        witness = record.ticket.witness
        if witness is None or witness not in self.open_at:
            return
        self.open_at[witness].pop(record.ticket.text, None)
        if not self.open_at[witness]:
            del self.open_at[witness]

    def get_open(self, witness: ids.ProcessId) -> list[Record]:
        """Return the records that are not settled at `witness`."""
        return list(self.open_at.get(witness, {}).values())
