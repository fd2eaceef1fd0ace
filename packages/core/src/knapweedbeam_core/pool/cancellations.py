"""Cancellations of best-effort jobs that another entry VM holds open.

A caller's requests may reach different entry VMs. The one that gets the cancellation
passes it to the dispatcher of the job's shard, which ends the job and tells the entry
VM that holds it. It is sent several times: the job may arrive there after it, or its
dispatcher may be replaced.
"""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, effects
from knapweedbeam_core.pool import messages, open_jobs

RESEND_MS = 400
MAX_SENDS = 4


@dataclasses.dataclass(slots=True)
class Cancellation:
    """A job that was cancelled at `asked_ms`, and when that is sent next."""

    job_id: str
    queue: str
    asked_ms: int
    due_ms: int
    send_count: int = 0


class Cancellations:
    """The cancellations that one entry VM passes on."""

    def __init__(self, timer: clock.Clock, own: open_jobs.OpenJobs) -> None:
        self.clock = timer
        self.own = own
        self.pending: dict[str, Cancellation] = {}

    def start(self, job_id: str, queue: str) -> list[effects.Send]:
        """Pass on the cancellation of a queue's job that is not open here."""
        now_ms = self.clock.now_ms()
        self.pending[job_id] = Cancellation(job_id, queue, now_ms, now_ms)
        return self.tick()

    def tick(self) -> list[effects.Send]:
        """Send the cancellations that are due."""
        now_ms = self.clock.now_ms()
        produced: list[effects.Send] = []
        for each in list(self.pending.values()):
            if now_ms < each.due_ms:
                continue
            each.due_ms = now_ms + RESEND_MS
            each.send_count += 1
            if each.send_count >= MAX_SENDS:
                del self.pending[each.job_id]
            target = self.own.find_target(each.job_id).name
            if target:
                age_ms = now_ms - each.asked_ms
                cancel = messages.CancelOpenJob(each.job_id, each.queue, age_ms)
                produced.append(effects.Send(target, cancel))
        return produced
