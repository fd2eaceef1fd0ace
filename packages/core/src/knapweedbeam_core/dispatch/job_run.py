"""One job while the dispatcher has it."""

from __future__ import annotations

import dataclasses
import typing

from knapweedbeam_core import jobs
from knapweedbeam_core.charts import chart

if typing.TYPE_CHECKING:
    from knapweedbeam_core.dispatch import fair_queue, usage
    from knapweedbeam_core.slots import held

CHART = chart.load_chart("knapweedbeam_core.dispatch", "job_run.toml")
WAITING = "waiting"
ASKED = "asked"
BEGUN = "begun"
ENDED = "ended"


@dataclasses.dataclass(slots=True)
class RunningTask:
    """A task that was started here and has not ended."""

    endpoint: held.HeldEndpoint
    started_ms: int
    expected_ms: float
    load: usage.Load | None


@dataclasses.dataclass(slots=True, eq=False)
class JobRun:
    """A job, what of it runs and what is left to start.

    `order` is a stack of the tasks not started; `ran` counts the starts that
    may have run a task; `avoid` names the endpoint that failed the last try.
    """

    job: jobs.Job
    line: fair_queue.Line
    task_ms: float
    order_ms: float
    order: list[int]
    answers: list[bytes]
    state: str = CHART.start
    unanswered: int = 0
    bytes: int = 0
    ran: int = 0
    retries: int = 0
    avoid: str = ""
    running: dict[int, RunningTask] = dataclasses.field(default_factory=dict)

    def take(self, event: str) -> bool:
        """Move by `event`; false when the event changes nothing."""
        state = CHART.advance(self.state, event)
        changed = state != self.state
        self.state = state
        return changed


def build_run(
    job: jobs.Job, line: fair_queue.Line, task_ms: float, order_ms: float
) -> JobRun:
    """Build the state of a job that was queued; longer tasks start earlier."""
    count = len(job.tasks)
    order = list(range(count - 1, -1, -1))
    if count > 1:
        order.sort(key=lambda index: job.tasks[index].run_ms)
    answers = [b""] * count
    run = JobRun(job, line, task_ms, order_ms, order, answers, unanswered=count)
    run.bytes = job.size_bytes
    return run
