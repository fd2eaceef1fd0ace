"""The stored jobs as the log builds them, the same at each replica."""

from __future__ import annotations

import dataclasses

import msgspec

from knapweedbeam_core.pool import jobs
from knapweedbeam_core.stored import commands, messages

# Callers may ask for an ended job for two minutes; clocks jump by some seconds.
KEEP_ENDED_MS = 180_000


class Entry(msgspec.Struct, array_like=True):
    """One job; `job` is none once it has ended, and `left` counts its open tasks.

    `done` holds the names of ended tasks without the job's id, `failures` the numbers
    of failed attempts of each task, or of each gang under its step's name.
    """

    queue: str
    verdict: messages.Verdict
    accepted_ms: int
    job: messages.StoredJob | None
    left: int
    done: set[str] = msgspec.field(default_factory=set)
    failures: dict[str, list[int]] = msgspec.field(default_factory=dict)
    ended_ms: int = 0

    @property
    def is_open(self) -> bool:
        """Say whether the job still runs or waits."""
        return self.verdict in messages.OPEN_VERDICTS


class State(msgspec.Struct, array_like=True):
    """All that the ledger holds; `term` counts the dispatchers so far."""

    entries: dict[str, Entry] = msgspec.field(default_factory=dict)
    fence: int = 0
    term: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A job was accepted, or was kept already."""

    job_id: str
    is_new: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """A job was cancelled, had ended, or is not known; see its entry."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndsRecorded:
    """Ends are in the log for good."""

    ends: tuple[messages.NotedEnd, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DispatcherRegistered:
    """A dispatcher may place stored jobs, as it asked at `asked_ms` of its clock."""

    fence: int
    term: int
    asked_ms: int = 0


Change = Accepted | Cancelled | EndsRecorded | DispatcherRegistered


def count_tasks(job: messages.StoredJob) -> int:
    """Return how many tasks end before a job is complete."""
    return sum(step.count for step in job.steps) * max(1, job.repeat_count)


class Ledger:
    """Applies commands in the order of the log."""

    def __init__(self) -> None:
        self.state = State()
        self.ended: list[tuple[int, str]] = []

    @property
    def entries(self) -> dict[str, Entry]:
        """Return the known jobs by id."""
        return self.state.entries

    def apply(self, command: commands.Command, wall_ms: int) -> Change | None:
        """Take one command; return what changed."""
        self.forget_ended(wall_ms)
        match command:
            case commands.Accept(job):
                return self.accept(job, wall_ms)
            case commands.Cancel(job_id):
                return self.cancel(job_id, wall_ms)
            case commands.RecordEnds(fence, ends):
                return self.take_ends(fence, ends, wall_ms)
            case commands.RegisterDispatcher(fence, asked_ms):
                return self.take_office(fence, asked_ms)
        return None

    def accept(self, job: messages.StoredJob, wall_ms: int) -> Accepted:
        """Keep a job unless its id is known."""
        if job.job_id in self.entries:
            return Accepted(job.job_id, False)
        self.entries[job.job_id] = Entry(
            job.terms.queue, messages.Verdict.QUEUED, wall_ms, job, count_tasks(job)
        )
        return Accepted(job.job_id, True)

    def cancel(self, job_id: str, wall_ms: int) -> Cancelled:
        """Cancel a job that has not ended."""
        entry = self.entries.get(job_id)
        if entry is not None and entry.is_open:
            self.end(job_id, entry, messages.Verdict.CANCELLED, wall_ms)
        return Cancelled(job_id)

    def take_office(self, fence: int, asked_ms: int) -> DispatcherRegistered | None:
        """Let a dispatcher place stored jobs, unless a later one does."""
        if fence < self.state.fence:
            return None
        if fence > self.state.fence:
            self.state.fence = fence
            self.state.term += 1
        return DispatcherRegistered(fence, self.state.term, asked_ms)

    def take_ends(
        self, fence: int, ends: tuple[messages.NotedEnd, ...], wall_ms: int
    ) -> EndsRecorded | None:
        """Note ends; those of a dispatcher that was replaced count for nothing.

        Its successor finds them in the endpoints' lists, since nobody acknowledged
        them there.
        """
        if fence < self.state.fence:
            return None
        for end in ends:
            self.take_end(end, wall_ms)
        return EndsRecorded(ends)

    def take_end(self, end: messages.NotedEnd, wall_ms: int) -> None:
        """Note the end of one attempt."""
        job_id = jobs.get_job_id(end.task)
        entry = self.entries.get(job_id)
        name = jobs.parse_task_name(end.task)
        if entry is None or entry.job is None or name is None:
            return
        if name.step >= len(entry.job.steps):
            return
        entry.verdict = messages.Verdict.ACTIVE
        step = entry.job.steps[name.step]
        if end.is_done:
            self.note_done(job_id, entry, name, wall_ms)
            return
        failed = name.gang if step.is_gang else name.task
        numbers = entry.failures.setdefault(failed, [])
        if end.number not in numbers:
            numbers.append(end.number)
        if len(numbers) >= entry.job.terms.max_attempts and name.task not in entry.done:
            self.end(job_id, entry, messages.Verdict.FAILED, wall_ms)

    def note_done(
        self, job_id: str, entry: Entry, name: jobs.TaskName, wall_ms: int
    ) -> None:
        """Count a task as done; one end of a gang stands for all of it."""
        assert entry.job is not None
        step = entry.job.steps[name.step]
        names = [name.task]
        if step.is_gang:
            names = [f"{name.gang}.{index}" for index in range(step.count)]
        fresh = [each for each in names if each not in entry.done]
        entry.done.update(fresh)
        entry.left -= len(fresh)
        if entry.left <= 0:
            self.end(job_id, entry, messages.Verdict.COMPLETE, wall_ms)

    def end(
        self, job_id: str, entry: Entry, verdict: messages.Verdict, wall_ms: int
    ) -> None:
        """Keep of an ended job no more than how it ended."""
        entry.verdict = verdict
        entry.job = None
        entry.done = set()
        entry.failures = {}
        entry.ended_ms = wall_ms
        self.ended.append((wall_ms, job_id))

    def forget_ended(self, wall_ms: int) -> None:
        """Forget jobs that ended long ago."""
        count = 0
        for ended_ms, job_id in self.ended:
            if wall_ms - ended_ms < KEEP_ENDED_MS:
                break
            self.entries.pop(job_id, None)
            count += 1
        del self.ended[:count]

    def restore(self, state: State) -> None:
        """Go on from a snapshot."""
        self.state = state
        self.ended = sorted(
            (entry.ended_ms, job_id)
            for job_id, entry in state.entries.items()
            if not entry.is_open
        )
