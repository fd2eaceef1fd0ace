"""Jobs that a dispatcher holds in memory, and their tasks."""

from __future__ import annotations

import dataclasses
import enum

from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import messages, resources

# A job that ends within this many objectives still earns its caller something.
USEFUL_OBJECTIVES = 3.0
# One endpoint in ten may stand still at a time: a job that is overdue on this many
# is long itself.
MAX_OVERDUE_ENDPOINTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class TaskName:
    """The name of a task within its job: the occurrence, the step and the task."""

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
    """Return the parts of a task's whole name, or none if it is none."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskName(int(parts[1]), int(parts[2]), int(parts[3]))


def get_job_id(task_name: str) -> str:
    """Return the id of the job that a task's name belongs to."""
    return task_name.partition(".")[0]


def build_key(job_id: str, occurrence: int) -> str:
    """Return what a job, or one occurrence of it, is called among open jobs."""
    return f"{job_id}.{occurrence}" if occurrence else job_id


def get_key(task_name: str) -> str:
    """Return the key of the job or occurrence that a task's name belongs to."""
    parts = task_name.split(".", 2)
    if len(parts) < 3 or parts[1] == "0":
        return parts[0]
    return f"{parts[0]}.{parts[1]}"


class TaskState(enum.Enum):
    """Where a task stands."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class Task:
    """One task; `last_attempt` is the number of its newest start.

    `moves` counts how often it was stopped as overdue to go elsewhere.
    `progress` is the newest saved state, empty for none. `lost_ms` is when an endpoint
    was lost on which it may have run, 0 for never.
    """

    job: Job
    step: int
    index: int
    name: str
    state: TaskState = TaskState.WAITING
    last_attempt: int = 0
    failures: int = 0
    failed_endpoints: tuple[str, ...] = ()
    move_count: int = 0
    progress: str = ""
    lost_ms: int = 0
    spec: messages.SubmittedStep = dataclasses.field(init=False)
    need: resources.Resources = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Look up the step that the task is one of."""
        self.spec = self.job.steps[self.step]
        self.need = self.job.needs[self.step]


class Job:
    """A job, or one occurrence of it, from its arrival at the dispatcher to its end.

    `entry` is the entry VM that waits for it, empty for a stored job, which is kept in
    the log; `orphaned_ms` is since when that one is silent, 0 while it is heard.
    `born_ms` is when its caller sent it, `give_up_ms` when the caller stops waiting.
    `work_factor` is the greatest work of a task that ended against its estimate, 0
    until one did: the tasks of a job share the error of its estimate. `overdue_on`
    names the endpoints on which its tasks ran longer than they can need.
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
        self.give_up_ms = give_up_ms
        self.attempt_base = attempt_base
        self.was_started = False
        self.is_cancelled = False
        self.is_stored = False
        self.hand_in = 0
        self.is_lasting = any(step.is_lasting for step in steps)
        self.orphaned_ms = 0
        self.not_before_ms = 0
        self.tasks: list[list[Task]] = [
            [
                Task(self, number, index, f"{job_id}.{occurrence}.{number}.{index}")
                for index in range(step.count)
            ]
            for number, step in enumerate(steps)
        ]
        self.waiting = self.find_ready_tasks()
        self.tasks_left = sum(step.count for step in steps)
        self.longest_task_ms = max(step.estimate_ms for step in steps)
        self.work_factor = 0.0
        self.overdue_endpoints: set[str] = set()
        self.failed_numbers: dict[int, set[int]] = {}
        longest_task_ms = self.get_critical_path_ms()
        objective_ms = int(terms.slack_factor * longest_task_ms) + terms.allowance_ms
        self.due_ms = born_ms + objective_ms
        self.value_until_ms = born_ms + int(USEFUL_OBJECTIVES * objective_ms)

    @property
    def key(self) -> str:
        """Return what the job is called among open jobs."""
        return build_key(self.job_id, self.occurrence)

    @property
    def is_underestimated(self) -> bool:
        """Say whether the job itself takes longer than its estimate can be off."""
        return len(self.overdue_endpoints) >= MAX_OVERDUE_ENDPOINTS

    def get_critical_path_ms(self) -> int:
        """Return the longest chain of estimated work through the steps."""
        ends: list[int] = []
        for step in self.steps:
            before = max((ends[number] for number in step.depends_on), default=0)
            ends.append(before + step.estimate_ms)
        return max(ends)

    def is_step_done(self, number: int) -> bool:
        """Say whether all tasks of a step are done."""
        return all(task.state == TaskState.DONE for task in self.tasks[number])

    def find_ready_tasks(self) -> list[Task]:
        """Return the waiting tasks whose steps' conditions are met."""
        return [
            task
            for number, step in enumerate(self.steps)
            if all(self.is_step_done(before) for before in step.depends_on)
            for task in self.tasks[number]
            if task.state == TaskState.WAITING
        ]

    def find_task(self, name: str) -> Task | None:
        """Return the task of a name, or none."""
        parsed = parse_task_name(name)
        if parsed is None or parsed.occurrence != self.occurrence:
            return None
        if parsed.step >= len(self.tasks):
            return None
        if parsed.index >= len(self.tasks[parsed.step]):
            return None
        return self.tasks[parsed.step][parsed.index]

    def get_gang(self, task: Task) -> list[Task]:
        """Return the tasks that end together with a task: itself, or its gang."""
        return self.tasks[task.step] if task.spec.is_gang else [task]

    def requeue(self, task: Task) -> None:
        """Let a task wait for a new start."""
        task.state = TaskState.WAITING
        self.waiting.append(task)

    def mark_done(self, task: Task) -> None:
        """Count a task as done; steps that waited for it may become ready."""
        if task.state == TaskState.DONE:
            return
        if task in self.waiting:
            self.waiting.remove(task)
        task.state = TaskState.DONE
        self.tasks_left -= 1
        if len(self.steps) > 1 and self.is_step_done(task.step):
            self.waiting = self.find_ready_tasks()

    def record_failure(self, task: Task, number: int) -> int:
        """Count a failed attempt; return how often the task or its gang failed."""
        if not task.spec.is_gang:
            task.failures += 1
            return task.failures
        numbers = self.failed_numbers.setdefault(task.step, set())
        numbers.add(number)
        for member in self.tasks[task.step]:
            member.failures = len(numbers)
        return len(numbers)

    def save_progress(self, task: Task, progress: str) -> None:
        """Note the newest saved state of a task; a gang shares one."""
        if not progress:
            return
        for member in self.get_gang(task):
            member.progress = progress
