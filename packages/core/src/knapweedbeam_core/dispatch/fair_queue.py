"""Fair order over members by slot time used, and of jobs inside a member.

Start-time fair queueing: a member's virtual time grows by the slot time that
its tasks use, divided by its weight, and the member with the least is next.
Virtual time never falls, so an entry in the heap may only be too early, and is
moved when it is looked at.
"""

from __future__ import annotations

import dataclasses
import heapq

from knapweedbeam_core.dispatch import job_run

ACTIVE_MS = 20
MAX_LAG_MS = 3_000.0


@dataclasses.dataclass(slots=True, eq=False)
class Account:
    """The slot time of one member, over all services."""

    member: str
    standing: float = 1.0
    virtual_ms: float = 0.0
    credit_ms: float = 0.0
    used_ms: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Line:
    """The jobs of one member for one service.

    `waiting` holds jobs that are not begun, `ready` those that are; both are
    heaps by expected finish, from which ended jobs are dropped when met.
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
    in_order: bool = False
    held_until_ms: int = 0

    def get_backlog(self) -> int:
        """Return how many tasks wait, begun or not."""
        return self.waiting_tasks + self.asked_tasks + self.ready_tasks


@dataclasses.dataclass(slots=True)
class ActiveWeight:
    """The standing of all members with tasks, as last added up."""

    weight: float = 0.0
    until_ms: int = 0


class FairQueue:
    """The queued jobs of one service."""

    def __init__(self, service: str) -> None:
        self.service = service
        self.lines: dict[str, Line] = {}
        self.heap: list[tuple[float, int, Line]] = []
        self.virtual_ms = 0.0
        self.count = 0
        self.queued_ms = 0.0
        self.backlog = 0
        self.waiting: dict[str, Line] = {}
        self.changed: dict[str, Line] = {}
        self.active = ActiveWeight()

    def next_count(self) -> int:
        """Return a number that orders equal entries of a heap."""
        self.count += 1
        return self.count

    def take_changed(self, all_lines: bool) -> list[Line]:
        """Return the members with waiting jobs to look at now."""
        found = self.waiting if all_lines else self.changed
        lines = [line for line in found.values() if line.waiting_tasks]
        self.changed.clear()
        return lines

    def count_waiting(self, line: Line, tasks: int) -> None:
        """Count tasks of jobs that are not begun, or no longer."""
        line.waiting_tasks += tasks
        name = line.account.member
        if line.waiting_tasks:
            self.waiting[name] = self.changed[name] = line
        else:
            self.waiting.pop(name, None)

    def get_active_weight(self, now_ms: int) -> float:
        """Return the standing of all members with tasks, brought up to date rarely."""
        active = self.active
        if now_ms >= active.until_ms:
            active.until_ms = now_ms + ACTIVE_MS
            active.weight = sum(
                line.account.standing
                for line in self.lines.values()
                if line.running_slots or line.get_backlog()
            )
        return active.weight

    def get_line(self, account: Account) -> Line:
        """Return the line of a member, made when it is first needed."""
        line = self.lines.get(account.member)
        if line is None:
            line = Line(account, self.service, account.standing)
            self.lines[account.member] = line
        return line

    def add_waiting(self, run: job_run.JobRun) -> None:
        """Queue a job that is not begun."""
        self.count += 1
        line = run.line
        heapq.heappush(line.waiting, (run.order_ms, self.count, run))
        self.count_waiting(line, run.unanswered)
        self.backlog += run.unanswered
        work_ms = run.task_ms * run.unanswered
        line.queued_ms += work_ms
        self.queued_ms += work_ms

    def take_waiting(self, line: Line) -> job_run.JobRun | None:
        """Remove and return the member's next job that is not begun."""
        while line.waiting:
            run = heapq.heappop(line.waiting)[2]
            if run.state == job_run.WAITING:
                return run
        return None

    def add_ready(self, run: job_run.JobRun) -> None:
        """Queue the tasks of a job that is begun, or of one that has some again."""
        self.count += 1
        line = run.line
        heapq.heappush(line.ready, (run.order_ms, self.count, run))
        self.join(line)

    def join(self, line: Line) -> None:
        """Let a member take part from now on.

        Its idle time earns it at most `MAX_LAG_MS`, for a burst of its own.
        """
        if line.in_order:
            return
        line.in_order = True
        account = line.account
        earliest_ms = self.virtual_ms - MAX_LAG_MS
        account.virtual_ms = max(account.virtual_ms, earliest_ms)
        self.count += 1
        heapq.heappush(self.heap, (account.virtual_ms, self.count, line))

    def get_next(self) -> Line | None:
        """Return the member whose task is next, or none."""
        heap = self.heap
        while heap:
            virtual_ms, _, line = heap[0]
            if not line.ready_tasks:
                heapq.heappop(heap)
                line.in_order = False
                continue
            current_ms = line.account.virtual_ms
            if virtual_ms < current_ms:
                self.count += 1
                heapq.heapreplace(heap, (current_ms, self.count, line))
                continue
            self.virtual_ms = virtual_ms
            return line
        return None

    def set_aside(self, line: Line) -> None:
        """Take the next member out until it joins again."""
        heapq.heappop(self.heap)
        line.in_order = False

    def get_ready(self, line: Line) -> job_run.JobRun | None:
        """Return the member's next begun job with a task to start."""
        ready = line.ready
        while ready:
            run = ready[0][2]
            if run.order and run.state == job_run.BEGUN:
                return run
            heapq.heappop(ready)
        return None

    def forget_work(self, run: job_run.JobRun, tasks: int) -> None:
        """Take `tasks` tasks of a job off the queued work."""
        work_ms = run.task_ms * tasks
        run.line.queued_ms -= work_ms
        self.queued_ms -= work_ms
        self.backlog -= tasks


def charge(line: Line, slot_ms: float) -> None:
    """Charge slot time to a member; an earlier credit is used up first."""
    account = line.account
    account.used_ms += slot_ms
    if account.credit_ms > 0.0:
        used_ms = min(account.credit_ms, slot_ms)
        account.credit_ms -= used_ms
        slot_ms -= used_ms
    account.virtual_ms += slot_ms / line.weight


def correct(line: Line, difference_ms: float) -> None:
    """Correct an expected charge by what was used; a surplus becomes credit."""
    if difference_ms >= 0.0:
        charge(line, difference_ms)
        return
    line.account.used_ms += difference_ms
    line.account.credit_ms -= difference_ms
