"""State of the stored jobs, built from the log identically at each replica."""

from __future__ import annotations

import dataclasses

import msgspec

from knapweedbeam_core.pool import crashes, jobs
from knapweedbeam_core.pool import messages as pool_messages
from knapweedbeam_core.stored import commands, messages

# Callers may look up an ended job for two minutes; clocks may jump by some seconds.
ENDED_RETENTION_MS = 180_000
# Retractions kept for each task: a record that was delayed arrives within seconds.
MAX_RETRACTED = 100


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """A crash that may have been a cut, recorded at `wall_ms` of the leader's clock."""

    crash: pool_messages.TaskCrash
    wall_ms: int


class Entry(msgspec.Struct, array_like=True):
    """A stored job; `job` is None once it has ended, `left` counts its open tasks.

    `done` holds the names of completed tasks without the job's id. `failures` holds the
    numbers of the failed attempts of each task, or of each gang under the gang's name.
    `crashes` holds the numbers of each task's attempts under which an endpoint crashed,
    or may have, with whether it did early in the attempt's run. `suspicions` holds
    those that may have been cuts, `retracted` the numbers of those that were.
    """

    queue: str
    verdict: messages.Verdict
    accepted_ms: int
    job: messages.StoredJob | None
    left: int
    done: set[str] = msgspec.field(default_factory=set)
    failures: dict[str, list[int]] = msgspec.field(default_factory=dict)
    ended_ms: int = 0
    crashes: dict[str, dict[int, bool]] = msgspec.field(default_factory=dict)
    suspicions: dict[str, dict[int, Suspicion]] = msgspec.field(default_factory=dict)
    retracted: dict[str, list[int]] = msgspec.field(default_factory=dict)

    @property
    def is_open(self) -> bool:
        """Return whether the job is queued or active."""
        return self.verdict in messages.OPEN_VERDICTS

    def get_certain_crashes(self, task: str) -> dict[int, bool]:
        """Return the crashes under a task that cannot have been cuts."""
        suspected = self.suspicions.get(task, {})
        return {
            number: is_early
            for number, is_early in self.crashes.get(task, {}).items()
            if number not in suspected
        }

    def list_suspicions(self) -> list[Suspicion]:
        """Return the crashes under all tasks that may have been cuts."""
        return [each for task in self.suspicions.values() for each in task.values()]


class State(msgspec.Struct, array_like=True):
    """State of the ledger: the jobs and the registered dispatcher.

    `fence` is the token of the registered dispatcher; `term` counts the dispatchers
    registered so far.
    """

    entries: dict[str, Entry] = msgspec.field(default_factory=dict)
    fence: int = 0
    term: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A job was accepted; `is_new` is false if it was stored already."""

    job_id: str
    is_new: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """A cancellation was applied; the job's entry, if any, holds the resulting state.

    The job may have ended before, or be unknown.
    """

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndsRecorded:
    """Ends are committed in the log."""

    ends: tuple[messages.NotedEnd, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DispatcherRegistered:
    """A dispatcher may place stored jobs; it asked for this at `asked_ms` of its clock.

    `term` is the number of this dispatcher, counted from 1.
    """

    fence: int
    term: int
    asked_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CrashesRecorded:
    """Crashes under tasks, or their retraction, are committed in the log."""

    crashes: tuple[pool_messages.TaskCrash, ...]
    is_retracted: bool


Change = Accepted | Cancelled | EndsRecorded | CrashesRecorded | DispatcherRegistered


def count_tasks(job: messages.StoredJob) -> int:
    """Return how many tasks a job has, over all of its occurrences."""
    return sum(step.count for step in job.steps) * max(1, job.repeat_count)


class Ledger:
    """Applies the commands on stored jobs in log order."""

    def __init__(self) -> None:
        self.state = State()
        self.ended: list[tuple[int, str]] = []

    @property
    def entries(self) -> dict[str, Entry]:
        """Return the stored jobs by id."""
        return self.state.entries

    def apply(self, command: commands.Command, wall_ms: int) -> Change | None:
        """Apply one command; return the change, or None if there is none."""
        self.remove_expired(wall_ms)
        match command:
            case commands.Accept(job):
                return self.accept(job, wall_ms)
            case commands.Cancel(job_id):
                return self.cancel(job_id, wall_ms)
            case commands.RecordEnds(fence, ends):
                return self.record_ends(fence, ends, wall_ms)
            case commands.RecordCrashes(counted, is_retracted):
                return self.record_crashes(counted, is_retracted, wall_ms)
            case commands.RegisterDispatcher(fence, asked_ms):
                return self.register_dispatcher(fence, asked_ms)
        return None

    def accept(self, job: messages.StoredJob, wall_ms: int) -> Accepted:
        """Store a job unless its id is already known."""
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
            self.end_job(job_id, entry, messages.Verdict.CANCELLED, wall_ms)
        return Cancelled(job_id)

    def register_dispatcher(
        self, fence: int, asked_ms: int
    ) -> DispatcherRegistered | None:
        """Register a dispatcher, unless one with a higher token is registered."""
        if fence < self.state.fence:
            return None
        if fence > self.state.fence:
            self.state.fence = fence
            self.state.term += 1
        return DispatcherRegistered(fence, self.state.term, asked_ms)

    def record_ends(
        self, fence: int, ends: tuple[messages.NotedEnd, ...], wall_ms: int
    ) -> EndsRecorded | None:
        """Record ends; those of a dispatcher that was replaced are ignored.

        Its successor finds them in the endpoints' lists, because they were never
        acknowledged there.
        """
        if fence < self.state.fence:
            return None
        for end in ends:
            self.record_end(end, wall_ms)
        return EndsRecorded(ends)

    def record_end(self, end: messages.NotedEnd, wall_ms: int) -> None:
        """Record the end of one attempt; ends that match no open job are ignored."""
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
            self.record_done(job_id, entry, name, wall_ms)
            return
        failure_key = name.gang if step.is_gang else name.task
        failed_attempts = entry.failures.setdefault(failure_key, [])
        if end.number not in failed_attempts:
            failed_attempts.append(end.number)
        if (
            len(failed_attempts) >= entry.job.terms.max_attempts
            and name.task not in entry.done
        ):
            self.end_job(job_id, entry, messages.Verdict.FAILED, wall_ms)

    def record_crashes(
        self,
        counted: tuple[pool_messages.TaskCrash, ...],
        is_retracted: bool,
        wall_ms: int,
    ) -> CrashesRecorded:
        """Record crashes under tasks, or retract them."""
        for crash in counted:
            if is_retracted:
                self.retract_crash(crash)
            else:
                self.record_crash(crash, wall_ms)
        return CrashesRecorded(counted, is_retracted)

    def retract_crash(self, crash: pool_messages.TaskCrash) -> None:
        """Forget a crash under a task of an open job, also when recorded again."""
        entry = self.entries.get(jobs.get_job_id(crash.task))
        name = jobs.parse_task_name(crash.task)
        if entry is None or entry.job is None or name is None:
            return
        entry.crashes.get(name.task, {}).pop(crash.number, None)
        entry.suspicions.get(name.task, {}).pop(crash.number, None)
        retracted = entry.retracted.setdefault(name.task, [])
        if crash.number not in retracted:
            retracted.append(crash.number)
            del retracted[:-MAX_RETRACTED]

    def record_crash(self, crash: pool_messages.TaskCrash, wall_ms: int) -> None:
        """Record a crash under a task; end the job as failed if it is at fault.

        One that may have been a cut puts no task at fault.
        """
        job_id = jobs.get_job_id(crash.task)
        entry = self.entries.get(job_id)
        name = jobs.parse_task_name(crash.task)
        if entry is None or entry.job is None or name is None:
            return
        if name.task in entry.done or crash.number in entry.retracted.get(
            name.task, ()
        ):
            return
        entry.verdict = messages.Verdict.ACTIVE
        counted = entry.crashes.setdefault(name.task, {})
        suspected = entry.suspicions.setdefault(name.task, {})
        if crash.is_certain:
            counted[crash.number] = crash.is_early
            suspected.pop(crash.number, None)
        elif crash.number not in counted:
            counted[crash.number] = crash.is_early
            suspected[crash.number] = Suspicion(crash, wall_ms)
        certain = entry.get_certain_crashes(name.task)
        if crashes.is_at_fault(certain, entry.job.is_lasting):
            self.end_job(job_id, entry, messages.Verdict.FAILED, wall_ms)

    def record_done(
        self, job_id: str, entry: Entry, name: jobs.TaskName, wall_ms: int
    ) -> None:
        """Count a task as done; one end of a gang counts for all of its tasks."""
        assert entry.job is not None
        step = entry.job.steps[name.step]
        names = [name.task]
        if step.is_gang:
            names = [f"{name.gang}.{index}" for index in range(step.count)]
        new_names = [each for each in names if each not in entry.done]
        entry.done.update(new_names)
        entry.left -= len(new_names)
        if entry.left <= 0:
            self.end_job(job_id, entry, messages.Verdict.COMPLETE, wall_ms)

    def end_job(
        self, job_id: str, entry: Entry, verdict: messages.Verdict, wall_ms: int
    ) -> None:
        """Mark a job as ended, and drop its definition and its progress."""
        entry.verdict = verdict
        entry.job = None
        entry.done = set()
        entry.failures = {}
        entry.crashes = {}
        entry.suspicions = {}
        entry.retracted = {}
        entry.ended_ms = wall_ms
        self.ended.append((wall_ms, job_id))

    def remove_expired(self, wall_ms: int) -> None:
        """Remove jobs that ended `ENDED_RETENTION_MS` ago or earlier."""
        count = 0
        for ended_ms, job_id in self.ended:
            if wall_ms - ended_ms < ENDED_RETENTION_MS:
                break
            self.entries.pop(job_id, None)
            count += 1
        del self.ended[:count]

    def restore(self, state: State) -> None:
        """Replace the state by that of a snapshot."""
        self.state = state
        self.ended = sorted(
            (entry.ended_ms, job_id)
            for job_id, entry in state.entries.items()
            if not entry.is_open
        )
