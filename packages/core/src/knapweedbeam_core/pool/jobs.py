"""Jobs that a dispatcher holds in memory, and their tasks."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum

from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import crashes, messages, resources

# A job's answer has value for its caller until this many times its objective.
USEFUL_OBJECTIVES = 3.0
# One endpoint in ten may stall at a time, so a job that is overdue on this many is
# itself longer than estimated.
MAX_OVERDUE_ENDPOINTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class TaskName:
    """The parts of a task's name within its job."""

    occurrence: int
    step: int
    index: int

    @property
    def task(self) -> str:
        """Return the task's name within its job."""
        return f"{self.gang}.{self.index}"

    @property
    def gang(self) -> str:
        """Return the name that all tasks of the step share."""
        return f"{self.occurrence}.{self.step}"


def parse_task_name(name: str) -> TaskName | None:
    """Return the parts of a task's full name, or None if it is malformed."""
    fields = name.split(".")
    if len(fields) != 4 or not all(part.isdecimal() for part in fields[1:]):
        return None
    return TaskName(int(fields[1]), int(fields[2]), int(fields[3]))


def get_job_id(task_name: str) -> str:
    """Return the id of the job that a task's name belongs to."""
    return task_name.partition(".")[0]


def build_key(job_id: str, occurrence: int) -> str:
    """Return the key of a job, or of one occurrence of it, among open jobs."""
    return f"{job_id}.{occurrence}" if occurrence else job_id


def get_key(task_name: str) -> str:
    """Return the key of the job or occurrence that a task's name belongs to."""
    parts = task_name.split(".", 2)
    if len(parts) < 3 or parts[1] == "0":
        return parts[0]
    return f"{parts[0]}.{parts[1]}"


class TaskState(enum.Enum):
    """The state of a task; PLACED while it has an attempt on an endpoint."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class Task:
    """One task of a job.

    `last_attempt` is the number of its newest attempt. `move_count` counts how often it
    was stopped as overdue to be started elsewhere. `left_endpoint` is one on which it
    stood still, empty for none. `progress` is the newest saved state, empty for none.
    `failed_attempts` are the numbers of those that failed, `failed_ms` is when the last
    failure was recorded.
    `lost_ms` is when an endpoint was lost on which it may have
    run, 0 for never. `history` holds the crashes under its attempts.
    """

    job: Job
    step: int
    index: int
    name: str
    state: TaskState = TaskState.WAITING
    last_attempt: int = 0
    failures: int = 0
    failed_endpoints: tuple[str, ...] = ()
    failed_attempts: tuple[int, ...] = ()
    failed_ms: int = 0
    move_count: int = 0
    left_endpoint: str = ""
    progress: str = ""
    lost_ms: int = 0
    history: crashes.CrashHistory = dataclasses.field(
        default_factory=crashes.CrashHistory
    )
    spec: messages.SubmittedStep = dataclasses.field(init=False)
    need: resources.Resources = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Set the specification and the required resources of the task's step."""
        self.spec = self.job.steps[self.step]
        self.need = self.job.needs[self.step]


class Job:
    """A job, or one occurrence of it, from its arrival at the dispatcher to its end.

    `entry` is the entry VM that waits for it, empty for a stored job, which is kept in
    the log; `orphaned_ms` is since when that VM is unresponsive, 0 while it is live.
    `domain` is that VM's failure domain, empty if unknown. `work` is the estimated work
    of all of its tasks, in millicore-ms.
    `submitted_base` is the attempt base that it sent. `question_ms` is when it was
    asked to confirm the job, 0 if no answer is open.
    `was_started` tells that a start was sent or may have been, `has_begun` that an
    attempt is known to have run.
    `place_number` is its place in the order of the last placement.
    `born_ms` is when the caller sent the job, `arrived_ms` when the dispatcher took it,
    `give_up_ms` when the caller stops
    waiting. `work_factor` is the largest ratio of actual to estimated work among the
    tasks that ended, 0 while none has: the tasks of a job share the error of its
    estimate. `overdue_endpoints` are those on which its tasks ran longer than the error
    of estimates explains.
    """

    def __init__(
        self,
        job_id: str,
        entry: str,
        terms: manifest.Terms,
        spec: str,
        steps: tuple[messages.SubmittedStep, ...],
        born_ms: int,
        give_up_ms: int,
        attempt_base: int,
        occurrence: int = 0,
    ) -> None:
        self.job_id = job_id
        self.occurrence = occurrence
        self.entry = entry
        self.terms = terms
        self.spec = spec
        self.steps = steps
        self.needs = [resources.get_need(step) for step in steps]
        self.born_ms = born_ms
        self.arrived_ms = born_ms
        self.give_up_ms = give_up_ms
        self.attempt_base = attempt_base
        self.was_started = False
        self.has_begun = False
        self.is_cancelled = False
        self.is_stored = False
        self.hand_in = 0
        self.domain = ""
        self.submitted_base = 0
        self.is_lasting = any(step.is_lasting for step in steps)
        self.orphaned_ms = 0
        self.not_before_ms = 0
        self.place_number = 0
        self.question_ms = 0
        self.former: tuple[str, ...] = ()
        self.tasks: list[list[Task]] = [
            [
                Task(self, number, index, f"{job_id}.{occurrence}.{number}.{index}")
                for index in range(step.count)
            ]
            for number, step in enumerate(steps)
        ]
        self.waiting = self.find_ready_tasks()
        self.tasks_left = sum(step.count for step in steps)
        self.work = sum(s.count * s.cpu_millis * s.estimate_ms for s in steps)
        self.longest_task_ms = max(step.estimate_ms for step in steps)
        self.work_factor = 0.0
        self.overdue_endpoints: set[str] = set()
        critical_path_ms = self.get_critical_path_ms()
        objective_ms = int(terms.slack_factor * critical_path_ms) + terms.allowance_ms
        self.due_ms = born_ms + objective_ms
        self.value_until_ms = born_ms + int(USEFUL_OBJECTIVES * objective_ms)

    @property
    def key(self) -> str:
        """Return the key of the job among open jobs."""
        return build_key(self.job_id, self.occurrence)

    @property
    def is_underestimated(self) -> bool:
        """Return whether the job is overdue on so many endpoints that it is long."""
        return len(self.overdue_endpoints) >= MAX_OVERDUE_ENDPOINTS

    @property
    def has_task_at_fault(self) -> bool:
        """Return whether one of its tasks crashed too many endpoints."""
        return any(
            crashes.is_at_fault(task.history.crashes, self.is_lasting)
            for tasks in self.tasks
            for task in tasks
            if task.history.crashes
        )

    def list_crashes(self) -> tuple[messages.TaskCrash, ...]:
        """Return the crashes under all of its tasks."""
        return tuple(
            messages.TaskCrash(task.name, number, is_early)
            for tasks in self.tasks
            for task in tasks
            for number, is_early in task.history.crashes.items()
        )

    def restore_crashes(
        self, counted: collections.abc.Iterable[messages.TaskCrash]
    ) -> None:
        """Add crashes that were counted before."""
        for crash in counted:
            task = self.find_task(crash.task)
            if task is not None:
                task.history.crashes[crash.number] = crash.is_early
                task.history.is_suspect = True

    def get_critical_path_ms(self) -> int:
        """Return the estimated time of the longest chain of dependent steps."""
        end_times_ms: list[int] = []
        for step in self.steps:
            start_ms = max(
                (end_times_ms[number] for number in step.depends_on), default=0
            )
            end_times_ms.append(start_ms + step.estimate_ms)
        return max(end_times_ms)

    def is_step_done(self, number: int) -> bool:
        """Return whether all tasks of a step are done."""
        return all(task.state == TaskState.DONE for task in self.tasks[number])

    def find_ready_tasks(self) -> list[Task]:
        """Return the waiting tasks of the steps whose dependencies are done."""
        return [
            task
            for number, step in enumerate(self.steps)
            if all(self.is_step_done(before) for before in step.depends_on)
            for task in self.tasks[number]
            if task.state == TaskState.WAITING
        ]

    def find_task(self, name: str) -> Task | None:
        """Return the task with a full name, or None if this job has no such task."""
        task_name = parse_task_name(name)
        if task_name is None or task_name.occurrence != self.occurrence:
            return None
        if task_name.step >= len(self.tasks):
            return None
        if task_name.index >= len(self.tasks[task_name.step]):
            return None
        return self.tasks[task_name.step][task_name.index]

    def get_gang(self, task: Task) -> list[Task]:
        """Return all tasks of a task's gang, or just the task if it has none."""
        return self.tasks[task.step] if task.spec.is_gang else [task]

    def requeue(self, task: Task) -> None:
        """Put a task back into the queue of waiting tasks."""
        task.state = TaskState.WAITING
        self.waiting.append(task)

    def mark_done(self, task: Task) -> None:
        """Mark a task as done; steps that depend on its step may become ready."""
        if task.state == TaskState.DONE:
            return
        if task in self.waiting:
            self.waiting.remove(task)
        task.state = TaskState.DONE
        self.tasks_left -= 1
        if len(self.steps) > 1 and self.is_step_done(task.step):
            self.waiting = self.find_ready_tasks()

    def record_failure(self, task: Task, number: int, now_ms: int) -> int:
        """Record a failed attempt and return how often the task or its gang failed.

        An attempt counts once, whoever reports it.
        """
        if number not in task.failed_attempts:
            for member in self.get_gang(task):
                member.failed_attempts = (*member.failed_attempts, number)
                member.failures = len(member.failed_attempts)
                member.failed_ms = now_ms
        return task.failures

    def save_progress(self, task: Task, progress: str) -> None:
        """Store the newest saved state of a task; the tasks of a gang share one."""
        if not progress:
            return
        for member in self.get_gang(task):
            member.progress = progress
