"""The interfaces between the parts of an entry VM.

Every part is built with its `Clock` and its seeded random number generator, does
no I/O, and returns effects. `Node` passes an effect that is an event for another
part to that part, and all others to the shell.
"""

from __future__ import annotations

import dataclasses
import typing

from knapweedbeam_core import effects, ids, jobs, outcomes, rules


@dataclasses.dataclass(frozen=True, slots=True)
class BundleStatus:
    """Which bundle version is in force, by process name; 0 means unknown."""

    version: int
    digest: str
    in_force: tuple[tuple[str, int], ...]
    unreachable_domains: tuple[str, ...]
    leader: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A bundle was accepted; `again` says that it had been accepted before."""

    version: int
    digest: str
    again: bool
    status: BundleStatus


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalAnswered:
    """The answer to `Control.propose`, as an effect for the shell."""

    call: int
    answer: Accepted | outcomes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Persist:
    """Append records to the data folder, sync, then call `Control.persisted`.

    `truncate_from` is the first log index to drop before the append, 0 for none;
    `snapshot` replaces everything up to `snapshot_index` when it is not empty.
    """

    batch: int
    records: tuple[bytes, ...]
    truncate_from: int = 0
    snapshot: bytes = b""
    snapshot_index: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RulesInForce:
    """A newer bundle is in force at this node; every part applies its rules."""

    rules: rules.Rules


Effect = effects.Effect | ProposalAnswered | Persist | RulesInForce
Effects = list[Effect]


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another entry VM as configured in the settings.

    `control` says that it is a control VM.
    """

    name: str
    domain: str
    control: bool = False


class Part(typing.Protocol):
    """The interface of every part of an entry VM."""

    def get_message_classes(self) -> tuple[type, ...]:
        """Return the message classes that `on_message` accepts."""

    def on_message(self, sender: ids.ProcessId, message: effects.Message) -> Effects:
        """Handle a message whose sender the link has authenticated."""

    def on_rules(self, new: rules.Rules) -> Effects:
        """Apply the rules of a newer bundle."""

    def tick(self) -> Effects:
        """Run periodic work; the shell calls this every `TICK_MS`."""


TICK_MS = 20


class Coordinator(Part, typing.Protocol):
    """Ensures that a job runs at most once: tickets, owners, witnesses, own keys."""

    def mint(self, member: str, count: int) -> tuple[str, ...] | outcomes.Refusal:
        """Mint a block of tickets that this process owns."""

    def submit(self, job: jobs.Job) -> Effects:
        """Submit a job under its ticket, which any entry VM may own.

        An `Answer` with the ticket follows, also for a refusal.
        """

    def submit_new(
        self, job: jobs.Job, key: str
    ) -> tuple[str, Effects] | outcomes.Refusal:
        """Submit a job without a ticket, under the caller's key or none.

        The returned text identifies its `Answer`: the ticket, or a handle if the
        key must be claimed first.
        """

    def look_up(self, ticket: str, member: str) -> Effects:
        """Request a job's outcome; an `Answer` follows here once it is known."""

    def cancel(self, ticket: str, member: str) -> Effects:
        """Cancel a job, whichever entry VM owns it."""

    def on_live(self, live: frozenset[ids.ProcessId]) -> Effects:
        """Handle a change of the live entry VMs of this domain, including this one."""

    def begin(self, ticket: str) -> Effects:
        """Record a job as begun; `JobBegun` or `JobAbandoned` follows."""

    def settle(self, ticket: str, outcome: outcomes.Outcome) -> Effects:
        """Record a job's outcome and answer the callers that wait for it."""

    def is_idle(self) -> bool:
        """Return whether every outcome is recorded and no caller waits for one."""

    def stop(self) -> Effects:
        """Start a graceful stop: mint no tickets and accept no jobs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """The announcement of an endpoint; while `leaving` it accepts no new tasks."""

    endpoint: str
    service: str
    address: str
    domain: str
    worker: str
    incarnation: int
    sequence: int
    slots: int
    connections: int
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLease:
    """How long an announcement is valid, and when to send the next one."""

    lease_ms: int
    next_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport:
    """The usage of one worker as measured by the platform.

    `as_of_ms` is the time of the measurement on the platform's wall clock.
    """

    worker: str
    as_of_ms: int
    cpu_millis: int
    cpu_millis_in_use: int
    memory_mib: int
    memory_mib_in_use: int


class Dispatcher(Part, typing.Protocol):
    """Membership, endpoints, slots, queueing and placement."""

    def get_live(self) -> frozenset[ids.ProcessId]:
        """Return the live entry VMs of this failure domain, this one included."""

    def enqueue(self, job: jobs.Job) -> Effects:
        """Queue a job, or end it at once as not run if it is refused."""

    def start_job(self, ticket: str) -> Effects:
        """Start the tasks of a job recorded as begun, as slots become free."""

    def abandon(self, ticket: str) -> Effects:
        """Remove a job that was not begun, without reporting an outcome."""

    def cancel(self, ticket: str) -> Effects:
        """Cancel a job and stop its running tasks; `JobEnded` follows."""

    def handle_task_end(self, end: effects.TaskEnd) -> Effects:
        """Handle the end of a task that this process started."""

    def announce(
        self, announcement: Announcement
    ) -> tuple[EndpointLease | outcomes.Refusal, Effects]:
        """Handle an endpoint's announcement, forwarding it to its keeper if needed."""

    def report_usage(self, report: UsageReport) -> Effects:
        """Handle a worker's usage report."""

    def stop(self) -> Effects:
        """Start a graceful stop: end queued jobs as not run, finish begun ones."""

    def is_idle(self) -> bool:
        """Return whether no job is left."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reserved:
    """The limits allow the entire job now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The limits don't allow the job yet; retry at `until_ms`."""

    until_ms: int


class Limiter(typing.Protocol):
    """The contract limits as checked by the dispatcher, in its units."""

    def reserve(self, job: jobs.Job) -> Reserved | Wait | outcomes.NotRun:
        """Reserve limits for an entire job before it begins, or return why not."""

    def start_task(self, task: ids.TaskId, size: jobs.TaskSpec) -> bool:
        """Acquire concurrency for one start; return False if none is free now."""

    def end_task(self, task: ids.TaskId, run_ms: int, lease_left_ms: int) -> None:
        """Release what a task held.

        The release is delayed by `lease_left_ms` if the task may still run.
        """

    def end_job(self, ticket: str) -> None:
        """Release what a job reserved and did not use."""


class NullLimiter:
    """The limits of a member that has none: allows everything."""

    def reserve(self, job: jobs.Job) -> Reserved:
        """Allow every job."""
        return Reserved()

    def start_task(self, task: ids.TaskId, size: jobs.TaskSpec) -> bool:
        """Allow every start."""
        return True

    def end_task(self, task: ids.TaskId, run_ms: int, lease_left_ms: int) -> None:
        """Do nothing: no usage is recorded."""

    def end_job(self, ticket: str) -> None:
        """Do nothing: no usage is recorded."""


class Control(Part, typing.Protocol):
    """Bundles, limits, and the replicated log if there is a data folder."""

    def propose(self, call: int, bundle: str) -> Effects:
        """Propose a signed bundle; `ProposalAnswered` with `call` follows."""

    def get_bundle(self, version: int) -> str | outcomes.Refusal:
        """Return an accepted bundle's text; version 0 means the newest."""

    def get_status(self) -> BundleStatus:
        """Return which bundles are in force, as known to this node."""

    def get_limiter(self) -> Limiter:
        """Return the limits that the dispatcher checks."""

    def persisted(self, batch: int) -> Effects:
        """Continue after the records of a `Persist` effect are synced to disk."""

    def hand_over(self) -> Effects:
        """Stop leading, as the data folder cannot be written for now."""

    def persist_failed(self) -> Effects:
        """Stop this node's replica because writing its data folder failed."""

    def is_ready(self) -> bool:
        """Return whether this node has a bundle and asked all reachable nodes."""
