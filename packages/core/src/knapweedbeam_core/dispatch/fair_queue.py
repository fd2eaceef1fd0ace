"""Fair queueing of members by slot time used, and of jobs within a member.

Start-time fair queueing: a member's virtual time grows by the slot time that
its tasks use, divided by its weight, and the member with the least is next.
Virtual time never decreases, so a heap entry can only be too early and is
corrected when it reaches the top.
"""

from __future__ import annotations

import dataclasses
import heapq

from knapweedbeam_core.dispatch import job_run

ACTIVE_MS = 20
MAX_LAG_MS = 3_000.0


@dataclasses.dataclass(slots=True, eq=False)
class Account:
    """The slot time used by one member over all services.

    `credit_ms` is time charged in advance but not used.
    """

    member: str
    standing: float = 1.0
    virtual_ms: float = 0.0
    credit_ms: float = 0.0
    used_ms: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class MemberQueue:
    """The queued jobs of one member for one service.

    `waiting` holds jobs that are not begun, `ready` those that are. Both are
    heaps ordered by expected finish; ended jobs are removed when they reach the
    top. `asked_tasks` counts the tasks of jobs whose begin was requested.
    """

    account: Account
    service: str
    weight: float = 1.0
    waiting: list[tuple[float, int, job_run.JobRun]] = dataclasses.field(
        default_factory=list
    )
    ready: list[tuple[float, int, job_run.JobRun]] = dataclasses.field(
        default_factory=list
    )
    waiting_tasks: int = 0
    asked_tasks: int = 0
    ready_tasks: int = 0
    running_slots: int = 0
    queued_ms: float = 0.0
    is_scheduled: bool = False
    blocked_until_ms: int = 0

    def get_backlog(self) -> int:
        """Return the number of queued tasks, of begun and other jobs."""
        return self.waiting_tasks + self.asked_tasks + self.ready_tasks


@dataclasses.dataclass(slots=True)
class ActiveWeight:
    """The cached sum of the standings of all members with tasks."""

    weight: float = 0.0
    valid_until_ms: int = 0


class FairQueue:
    """The queued jobs of one service."""

    def __init__(self, service: str) -> None:
        self.service = service
        self.member_queues: dict[str, MemberQueue] = {}
        self.heap: list[tuple[float, int, MemberQueue]] = []
        self.virtual_ms = 0.0
        self.sequence = 0
        self.queued_ms = 0.0
        self.backlog = 0
        self.waiting: dict[str, MemberQueue] = {}
        self.changed: dict[str, MemberQueue] = {}
        self.active = ActiveWeight()

    def next_sequence(self) -> int:
        """Return a sequence number that orders heap entries with equal keys."""
        self.sequence += 1
        return self.sequence

    def pop_changed(self, include_all: bool) -> list[MemberQueue]:
        """Return the queues with waiting jobs that changed, or all of them.

        The set of changed queues is cleared.
        """
        candidates = self.waiting if include_all else self.changed
        member_queues = [
            member_queue
            for member_queue in candidates.values()
            if member_queue.waiting_tasks
        ]
        self.changed.clear()
        return member_queues

    def adjust_waiting(self, member_queue: MemberQueue, tasks: int) -> None:
        """Add `tasks`, which may be negative, to the count of tasks not begun."""
        member_queue.waiting_tasks += tasks
        name = member_queue.account.member
        if member_queue.waiting_tasks:
            self.waiting[name] = self.changed[name] = member_queue
        else:
            self.waiting.pop(name, None)

    def get_active_weight(self, now_ms: int) -> float:
        """Return the sum of the standings of members with tasks.

        It is recalculated at most every `ACTIVE_MS`.
        """
        active = self.active
        if now_ms >= active.valid_until_ms:
            active.valid_until_ms = now_ms + ACTIVE_MS
            active.weight = sum(
                member_queue.account.standing
                for member_queue in self.member_queues.values()
                if member_queue.running_slots or member_queue.get_backlog()
            )
        return active.weight

    def get_member_queue(self, account: Account) -> MemberQueue:
        """Return the queue of a member, created on first use."""
        member_queue = self.member_queues.get(account.member)
        if member_queue is None:
            member_queue = MemberQueue(account, self.service, account.standing)
            self.member_queues[account.member] = member_queue
        return member_queue

    def add_waiting(self, run: job_run.JobRun) -> None:
        """Queue a job that is not begun."""
        self.sequence += 1
        member_queue = run.member_queue
        heapq.heappush(
            member_queue.waiting, (run.expected_finish_ms, self.sequence, run)
        )
        self.adjust_waiting(member_queue, run.unanswered)
        self.backlog += run.unanswered
        work_ms = run.task_ms * run.unanswered
        member_queue.queued_ms += work_ms
        self.queued_ms += work_ms

    def take_waiting(self, member_queue: MemberQueue) -> job_run.JobRun | None:
        """Remove and return the member's next job that is not begun."""
        while member_queue.waiting:
            run = heapq.heappop(member_queue.waiting)[2]
            if run.state == job_run.WAITING:
                return run
        return None

    def add_ready(self, run: job_run.JobRun) -> None:
        """Queue the tasks of a begun job, or a task that is to be retried."""
        self.sequence += 1
        member_queue = run.member_queue
        heapq.heappush(member_queue.ready, (run.expected_finish_ms, self.sequence, run))
        self.schedule(member_queue)

    def schedule(self, member_queue: MemberQueue) -> None:
        """Add a member's queue to the fair order.

        A member's virtual time may lag at most `MAX_LAG_MS` behind the current
        one, which bounds the burst that idle time earns it.
        """
        if member_queue.is_scheduled:
            return
        member_queue.is_scheduled = True
        account = member_queue.account
        earliest_ms = self.virtual_ms - MAX_LAG_MS
        account.virtual_ms = max(account.virtual_ms, earliest_ms)
        self.sequence += 1
        heapq.heappush(self.heap, (account.virtual_ms, self.sequence, member_queue))

    def get_next(self) -> MemberQueue | None:
        """Return the member queue whose task is next, or None."""
        heap = self.heap
        while heap:
            virtual_ms, _, member_queue = heap[0]
            if not member_queue.ready_tasks:
                heapq.heappop(heap)
                member_queue.is_scheduled = False
                continue
            current_ms = member_queue.account.virtual_ms
            if virtual_ms < current_ms:
                self.sequence += 1
                heapq.heapreplace(heap, (current_ms, self.sequence, member_queue))
                continue
            self.virtual_ms = virtual_ms
            return member_queue
        return None

    def unschedule_next(self, member_queue: MemberQueue) -> None:
        """Remove the next member queue until it is scheduled again."""
        heapq.heappop(self.heap)
        member_queue.is_scheduled = False

    def get_ready(self, member_queue: MemberQueue) -> job_run.JobRun | None:
        """Return the member's next begun job with a task to start."""
        ready = member_queue.ready
        while ready:
            run = ready[0][2]
            if run.unstarted and run.state == job_run.BEGUN:
                return run
            heapq.heappop(ready)
        return None

    def subtract_queued_work(self, run: job_run.JobRun, tasks: int) -> None:
        """Subtract `tasks` tasks of a job from the queued work."""
        work_ms = run.task_ms * tasks
        run.member_queue.queued_ms -= work_ms
        self.queued_ms -= work_ms
        self.backlog -= tasks


def charge(member_queue: MemberQueue, slot_ms: float) -> None:
    """Charge slot time to a member; earlier credit is used up first."""
    account = member_queue.account
    account.used_ms += slot_ms
    if account.credit_ms > 0.0:
        used_ms = min(account.credit_ms, slot_ms)
        account.credit_ms -= used_ms
        slot_ms -= used_ms
    account.virtual_ms += slot_ms / member_queue.weight


def correct_charge(member_queue: MemberQueue, difference_ms: float) -> None:
    """Correct a charge by used minus expected time; a surplus becomes credit."""
    if difference_ms >= 0.0:
        charge(member_queue, difference_ms)
        return
    member_queue.account.used_ms += difference_ms
    member_queue.account.credit_ms -= difference_ms
