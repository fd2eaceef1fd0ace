"""The world of `world` with a log that keeps jobs, and checks of what it promises."""

from __future__ import annotations

from bench.pool import simulation
from knapweedbeam_core.manifests import manifest
from knapweedbeam_core.pool import calls, dispatcher, jobs, messages
from knapweedbeam_core.stored import commands, ledger
from knapweedbeam_core.stored import messages as stored_messages

# One sync of a disk and a round between VMs.
COMMIT_MS = 12


class StoredSimulation(simulation.Simulation):
    """A world whose jobs are kept; the log can be down for a while."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed)
        self.ledger = ledger.Ledger()
        self.cut_from_log: set[str] = set()
        self.done_in_log: set[str] = set()
        self.registration_due_ms: dict[str, int] = {}
        self.pending_changes: dict[str, list[ledger.Change]] = {}

    def commit(self, command: commands.Command) -> None:
        """Have the log apply a command after a commit's time."""
        self.schedule_after(COMMIT_MS, lambda: self.apply(command))

    def apply(self, command: commands.Command) -> None:
        """Apply a command and tell every dispatcher that hears the log."""
        change = self.ledger.apply(command, self.clock.wall_ms())
        if change is None:
            return
        if isinstance(change, ledger.EndsRecorded):
            self.done_in_log |= {end.task for end in change.ends if end.is_done}
        for each in self.dispatchers:
            self.pending_changes.setdefault(each.name, []).append(change)
            self.deliver_changes(each)

    def deliver_changes(self, by: dispatcher.Dispatcher) -> None:
        """Give a dispatcher the changes that its replica lacked."""
        if by.name not in self.cut_from_log:
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
        """Have a job kept."""
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
        """Have a job cancelled."""
        self.commit(commands.Cancel(job_id))

    def get_state(self, job_id: str) -> str:
        """Return a job's state, empty for none."""
        entry = self.ledger.entries.get(job_id)
        return str(entry.verdict) if entry is not None else ""

    def handle_record_end(
        self, by: dispatcher.Dispatcher, noted: calls.RecordEnd
    ) -> None:
        """Bring an end to the log."""
        if by.name in self.cut_from_log:
            return
        end = noted.end
        kept = stored_messages.NotedEnd(
            noted.endpoint,
            noted.born_ms,
            end.place,
            end.task,
            end.number,
            end.kind == calls.EndKind.DONE,
        )
        self.commit(commands.RecordEnds(by.fence, (kept,)))

    def record_start(
        self, endpoint: simulation.FakeEndpoint, order: calls.Start
    ) -> None:
        """Note a start, and a promise that it breaks."""
        super().record_start(endpoint, order)
        if order.task in self.done_in_log:
            self.breaches.append(f"{self.now_ms}: {order.task} was done and starts")
        self.check_dependencies(order)

    def check_dependencies(self, order: calls.Start) -> None:
        """Note a start before the steps that it depends on have ended."""
        name = jobs.parse_task_name(order.task)
        entry = self.ledger.entries.get(jobs.get_job_id(order.task))
        if name is None or entry is None or entry.job is None:
            return
        for before in entry.job.steps[name.step].depends_on:
            for index in range(entry.job.steps[before].count):
                task = f"{entry.job.job_id}.{name.occurrence}.{before}.{index}"
                if not self.is_done(task):
                    self.breaches.append(f"{self.now_ms}: {order.task} before {task}")

    def is_done(self, task: str) -> bool:
        """Say whether some attempt of a task has ended done."""
        return task in self.done_in_log or any(
            end.task == task and end.kind == calls.EndKind.DONE
            for endpoint in self.endpoints.values()
            for end in endpoint.ended
        )

    def tick(self) -> None:
        """Do what is due."""
        super().tick()
        for each in self.dispatchers:
            if each.name in self.cut_from_log:
                continue
            self.deliver_changes(each)
            each.stored_scheduler.has_stored_jobs = bool(self.ledger.entries)
            each.stored_scheduler.record_log_contact()
            is_due = self.now_ms >= self.registration_due_ms.get(each.name, 0)
            if each.fence and each.stored_scheduler.needs_registration and is_due:
                self.registration_due_ms[each.name] = self.now_ms + 200
                self.commit(commands.RegisterDispatcher(each.fence, self.now_ms))


def build_step(count: int = 1, **more: object) -> messages.SubmittedStep:
    """Return a step of tasks of 27 cores."""
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
    return messages.SubmittedStep(**(fields | more))  # type: ignore[arg-type]
