"""Pending requests at this process for tickets that other processes own."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import ids, jobs
from knapweedbeam_core.tickets import job_data, ticket_codec

MAX_WATCHES = 200_000


@dataclasses.dataclass(slots=True)
class Watch:
    """A pending request for a ticket of another owner.

    `digest` identifies the submission made here, if any; its `job` is kept until the
    owner holds it. `has_lookup` is set if a look-up or a cancel is waiting as well.
    `unanswered_ms` is when the first query without an answer so far was sent, and
    `owner_unanswered_ms` when the first query that the owner has not answered was.
    """

    ticket: ticket_codec.Ticket
    member: str
    job: jobs.Job | None = None
    digest: bytes = b""
    has_lookup: bool = False
    is_cancel_requested: bool = False
    queries_witness: bool = False
    owner_ended: bool = False
    witness_ended: bool = False
    unanswered_ms: int | None = None
    owner_unanswered_ms: int | None = None
    query_count: int = 0
    held_bytes: int = 0

    def can_query_witness(self) -> bool:
        """Return whether there is a witness that may have records of the job."""
        return self.ticket.witness is not None and not self.witness_ended


class WatchTable:
    """All watches, by ticket text and by owner."""

    def __init__(self, memory_budget: job_data.MemoryBudget) -> None:
        self.memory_budget = memory_budget
        self.by_text: dict[str, Watch] = {}
        self.by_owner: dict[ids.ProcessId, dict[str, Watch]] = {}

    def has_space(self, member: str, size: int) -> bool:
        """Return whether another watch may be added."""
        if len(self.by_text) >= MAX_WATCHES:
            return False
        return self.memory_budget.has_space(member, size)

    def add(self, watch: Watch) -> None:
        """Add a watch."""
        self.by_text[watch.ticket.text] = watch
        owned = self.by_owner.setdefault(watch.ticket.owner, {})
        owned[watch.ticket.text] = watch
        self.set_held_bytes(watch, job_data.RECORD_OVERHEAD_BYTES)

    def remove(self, watch: Watch) -> None:
        """Remove a watch."""
        owner = watch.ticket.owner
        del self.by_text[watch.ticket.text]
        del self.by_owner[owner][watch.ticket.text]
        if not self.by_owner[owner]:
            del self.by_owner[owner]
        self.set_held_bytes(watch, 0)

    def get_for_owner(self, owner: ids.ProcessId) -> list[Watch]:
        """Return the watches of an owner's tickets."""
        return list(self.by_owner.get(owner, {}).values())

    def set_held_bytes(self, watch: Watch, size: int) -> None:
        """Set the bytes that a watch counts towards the memory budget."""
        self.memory_budget.add(watch.member, size - watch.held_bytes)
        watch.held_bytes = size
