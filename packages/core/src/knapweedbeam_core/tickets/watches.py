"""The tickets of other owners whose outcomes are asked for here."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import ids, jobs
from knapweedbeam_core.tickets import job_data, ticket

MAX_WATCHES = 200_000


@dataclasses.dataclass(slots=True)
class Watch:
    """One ticket of another owner whose outcome is asked for here.

    `digest` names the submission made here, if any; its `job` is kept until the
    owner holds it. `sought` says that a look-up or a cancel waits as well.
    `unanswered_ms` is when the first question without an answer so far was sent,
    and `silent_ms` when the first one that the owner itself has not answered was.
    """

    ticket: ticket.Ticket
    member: str
    job: jobs.Job | None = None
    digest: bytes = b""
    sought: bool = False
    cancelled: bool = False
    asks_witness: bool = False
    owner_ended: bool = False
    witness_ended: bool = False
    unanswered_ms: int | None = None
    silent_ms: int | None = None
    sent: int = 0
    held_bytes: int = 0

    def may_ask_witness(self) -> bool:
        """Say whether there is a witness that may know of the job."""
        return self.ticket.witness is not None and not self.witness_ended


class Watches:
    """All watches, by ticket text and by owner."""

    def __init__(self, memory_budget: job_data.MemoryBudget) -> None:
        self.memory_budget = memory_budget
        self.by_text: dict[str, Watch] = {}
        self.by_owner: dict[ids.ProcessId, dict[str, Watch]] = {}

    def has_space(self, member: str, size: int) -> bool:
        """Say whether one more watch may be held."""
        if len(self.by_text) >= MAX_WATCHES:
            return False
        return self.memory_budget.has_space(member, size)

    def add(self, watch: Watch) -> None:
        """Hold a watch."""
        self.by_text[watch.ticket.text] = watch
        owned = self.by_owner.setdefault(watch.ticket.owner, {})
        owned[watch.ticket.text] = watch
        self.hold(watch, job_data.RECORD_BYTES)

    def remove(self, watch: Watch) -> None:
        """Hold a watch no longer."""
        owner = watch.ticket.owner
        del self.by_text[watch.ticket.text]
        del self.by_owner[owner][watch.ticket.text]
        if not self.by_owner[owner]:
            del self.by_owner[owner]
        self.hold(watch, 0)

    def get_owned(self, owner: ids.ProcessId) -> list[Watch]:
        """Return the watches of one owner's tickets."""
        return list(self.by_owner.get(owner, {}).values())

    def hold(self, watch: Watch, size: int) -> None:
        """Count `size` bytes as held by a watch, in place of what it held."""
        self.memory_budget.add(watch.member, size - watch.held_bytes)
        watch.held_bytes = size
