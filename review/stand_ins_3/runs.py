"""Watches the runs on all executors: what runs, ended, or was told to stop."""

from __future__ import annotations

import executor as executors
import record


class RunWatch:
    """The runs of all tasks.

    `runs` holds what runs, `ordered` the runs that an order ended, both by task;
    `ended_s` is when the last run of a task ended.
    """

    def __init__(self, events: record.Record) -> None:
        self.record = events
        self.runs: dict[str, executors.Run] = {}
        self.ordered: dict[str, executors.Run] = {}
        self.ended_s: dict[str, float] = {}

    def on_start(self, executor: executors.Executor, run: executors.Run) -> None:
        """Handle a start."""
        self.runs[run.task] = run

    def on_stop_order(self, executor: executors.Executor, run: executors.Run) -> None:
        """Handle an order to stop a run."""

    def on_end(
        self, executor: executors.Executor, run: executors.Run, how: str
    ) -> None:
        """Handle an end."""
        if self.runs.get(run.task) is run:
            del self.runs[run.task]
            self.ended_s[run.task] = self.record.now_s

    def count_at_work(self) -> int:
        """Return how many tasks that last are at work."""
        return sum(run.is_at_work() for run in self.runs.values())

    def count_away(self, except_task: str, notice_s: float) -> int:
        """Return how many other tasks are away.

        An order ended them and they are not at work again, or they are not at work for
        `notice_s` for any cause.
        """
        count = 0
        for task in self.ordered.keys() | self.ended_s.keys():
            run = self.runs.get(task)
            ordered = self.ordered.get(task)
            if run is not None and run is not ordered and run.is_at_work():
                continue
            ended_s = self.ended_s.get(task, self.record.now_s)
            is_long = run is None and self.record.now_s - ended_s > notice_s
            count += task != except_task and (ordered is not None or is_long)
        return count
