"""Whether another dispatcher may start the same stored jobs, before or after this one.

Occurrences come due by the clock, so a former dispatcher may start them as well until
it knows that it was replaced. Its successor waits for that, and a dispatcher that was
suspended starts nothing before the log has confirmed that it was not replaced.
"""

from __future__ import annotations

import collections.abc

from knapweedbeam_core import clock
from knapweedbeam_core.pool import jobs

# How long a replaced dispatcher may run tasks on endpoints that its successor cannot
# reach: the log's leader loses its lease (0.8 s), then `LOG_CONTACT_TIMEOUT_MS` passes
# and the dispatcher stops, then its leases of 1 s expire.
TAKEOVER_MS = 5_500
# A dispatcher whose timers stood still for this long was suspended: messages that
# waited meanwhile prove no contact with the log.
SUSPENSION_MS = 500


class Succession:
    """What one dispatcher knows of its predecessor and of a possible successor.

    `confirmed_ms` is when the newest confirmed registration was requested, `resumed_ms`
    when this process was last resumed. Until `former_until_ms` the former dispatcher
    may start tasks of the jobs in `inherited`; `former` names those whose lists tell on
    which endpoints.
    """

    def __init__(self, timer: clock.Clock) -> None:
        self.clock = timer
        self.confirmed_ms = 0
        self.ticked_ms = timer.now_ms()
        self.resumed_ms = 0
        self.former_until_ms = 0
        self.former: tuple[str, ...] = ()
        self.inherited: set[str] = set()

    def reset(self) -> None:
        """Forget the registration and the former dispatcher, but no suspension."""
        self.confirmed_ms = 0
        self.former_until_ms = 0
        self.inherited.clear()

    # A successor of this dispatcher.

    @property
    def needs_confirmation(self) -> bool:
        """Return whether the log has not confirmed this dispatcher since it resumed."""
        return self.confirmed_ms < self.resumed_ms

    @property
    def may_be_replaced(self) -> bool:
        """Return whether another dispatcher may have taken over during a suspension."""
        since_tick_ms = self.clock.now_ms() - self.ticked_ms
        return since_tick_ms > SUSPENSION_MS or self.needs_confirmation

    def confirm(self, requested_ms: int) -> None:
        """Handle that the log confirmed a registration."""
        self.confirmed_ms = max(self.confirmed_ms, requested_ms)

    def tick(self, now_ms: int) -> None:
        """Detect that the timers of this process stood still."""
        if now_ms - self.ticked_ms > SUSPENSION_MS:
            self.resumed_ms = now_ms
        self.ticked_ms = now_ms
        if now_ms >= self.former_until_ms:
            self.inherited.clear()

    # The predecessor of this dispatcher.

    def inherit(
        self, job_ids: collections.abc.Iterable[str], former: tuple[str, ...]
    ) -> None:
        """Record the jobs that a former dispatcher may still start on its own.

        Those that the log accepts later are unknown to it.
        """
        self.inherited = set(job_ids)
        self.former = former
        self.former_until_ms = self.clock.now_ms() + TAKEOVER_MS

    def hold_back(self, job: jobs.Job) -> None:
        """Let a job wait while a former dispatcher may start its tasks.

        They may run on endpoints that this dispatcher cannot reach.
        """
        if job.job_id in self.inherited:
            job.not_before_ms, job.former = self.former_until_ms, self.former
