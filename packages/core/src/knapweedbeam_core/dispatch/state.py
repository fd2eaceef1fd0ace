"""State shared by the dispatch modules: queues, estimates and timers."""

from __future__ import annotations

import dataclasses
import enum

from knapweedbeam_core import clock, effects, ids, jobs, outcomes, rules
from knapweedbeam_core.dispatch import (
    fair_queue,
    health,
    job_run,
    placement,
    retry_budget,
    service_times,
    sizes,
    timers,
    usage,
)
from knapweedbeam_core.entry import parts
from knapweedbeam_core.slots import held, holder

WORKER_LEASE_MS = 10_000
MAX_WORKERS = 16_384


class TimerKind(enum.Enum):
    """The kinds of timers."""

    DEADLINE = enum.auto()
    MEMBER_QUEUE = enum.auto()
    TASK_LEASE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Timer:
    """A job's deadline, a retry of a member's queue or the end of a task's lease."""

    kind: TimerKind
    ticket: str = ""
    index: int = 0
    member_queue: fair_queue.MemberQueue | None = None


class State:
    """The dispatcher's own state, which only its modules change."""

    def __init__(
        self, clock: clock.Clock, limiter: parts.Limiter, worker_usage: usage.Usage
    ) -> None:
        self.clock = clock
        self.limiter = limiter
        self.usage = worker_usage
        self.jobs: dict[str, job_run.JobRun] = {}
        self.queues: dict[str, fair_queue.FairQueue] = {}
        self.accounts: dict[str, fair_queue.Account] = {}
        self.rules = rules.Rules()
        self.times = service_times.ServiceTimes()
        self.sizes = sizes.SizeEstimator()
        self.health = health.HealthTracker()
        self.budget = retry_budget.RetryBudget()
        self.timers: timers.Timers[Timer] = timers.Timers()
        self.changed_services: set[str] = set()
        self.pending_effects: list[effects.Effect] = []
        self.open_jobs = 0
        self.queued_tasks = 0
        self.queued_bytes = 0
        self.endpoints_by_worker: dict[str, held.HeldEndpoint] = {}
        self.last_repeatable_ms: dict[str, int] = {}
        self.is_stopping = False
        self.is_ticking = False
        self.placement: placement.Placement
        self.holder: holder.Holder

    def record_worker_endpoint(self, worker: str, endpoint: held.HeldEndpoint) -> None:
        """Record which endpoint runs on a worker, evicting the oldest if full."""
        if (
            worker not in self.endpoints_by_worker
            and len(self.endpoints_by_worker) >= MAX_WORKERS
        ):
            del self.endpoints_by_worker[next(iter(self.endpoints_by_worker))]
        self.endpoints_by_worker[worker] = endpoint

    def get_queue(self, service: str) -> fair_queue.FairQueue:
        """Return the queue of a service, created on first use."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = fair_queue.FairQueue(service)
        return queue

    def get_account(self, member: str) -> fair_queue.Account:
        """Return the account of a member, created on first use."""
        account = self.accounts.get(member)
        if account is None:
            account = fair_queue.Account(member, self.get_standing(member))
            self.accounts[member] = account
        return account

    def get_standing(self, member: str) -> float:
        """Return a member's standing: its weight relative to other members."""
        member_rules = self.rules.members.get(member)
        return float(member_rules.standing) if member_rules is not None else 1.0

    def get_size(self, job: jobs.Job, task: jobs.TaskSpec) -> usage.Need:
        """Return the resources that a task is expected to need.

        The service's defaults apply where the task declares nothing.
        """
        service = self.rules.services.get(job.service)
        return self.sizes.get_need(job, task, service)

    def get_demands(self, service: str) -> dict[str, int]:
        """Return the number of slots that each member's tasks could use here."""
        queue = self.queues.get(service)
        if queue is None:
            return {}
        return {
            member: demand
            for member, member_queue in queue.member_queues.items()
            if (demand := member_queue.running_slots + member_queue.get_backlog())
        }

    def end_job(self, run: job_run.JobRun, outcome: outcomes.Outcome | None) -> None:
        """End a job in any state; report `outcome` unless it is None."""
        state = run.state
        if not run.apply_event("end"):
            return
        member_queue = run.member_queue
        remaining = len(run.unstarted)
        if state == job_run.WAITING:
            self.queues[member_queue.service].adjust_waiting(member_queue, -remaining)
        elif state == job_run.ASKED:
            member_queue.asked_tasks -= remaining
        else:
            member_queue.ready_tasks -= remaining
        self.queues[member_queue.service].subtract_queued_work(run, remaining)
        self.queued_tasks -= remaining
        self.queued_bytes -= run.size_bytes
        run.unstarted.clear()
        self.open_jobs -= 1
        if state != job_run.WAITING:
            self.limiter.end_job(run.job.ticket)
        if outcome is not None:
            self.pending_effects.append(effects.JobEnded(run.job.ticket, outcome))
        if run.running:
            self.stop_running(run)
        else:
            del self.jobs[run.job.ticket]

    def stop_running(self, run: job_run.JobRun) -> None:
        """Stop a job's running tasks.

        Their slots stay in use until the tasks end or `WORKER_LEASE_MS` has passed.
        """
        run.answers = []
        due_ms = self.clock.now_ms() + WORKER_LEASE_MS
        for index in run.running:
            self.pending_effects.append(
                effects.StopTask(ids.TaskId(run.job.ticket, index))
            )
            timer = Timer(TimerKind.TASK_LEASE, run.job.ticket, index)
            self.timers.add(due_ms, timer)
