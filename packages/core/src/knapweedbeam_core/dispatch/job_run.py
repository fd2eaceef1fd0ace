"""The state of one job in the dispatcher."""

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
    """A task that was started by this process and has not ended."""

    endpoint: held.HeldEndpoint
    started_ms: int
    expected_ms: float
    load: usage.TaskLoad | None


@dataclasses.dataclass(slots=True, eq=False)
class JobRun:
    """A job with its running tasks and the tasks left to start.

    `unstarted` is a stack of task indexes. `possible_starts` counts the starts
    that may have run a task. `avoided_endpoint` names the endpoint at which the
    last attempt failed. `lost_endpoints` counts those whose connection broke under it.
    """

    job: jobs.Job
    member_queue: fair_queue.MemberQueue
    task_ms: float
    expected_finish_ms: float
    unstarted: list[int]
    answers: list[bytes]
    state: str = CHART.start
    unanswered: int = 0
    size_bytes: int = 0
    possible_starts: int = 0
    retries: int = 0
    lost_endpoints: int = 0
    avoided_endpoint: str = ""
    running: dict[int, RunningTask] = dataclasses.field(default_factory=dict)

    def apply_event(self, event: str) -> bool:
        """Apply a chart event; return False if the state stays the same."""
        state = CHART.get_next_state(self.state, event)
        changed = state != self.state
        self.state = state
        return changed


def build_run(
    job: jobs.Job,
    member_queue: fair_queue.MemberQueue,
    task_ms: float,
    expected_finish_ms: float,
) -> JobRun:
    """Build the state of a queued job; tasks with longer run times start first."""
    count = len(job.tasks)
    unstarted = list(range(count - 1, -1, -1))
    if count > 1:
        unstarted.sort(key=lambda index: job.tasks[index].run_ms)
    answers = [b""] * count
    run = JobRun(
        job,
        member_queue,
        task_ms,
        expected_finish_ms,
        unstarted,
        answers,
        unanswered=count,
    )
    run.size_bytes = job.size_bytes
    return run
