"""A simulation of dispatchers with a log of stored jobs.

It also checks that no task starts after it is done or before its dependencies.
"""

from __future__ import annotations

from bench.pool import simulation
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import calls, dispatcher, jobs, messages
from knapweedbeam_core.stored import commands, ledger
from knapweedbeam_core.stored import messages as stored_messages

# Time of a disk sync and one round trip between VMs.
COMMIT_MS = 12
# How much longer a dispatcher that resumes takes to read the log than to go on.
CATCH_UP_MS = 50


class StoredSimulation(simulation.Simulation):
    """A simulation with stored jobs, whose dispatchers can lose the log.

    `cut_from_log` names the dispatchers that cannot reach the log, and
    `done_in_log` holds the tasks whose successful end the log has recorded.
    """

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed)
        self.ledger = ledger.Ledger()
        self.cut_from_log: set[str] = set()
        self.done_in_log: set[str] = set()
        self.registration_due_ms: dict[str, int] = {}
        self.pending_changes: dict[str, list[ledger.Change]] = {}
        self.catching_up: set[str] = set()

    @property
    def without_log(self) -> set[str]:
        """Return the dispatchers that get no changes of the log now."""
        return self.cut_from_log | self.catching_up | self.suspended.keys()

    def resume(self, name: str) -> None:
        """Resume a dispatcher, which gets a late heartbeat before it reads the log."""
        self.catching_up.add(name)
        self.schedule_after(CATCH_UP_MS, lambda: self.catching_up.discard(name))
        for each in self.dispatchers:
            if each.name == name:
                each.stored_scheduler.record_log_contact()
        super().resume(name)

    def commit(self, command: commands.Command) -> None:
        """Apply a command to the log once the commit time has passed."""
        self.schedule_after(COMMIT_MS, lambda: self.apply(command))

    def apply(self, command: commands.Command) -> None:
        """Apply a command and deliver the change to every dispatcher with the log."""
        change = self.ledger.apply(command, self.clock.wall_ms())
        if change is None:
            return
        if isinstance(change, ledger.EndsRecorded):
            self.done_in_log |= {end.task for end in change.ends if end.is_done}
        for each in self.dispatchers:
            self.pending_changes.setdefault(each.name, []).append(change)
            self.deliver_changes(each)

    def deliver_changes(self, by: dispatcher.Dispatcher) -> None:
        """Deliver the pending changes of the log to a dispatcher that can reach it."""
        if by.name not in self.without_log:
            changes = self.pending_changes.pop(by.name, [])
            self.run(by, by.stored_scheduler.on_changes(changes, self.ledger))

    def store_job(
        self,
        job_id: str,
        steps: tuple[messages.SubmittedStep, ...],
        work_ms: int = 60,
        max_attempts: int = 3,
        repeat_count: int = 0,
        interval_ms: int = 0,
        start_in_ms: int = 0,
        advice_valid_ms: int = 0,
    ) -> None:
        """Commit a stored job to the log."""
        self.work_ms[job_id] = work_ms
        self.cpu_millis[job_id] = max(step.cpu_millis for step in steps)
        job = stored_messages.StoredJob(
            job_id,
            manifest.Terms(
                "queue", "service", 0, max_attempts, 1.6, 60, advice_valid_ms
            ),
            "spec",
            steps,
            repeat_count,
            self.clock.wall_ms() + start_in_ms,
            interval_ms,
        )
        self.commit(commands.Accept(job))

    def cancel(self, job_id: str) -> None:
        """Commit the cancellation of a job to the log."""
        self.commit(commands.Cancel(job_id))

    def get_state(self, job_id: str) -> str:
        """Return a job's state in the log, empty if the job is unknown."""
        entry = self.ledger.entries.get(job_id)
        return str(entry.verdict) if entry is not None else ""

    def handle_record_end(
        self, by: simulation.Dispatching, request: calls.RecordEnd
    ) -> None:
        """Commit the end of an attempt to the log."""
        if by.name in self.cut_from_log:
            return
        end = request.end
        recorded = stored_messages.NotedEnd(
            request.endpoint,
            request.born_ms,
            end.place,
            end.task,
            end.number,
            end.kind == calls.EndKind.DONE,
        )
        (fence,) = [each.fence for each in self.dispatchers if each.name == by.name]
        self.commit(commands.RecordEnds(fence, (recorded,)))

    def handle_record_crash(
        self, by: simulation.Dispatching, request: calls.RecordCrash
    ) -> None:
        """Commit a crash under a task to the log."""
        if by.name not in self.cut_from_log:
            command = commands.RecordCrashes((request.crash,), request.is_retracted)
            self.commit(command)

    def record_start(
        self, endpoint: simulation.FakeEndpoint, call: calls.Start
    ) -> None:
        """Record a start, and a breach if the task is done or started too early."""
        super().record_start(endpoint, call)
        if call.task in self.done_in_log:
            self.breaches.append(f"{self.now_ms}: {call.task} starts again when done")
        self.check_dependencies(call)

    def check_dependencies(self, call: calls.Start) -> None:
        """Record a breach for each task of an earlier step that is not done yet."""
        name = jobs.parse_task_name(call.task)
        entry = self.ledger.entries.get(jobs.get_job_id(call.task))
        if name is None or entry is None or entry.job is None:
            return
        for dependency in entry.job.steps[name.step].depends_on:
            for index in range(entry.job.steps[dependency].count):
                task = f"{entry.job.job_id}.{name.occurrence}.{dependency}.{index}"
                if not self.is_done(task):
                    self.breaches.append(f"{self.now_ms}: {call.task} before {task}")

    def is_done(self, task: str) -> bool:
        """Say whether some attempt of a task has ended successfully."""
        return task in self.done_in_log or any(
            end.task == task and end.kind == calls.EndKind.DONE
            for endpoint in self.endpoints.values()
            for end in endpoint.ended
        )

    def tick(self) -> None:
        """Run what is due and deliver the changes of the log."""
        super().tick()
        for each in self.dispatchers:
            if each.name in self.without_log:
                continue
            self.deliver_changes(each)
            each.stored_scheduler.has_stored_jobs = bool(self.ledger.entries)
            each.stored_scheduler.record_log_contact()
            is_due = self.now_ms >= self.registration_due_ms.get(each.name, 0)
            if each.fence and each.stored_scheduler.needs_registration and is_due:
                self.registration_due_ms[each.name] = self.now_ms + 200
                self.commit(commands.RegisterDispatcher(each.fence, self.now_ms))


def build_step(count: int = 1, **overrides: object) -> messages.SubmittedStep:
    """Return a step whose tasks take 27 cores each, with some fields overridden."""
    fields: dict[str, object] = {
        "count": count,
        "cpu_millis": 27_000,
        "memory_mib": 64,
        "gpus": 0,
        "estimate_ms": 60,
        "depends_on": (),
        "required_label": "",
        "data_rack": "",
        "max_per_endpoint": 0,
    }
    return messages.SubmittedStep(**(fields | overrides))  # type: ignore[arg-type]
