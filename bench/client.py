"""Open-loop client, which sends each job of a trace at its scheduled time.

Latency is measured from the scheduled time. A job whose connection is lost is
sent again through another entry VM under the same ticket. A share of the jobs is
sent twice on purpose.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import random
import typing

import gevent
import gevent.pool
import msgspec

from bench import calls, deployment, events, trace
from knapweedbeam_core import clock, reasons
from knapweedbeam_server import history

TICKET_BLOCK_SIZE = 100
MIN_SPARE_TICKETS = 25
ANSWER_WAIT_MS = 40_000
CALL_MARGIN_S = 5.0
RETRY_INTERVAL_S = 0.1
PENDING = "pending"
TICKET_ATTEMPTS = 20
GIVE_UP_AFTER_MS = 60_000
MAX_TICKETS_PER_JOB = 3
MAX_OPEN_JOBS = 20_000


# The process that minted the ticket can no longer use it.
TICKET_REASONS = frozenset(
    {reasons.Reason.WITNESS_LOST, reasons.Reason.SEALED, reasons.Reason.STOPPING}
)


class TaskAnswer(msgspec.Struct):
    """The answer of a fake endpoint to a task."""

    echo: int
    ticket: str
    index: int


class FinalBody(msgspec.Struct):
    """The body of an answer to a job, final or not."""

    outcome: str = ""
    reason: str = ""
    answers: list[TaskAnswer] = msgspec.field(default_factory=list)
    may_have_run: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class JobResult:
    """Outcome of a job; `response_ms` is measured from the scheduled time.

    An empty `outcome` means that the client gave up. `entry` is the entry VM that
    answered, `owner` the one that minted the ticket.
    """

    number: int
    job_class: str
    member: str
    tasks: int
    at_ms: float
    response_ms: float
    outcome: str
    reason: str
    entry: str
    owner: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClientOptions:
    """Options of the client.

    `resend_share` is the share of jobs that are sent twice. `declare` returns the
    sizes of a task from its job and its work in milliseconds.
    """

    service: str = ""
    deadline_ms: int = 30_000
    resend_share: float = 0.0
    declare: collections.abc.Callable[[trace.TraceJob, float], TaskSizes] | None = None
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSizes:
    """Declared sizes of a task, and what it really uses."""

    cpu_millis: int = 0
    memory_mib: int = 0
    run_ms: int = 0
    used_cpu_millis: int = 0
    used_memory_mib: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class JobEnd:
    """The final answer to a job, the entry VM that gave it and the time.

    `final` has no outcome if the client gave up.
    """

    final: FinalBody
    entry: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OpenJob:
    """A job without a final answer."""

    job: trace.TraceJob
    ticket: str
    entry: str


class Client:
    """Sends the jobs of all members to the entry VMs listed in `entries`."""

    def __init__(
        self,
        plan: deployment.Deployment,
        writer: history.HistoryWriter,
        own_clock: clock.Clock,
        options: ClientOptions,
    ) -> None:
        self.plan = plan
        self.history = writer
        self.clock = own_clock
        self.options = options
        self.rng = random.Random(options.seed)
        self.tokens = {member.name: member.token for member in plan.members}
        timeout_s = ANSWER_WAIT_MS / clock.SECOND_MS + CALL_MARGIN_S
        self.callers = {
            vm.name: calls.Caller(vm.callers, "", timeout_s, connections=MAX_OPEN_JOBS)
            for vm in plan.vms
        }
        self.entries = [vm.name for vm in plan.vms]
        self.tickets: dict[tuple[str, str], collections.deque[str]] = {}
        self.minting: set[tuple[str, str]] = set()
        self.results: list[JobResult] = []
        self.open_jobs: dict[int, OpenJob] = {}
        self.greenlets = gevent.pool.Pool(MAX_OPEN_JOBS)
        self.started_ms = 0
        self.max_send_delay_ms = 0.0

    def drop_entry(self, name: str) -> None:
        """Stop sending to an entry VM, as the platform's load balancer does."""
        if name in self.entries and len(self.entries) > 1:
            self.entries.remove(name)

    def add_entry(self, name: str) -> None:
        """Send jobs to an entry VM again."""
        if name not in self.entries:
            self.entries.append(name)

    def prepare(self) -> None:
        """Mint a first block of tickets for every member at every entry VM."""
        pairs = [(e, m) for e in self.entries for m in self.tokens]
        gevent.joinall([gevent.spawn(self.mint, e, m) for e, m in pairs])

    def run(self, jobs: collections.abc.Sequence[trace.TraceJob]) -> list[JobResult]:
        """Send every job at its scheduled time and wait for all answers."""
        self.results = []
        self.max_send_delay_ms = 0.0
        self.started_ms = self.clock.now_ms()
        for job in jobs:
            wait_ms = self.started_ms + job.at_ms - self.clock.now_ms()
            if wait_ms > 0:
                gevent.sleep(wait_ms / clock.SECOND_MS)
            else:
                self.max_send_delay_ms = max(self.max_send_delay_ms, -wait_ms)
            self.greenlets.spawn(self.run_job, job)
        self.greenlets.join()
        return self.results

    def mint(self, entry: str, member: str) -> None:
        """Mint a block of tickets at an entry VM."""
        pair = (entry, member)
        if pair in self.minting:
            return
        self.minting.add(pair)
        body = msgspec.json.encode({"count": TICKET_BLOCK_SIZE})
        answer = self.callers[entry].call(
            "POST", "/v1/tickets", body, self.tokens[member]
        )
        self.minting.discard(pair)
        if isinstance(answer, calls.Reply) and answer.status == 201:
            spare = self.tickets.setdefault(pair, collections.deque())
            spare.extend(answer.get_json()["tickets"])

    def pop_ticket(self, member: str) -> tuple[str, str] | None:
        """Return a random entry VM and a ticket minted there, or `None`.

        Starts to mint a new block where fewer than `MIN_SPARE_TICKETS` are left.
        """
        order = self.rng.sample(self.entries, len(self.entries))
        for entry in order:
            spare = self.tickets.get((entry, member))
            if spare is None or len(spare) < MIN_SPARE_TICKETS:
                gevent.spawn(self.mint, entry, member)
            if spare:
                return entry, spare.popleft()
        return None

    def wait_for_ticket(self, member: str) -> tuple[str, str] | None:
        """Return an entry VM and a ticket, or `None` after `TICKET_ATTEMPTS`."""
        for _ in range(TICKET_ATTEMPTS):
            entry_and_ticket = self.pop_ticket(member)
            if entry_and_ticket is not None:
                return entry_and_ticket
            gevent.sleep(RETRY_INTERVAL_S)
        return None

    def run_job(self, job: trace.TraceJob) -> None:
        """Send one job until it ends, under a new ticket if its own is unusable.

        The outcome "not run" guarantees that no task started, so a new ticket cannot
        start a task twice.
        """
        entry = ""
        end = JobEnd(FinalBody(reason="no ticket"), entry, self.clock.now_ms())
        for _ in range(MAX_TICKETS_PER_JOB):
            entry_and_ticket = self.wait_for_ticket(job.member)
            if entry_and_ticket is None:
                break
            entry, ticket = entry_and_ticket
            self.open_jobs[job.number] = OpenJob(job, ticket, entry)
            end = self.send_under_ticket(job, ticket, entry)
            del self.open_jobs[job.number]
            if not is_ticket_unusable(end.final):
                break
            self.tickets.pop((entry, job.member), None)
        self.add_result(job, end, entry)

    def send_under_ticket(self, job: trace.TraceJob, ticket: str, entry: str) -> JobEnd:
        """Send a job, and a random share of jobs also through a second entry VM."""
        body = self.build_body(job)
        resend = None
        if self.rng.random() < self.options.resend_share:
            other = self.pick_other_entry(entry)
            resend = gevent.spawn(self.send, job, ticket, other, body)
        end = self.send(job, ticket, entry, body)
        if resend is not None:
            resend.join()
        return end

    def add_result(self, job: trace.TraceJob, end: JobEnd, owner: str) -> None:
        """Record the result of a job, including the delay back to the client."""
        end_ms = end.at_ms + self.plan.client_delay_ms
        response_ms = end_ms - self.started_ms - job.at_ms
        self.results.append(
            JobResult(
                number=job.number,
                job_class=job.job_class,
                member=job.member,
                tasks=len(job.work_ms),
                at_ms=job.at_ms,
                response_ms=response_ms,
                outcome=end.final.outcome,
                reason=end.final.reason,
                entry=end.entry,
                owner=owner,
            )
        )

    def pick_other_entry(self, entry: str) -> str:
        """Return a random other entry VM, or the same one if there is no other."""
        others = [name for name in self.entries if name != entry]
        return self.rng.choice(others) if others else entry

    def build_body(self, job: trace.TraceJob) -> bytes:
        """Return the request body of a job."""
        declare = self.options.declare
        tasks: list[dict[str, typing.Any]] = []
        for index, work_ms in enumerate(job.work_ms):
            sizes = declare(job, work_ms) if declare is not None else TaskSizes()
            payload = {
                "work_ms": work_ms,
                "echo": job.first_echo + index,
                "cpu_millis": sizes.used_cpu_millis,
                "memory_mib": sizes.used_memory_mib,
            }
            task: dict[str, typing.Any] = {
                "payload": payload,
                "cpu_millis": sizes.cpu_millis,
                "memory_mib": sizes.memory_mib,
                "run_ms": sizes.run_ms,
            }
            tasks.append(task)
        return msgspec.json.encode(
            {
                "service": self.options.service,
                "class": job.job_class,
                "deadline_ms": self.options.deadline_ms,
                "tasks": tasks,
            }
        )

    def send(self, job: trace.TraceJob, ticket: str, entry: str, body: bytes) -> JobEnd:
        """Send a job until it has a final answer or `GIVE_UP_AFTER_MS` have passed."""
        detail = ""
        end_ms = self.clock.now_ms() + GIVE_UP_AFTER_MS
        while self.clock.now_ms() < end_ms:
            answer = self.send_once(job, ticket, entry, body)
            if isinstance(answer, calls.CallFailure):
                detail = answer.detail
                entry = self.pick_other_entry(entry)
                gevent.sleep(RETRY_INTERVAL_S)
                continue
            final = read_final(answer)
            if final.outcome in set(history.OutcomeKind):
                self.record_answer(job, ticket, final)
                return JobEnd(final, entry, self.clock.now_ms())
            detail = f"{answer.status} {final.reason}"
            if final.outcome != PENDING:
                entry = self.pick_other_entry(entry)
            gevent.sleep(RETRY_INTERVAL_S)
        self.history.write(events.GaveUp(ticket, detail))
        return JobEnd(FinalBody(reason=detail), entry, self.clock.now_ms())

    def send_once(
        self, job: trace.TraceJob, ticket: str, entry: str, body: bytes
    ) -> calls.Reply | calls.CallFailure:
        """Send a job once, after the one-way delay to the entry VM."""
        self.history.write(
            history.Submitted(
                ticket,
                job.member,
                self.options.service,
                job.job_class,
                len(job.work_ms),
                to=entry,
            )
        )
        self.wait_one_way_delay()
        sent_ms = self.clock.now_ms()
        answer = self.callers[entry].call(
            "PUT",
            f"/v1/jobs/{ticket}?wait_ms={ANSWER_WAIT_MS}",
            body,
            self.tokens[job.member],
        )
        if isinstance(answer, calls.CallFailure):
            refused = answer.kind == calls.FailureKind.REFUSED
            self.history.write(events.ConnectionLost(ticket, entry, sent_ms, refused))
        return answer

    def cancel(self, open_job: OpenJob) -> None:
        """Cancel a job; the open call that sent it receives the outcome."""
        token = self.tokens[open_job.job.member]
        path = f"/v1/jobs/{open_job.ticket}"
        self.callers[open_job.entry].call("DELETE", path, token=token)

    def wait_one_way_delay(self) -> None:
        """Wait for the delay to the entry VM; `add_result` adds the delay back."""
        if self.plan.client_delay_ms:
            gevent.sleep(self.plan.client_delay_ms / clock.SECOND_MS)

    def record_answer(self, job: trace.TraceJob, ticket: str, final: FinalBody) -> None:
        """Record a final answer and which of its task answers belong to other jobs."""
        foreign = tuple(
            index
            for index, answer in enumerate(final.answers)
            if answer.ticket != ticket
            or answer.index != index
            or answer.echo != job.first_echo + index
        )
        self.history.write(
            history.Answered(
                ticket,
                history.OutcomeKind(final.outcome),
                final.reason,
                len(final.answers),
                final.may_have_run,
                foreign,
            )
        )


def is_ticket_unusable(final: FinalBody) -> bool:
    """Return whether the job was not run only because of its ticket."""
    not_run = final.outcome == history.OutcomeKind.NOT_RUN
    return not_run and final.reason in TICKET_REASONS


def read_final(answer: calls.Reply) -> FinalBody:
    """Return the body of an answer; a malformed one has no outcome."""
    try:
        return msgspec.json.decode(answer.body, type=FinalBody)
    except msgspec.MsgspecError as error:
        return FinalBody(reason=f"malformed: {error}")
