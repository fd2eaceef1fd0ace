"""What a dispatcher's processor may start: its window of open starts and its rate."""

from __future__ import annotations

from knapweedbeam_core.pool import jobs, load_report, log_events, queueing, start_window
from knapweedbeam_core.pool import start_rate as start_rate_

# A start, the end of its task and the answer to its caller each wait for a turn of the
# loop.
TURNS = 3
# Weight of a tick in the running mean of lateness.
TICK_WEIGHT = 0.2


class StartBudget:
    """The window and the rate of one dispatcher, and the jobs refused because of them.

    Times are plain ones but for `waiting_ms`, which is by the `waiting_clock`.
    """

    def __init__(self) -> None:
        self.window = start_window.StartWindow()
        self.rate = start_rate_.StartRate()
        self.refused = 0
        self.late_ms = 0
        self.mean_late_ms = 0.0
        self.report_due_ms = 0

    def reset(self) -> None:
        """Forget the starts and the rate of a former token."""
        self.window.clear()
        self.rate.reset()

    def tick(self, now_ms: int, late_ms: int) -> None:
        """Adapt to how late the last tick of the dispatcher was."""
        self.late_ms = late_ms
        self.mean_late_ms += (late_ms - self.mean_late_ms) * TICK_WEIGHT
        held_back = self.window.take_tick_held_back()
        self.window.record_tick(late_ms)
        self.rate.record_tick(now_ms, late_ms, held_back)

    def on_answer(self, task: str, number: int) -> None:
        """Record that a start was answered, or that its time is over."""
        self.window.remove(task, number)
        self.rate.record_answer()

    def is_beyond(
        self, job: jobs.Job, ahead: int, now_ms: int, best_speed: float
    ) -> bool:
        """Return whether a job's tasks would start too late after those `ahead`."""
        wait_ms = self.rate.get_wait_ms(ahead + len(job.waiting), now_ms)
        if not wait_ms:
            return False
        wait_ms += TURNS * self.mean_late_ms
        return queueing.is_beyond(job, now_ms, best_speed, wait_ms)

    def get_retry_after_ms(self, job_id: str, ahead: int, now_ms: int) -> int:
        """Return when the caller of a job that is beyond the rate should return."""
        self.refused += 1
        backlog_ms = self.rate.get_wait_ms(ahead, now_ms)
        return start_rate_.get_retry_after_ms(job_id, backlog_ms)

    def report(self, now_ms: int, waiting: int) -> list[log_events.ProcessorFull]:
        """Return a report of the refused jobs if one is due."""
        if not self.refused or now_ms < self.report_due_ms:
            return []
        self.report_due_ms = now_ms + load_report.REPORT_INTERVAL_MS
        refused, self.refused = self.refused, 0
        return [
            log_events.ProcessorFull(
                refused,
                int(self.rate.per_s),
                now_ms - self.rate.sampled_ms,
                self.late_ms,
                len(self.window.open),
                self.window.size,
                waiting,
            )
        ]
