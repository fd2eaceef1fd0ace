"""How contact with an endpoint ended, which tells a crash from a partition.

The host of a process that ended closes its connections and refuses new ones. A
partition lets calls time out, or closes connections to a process that runs on, so a
closed connection alone proves nothing.
"""

from __future__ import annotations

import dataclasses
import enum

from knapweedbeam_core.pool import calls


class ContactState(enum.StrEnum):
    """What the calls since an endpoint's last answer have shown."""

    ANSWERING = "answering"
    SILENT = "silent"
    CLOSED = "closed"
    REFUSED = "refused"
    ENDED = "closed and refused"


FAILURES = (
    calls.Verdict.CLOSED,
    calls.Verdict.REFUSED,
    calls.Verdict.UNKNOWN,
    calls.Verdict.UNREACHABLE,
)


@dataclasses.dataclass(slots=True)
class Contact:
    """The failed calls to an endpoint since its last answer.

    `failed_ms` is when the first one failed, 0 for none.
    """

    is_silent: bool = False
    is_closed: bool = False
    is_refused: bool = False
    failed_ms: int = 0

    def record_answer(self) -> None:
        """Forget the failed calls, as the endpoint answered."""
        self.is_silent = self.is_closed = self.is_refused = False
        self.failed_ms = 0

    def record_failure(self, verdict: calls.Verdict, now_ms: int) -> None:
        """Record how a call failed, unless it was answered."""
        if verdict not in FAILURES:
            return
        self.failed_ms = self.failed_ms or now_ms
        self.is_closed |= verdict == calls.Verdict.CLOSED
        self.is_refused |= verdict == calls.Verdict.REFUSED
        self.is_silent |= verdict in (calls.Verdict.UNKNOWN, calls.Verdict.UNREACHABLE)

    @property
    def state(self) -> ContactState:
        """Return what the failed calls show together."""
        if self.is_closed and self.is_refused:
            return ContactState.ENDED
        if self.is_closed:
            return ContactState.CLOSED
        if self.is_refused:
            return ContactState.REFUSED
        return ContactState.SILENT if self.is_silent else ContactState.ANSWERING
