"""Jobs that a dispatcher holds in memory, and their tasks."""

from __future__ import annotations

import dataclasses
import enum
import functools

from knapweedbeam_core.pool import room

# A job that ends within this many objectives still earns its caller something.
LATE_FACTOR = 3.0
# One endpoint in ten may stand still at a time: a job that is overdue on this many
# is long itself.
OVERDUE_ENDPOINTS = 3


@dataclasses.dataclass(frozen=True)
class Step:
    """Equal, independent tasks; `depends_on` are earlier steps that must be done.

    `estimate_ms` is the caller's rough guess of one task's time on a sound endpoint.
    `required_label` is empty for none, `max_per_endpoint` 0 for no bound.
    """

    count: int
    cpu_millis: int
    memory_mib: int
    gpus: int
    estimate_ms: int
    depends_on: tuple[int, ...] = ()
    required_label: str = ""
    data_rack: str = ""
    max_per_endpoint: int = 0

    @functools.cached_property
    def need(self) -> room.Room:
        """Return what one task takes."""
        return room.Room(self.cpu_millis, self.memory_mib, self.gpus)


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What the queue of a job promises: see `manifests.manifest.Queue`."""

    queue: str
    service: str
    priority: int
    max_attempts: int
    slack_factor: float
    allowance_ms: int


class TaskState(enum.Enum):
    """Where a task stands."""

    WAITING = "waiting"
    PLACED = "placed"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class Task:
    """One task; `last_attempt` is the number of its newest start."""

    job: Job
    step: int
    index: int
    name: str
    state: TaskState = TaskState.WAITING
    last_attempt: int = 0
    failures: int = 0
    failed_on: tuple[str, ...] = ()
    was_moved: bool = False
    spec: Step = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Look up the step that the task is one of."""
        self.spec = self.job.steps[self.step]


class Job:
    """A job from its arrival at the dispatcher to its end.

    `entry` is the entry VM that waits for it; `orphaned_ms` is since when that one is
    silent, 0 while it is heard.
    `born_ms` is when its caller sent it, `give_up_ms` when the caller stops waiting.
    `work_factor` is the greatest work of a task that ended against its estimate, 0
    until one did: the tasks of a job share the error of its estimate. `overdue_on`
    names the endpoints on which its tasks ran longer than they can need.
    """

    def __init__(
        self,
        job_id: str,
        entry: str,
        terms: Terms,
        spec: str,
        steps: tuple[Step, ...],
        born_ms: int,
        give_up_ms: int,
        attempt_base: int,
    ) -> None:
        self.job_id = job_id
        self.entry = entry
        self.terms = terms
        self.spec = spec
        self.steps = steps
        self.born_ms = born_ms
        self.give_up_ms = give_up_ms
        self.attempt_base = attempt_base
        self.was_started = False
        self.is_cancelled = False
        self.orphaned_ms = 0
        self.not_before_ms = 0
        self.tasks: list[list[Task]] = [
            [
                Task(self, number, index, f"{job_id}.0.{number}.{index}")
                for index in range(step.count)
            ]
            for number, step in enumerate(steps)
        ]
        self.waiting = self.find_ready_tasks()
        self.left = sum(step.count for step in steps)
        self.longest_ms = max(step.estimate_ms for step in steps)
        self.work_factor = 0.0
        self.overdue_on: set[str] = set()
        longest_ms = self.get_chain_ms()
        objective_ms = int(terms.slack_factor * longest_ms) + terms.allowance_ms
        self.due_ms = born_ms + objective_ms
        self.worthless_ms = born_ms + int(LATE_FACTOR * objective_ms)

    @property
    def is_long(self) -> bool:
        """Say whether the job itself takes longer than its estimate can be off."""
        return len(self.overdue_on) >= OVERDUE_ENDPOINTS

    def get_chain_ms(self) -> int:
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
        parts = name.split(".")
        if len(parts) != 4 or parts[1] != "0":
            return None
        if not (parts[2].isdecimal() and parts[3].isdecimal()):
            return None
        step, index = int(parts[2]), int(parts[3])
        if step < len(self.tasks) and index < len(self.tasks[step]):
            return self.tasks[step][index]
        return None

    def put_back(self, task: Task) -> None:
        """Let a task wait for a new start."""
        task.state = TaskState.WAITING
        self.waiting.append(task)

    def finish(self, task: Task) -> None:
        """Count a task as done; steps that waited for it may become ready."""
        if task.state == TaskState.DONE:
            return
        if task in self.waiting:
            self.waiting.remove(task)
        task.state = TaskState.DONE
        self.left -= 1
        if len(self.steps) > 1 and self.is_step_done(task.step):
            self.waiting = self.find_ready_tasks()


def get_job_id(task_name: str) -> str:
    """Return the id of the job that a task's name belongs to."""
    return task_name.partition(".")[0]
