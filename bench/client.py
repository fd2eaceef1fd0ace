"""An open-loop client: sends a trace's jobs at their times, come what may.

Latency counts from the intended time. A job whose connection is lost is sent
again through another entry VM under the same ticket; some jobs are also sent
twice on purpose.
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


# These say that the process which minted the ticket cannot use it any more.
TICKET_REASONS = frozenset(
    {reasons.Reason.WITNESS_LOST, reasons.Reason.SEALED, reasons.Reason.STOPPING}
)


class TaskAnswer(msgspec.Struct):
    """A task's answer, as the fake endpoints give it."""

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
    """What became of a job; `response_ms` counts from the intended time.

    An empty `outcome` says that the client gave up. `entry` gave the answer,
    `owner` minted the ticket.
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
    """How the client behaves."""

    service: str = ""
    deadline_ms: int = 30_000
    resend_share: float = 0.0
    declare: collections.abc.Callable[[trace.TraceJob, float], TaskSizes] | None = None
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSizes:
    """What a client says of one task, and what the task really uses."""

    cpu_millis: int = 0
    memory_mib: int = 0
    run_ms: int = 0
    used_cpu_millis: int = 0
    used_memory_mib: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class JobEnd:
    """A final answer, the entry VM that gave it and when; or that none came."""

    final: FinalBody
    entry: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OpenJob:
    """A job that has no final answer yet."""

    job: trace.TraceJob
    ticket: str
    entry: str


class Client:
    """Sends jobs of all members to the entry VMs that are in `entries`."""

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
        """Send nothing more to an entry VM, as the platform's balancer does."""
        if name in self.entries and len(self.entries) > 1:
            self.entries.remove(name)

    def add_entry(self, name: str) -> None:
        """Send jobs to an entry VM again."""
        if name not in self.entries:
            self.entries.append(name)

    def prepare(self) -> None:
        """Mint a first block of every member at every entry VM."""
        pairs = [(e, m) for e in self.entries for m in self.tokens]
        gevent.joinall([gevent.spawn(self.mint, e, m) for e, m in pairs])

    def run(self, jobs: collections.abc.Sequence[trace.TraceJob]) -> list[JobResult]:
        """Send every job at its time and wait for all answers."""
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
        """Return an entry VM and a ticket minted there, or none."""
        order = self.rng.sample(self.entries, len(self.entries))
        for entry in order:
            spare = self.tickets.get((entry, member))
            if spare is None or len(spare) < MIN_SPARE_TICKETS:
                gevent.spawn(self.mint, entry, member)
            if spare:
                return entry, spare.popleft()
        return None

    def wait_for_ticket(self, member: str) -> tuple[str, str] | None:
        """Return a ticket as soon as there is one, or none after some tries."""
        for _ in range(TICKET_ATTEMPTS):
            minted = self.pop_ticket(member)
            if minted is not None:
                return minted
            gevent.sleep(RETRY_INTERVAL_S)
        return None

    def run_job(self, job: trace.TraceJob) -> None:
        """See one job through, under a new ticket where its own is no good.

        Not run is a promise, so that a new ticket starts nothing twice.
        """
        entry = ""
        ended = JobEnd(FinalBody(reason="no ticket"), entry, self.clock.now_ms())
        for _ in range(MAX_TICKETS_PER_JOB):
            minted = self.wait_for_ticket(job.member)
            if minted is None:
                break
            entry, ticket = minted
            self.open_jobs[job.number] = OpenJob(job, ticket, entry)
            ended = self.send_under_ticket(job, ticket, entry)
            del self.open_jobs[job.number]
            if not is_ticket_unusable(ended.final):
                break
            self.tickets.pop((entry, job.member), None)
        self.add_result(job, ended, entry)

    def send_under_ticket(self, job: trace.TraceJob, ticket: str, entry: str) -> JobEnd:
        """Send a job, and a second time elsewhere where that is due."""
        body = self.build_body(job)
        resend = None
        if self.rng.random() < self.options.resend_share:
            other = self.pick_other_entry(entry)
            resend = gevent.spawn(self.send, job, ticket, other, body)
        ended = self.send(job, ticket, entry, body)
        if resend is not None:
            resend.join()
        return ended

    def add_result(self, job: trace.TraceJob, ended: JobEnd, owner: str) -> None:
        """Keep a job's result, with the way back to the client."""
        end_ms = ended.at_ms + self.plan.client_delay_ms
        response_ms = end_ms - self.started_ms - job.at_ms
        self.results.append(
            JobResult(
                number=job.number,
                job_class=job.job_class,
                member=job.member,
                tasks=len(job.work_ms),
                at_ms=job.at_ms,
                response_ms=response_ms,
                outcome=ended.final.outcome,
                reason=ended.final.reason,
                entry=ended.entry,
                owner=owner,
            )
        )

    def pick_other_entry(self, entry: str) -> str:
        """Return another entry VM than this one, where there is one."""
        others = [name for name in self.entries if name != entry]
        return self.rng.choice(others) if others else entry

    def build_body(self, job: trace.TraceJob) -> bytes:
        """Return a job's body."""
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
        """Send a job until it has a final answer."""
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
        """Send a job once, with the delay of the way there and back."""
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
        """Cancel a job; its own call gets the outcome."""
        token = self.tokens[open_job.job.member]
        path = f"/v1/jobs/{open_job.ticket}"
        self.callers[open_job.entry].call("DELETE", path, token=token)

    def wait_one_way_delay(self) -> None:
        """Wait for the one way to the entry VM; the way back is added later."""
        if self.plan.client_delay_ms:
            gevent.sleep(self.plan.client_delay_ms / clock.SECOND_MS)

    def record_answer(self, job: trace.TraceJob, ticket: str, final: FinalBody) -> None:
        """Write a final answer down, with the answers of other requests in it."""
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
    """Say whether the job was not run only because of its ticket."""
    not_run = final.outcome == history.OutcomeKind.NOT_RUN
    return not_run and final.reason in TICKET_REASONS


def read_final(answer: calls.Reply) -> FinalBody:
    """Return an answer's body; one that is no such JSON has no outcome."""
    try:
        return msgspec.json.decode(answer.body, type=FinalBody)
    except msgspec.MsgspecError as error:
        return FinalBody(reason=f"malformed: {error}")
