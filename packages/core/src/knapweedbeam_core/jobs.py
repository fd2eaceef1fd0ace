"""A submitted job and its tasks, as held in memory."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSpec:
    """One task as declared; `payload` is JSON text that is passed on without parsing.

    Zero in `cpu_millis` (thousandths of a core), `memory_mib` or `run_ms` means that
    the caller declared none.
    """

    payload: bytes
    cpu_millis: int = 0
    memory_mib: int = 0
    run_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One submission; `due_ms` is its deadline in this process's monotonic time."""

    ticket: str
    member: str
    service: str
    job_class: str
    due_ms: int
    tasks: tuple[TaskSpec, ...]
    repeatable: bool = False

    @property
    def size_bytes(self) -> int:
        """Return the total size of the payloads in bytes."""
        return sum(len(task.payload) for task in self.tasks)
