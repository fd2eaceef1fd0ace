"""What the parts of an entry VM promise each other.

Every part gets its `Clock` and its seeded random numbers when it is built, does
no I/O, and returns effects. `Node` hands an effect that is an event of another
part to that part, and all others to the shell.
"""

from __future__ import annotations

import dataclasses
import typing

from knapweedbeam_core import effects, ids, jobs, outcomes, rules


@dataclasses.dataclass(frozen=True, slots=True)
class BundleStatus:
    """What is in force where, by process name; version 0 means not known."""

    version: int
    digest: str
    in_force: tuple[tuple[str, int], ...]
    unreachable_domains: tuple[str, ...]
    leader: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A bundle is accepted; `again` says that it was before."""

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
    """A newer bundle is in force at this node: every part gets its rules."""

    rules: rules.Rules


Effect = effects.Effect | ProposalAnswered | Persist | RulesInForce
Effects = list[Effect]


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another entry VM as the settings name it."""

    name: str
    domain: str
    control: bool = False


class Part(typing.Protocol):
    """What every part of an entry VM can do."""

    def get_message_classes(self) -> tuple[type, ...]:
        """Return the message classes that `on_message` takes."""

    def on_message(self, sender: ids.ProcessId, message: effects.Message) -> Effects:
        """Take a message; the link has authenticated its sender."""

    def on_rules(self, new: rules.Rules) -> Effects:
        """Obey a newer bundle from now on."""

    def tick(self) -> Effects:
        """Do what is due; the shell calls this every `TICK_MS`."""


TICK_MS = 20


class Coordinator(Part, typing.Protocol):
    """At most once: tickets, owners, witnesses and own keys."""

    def mint(self, member: str, count: int) -> tuple[str, ...] | outcomes.Refusal:
        """Mint a block of tickets, owned here."""

    def submit(self, job: jobs.Job) -> Effects:
        """Take a submission under its ticket, which may be owned anywhere.

        An `Answer` with the ticket follows, for a refusal too.
        """

    def submit_new(
        self, job: jobs.Job, key: str
    ) -> tuple[str, Effects] | outcomes.Refusal:
        """Take a submission without a ticket, under the caller's key or none.

        The text returned is what its `Answer` will carry: the ticket, or a
        handle where the key must be claimed first.
        """

    def look_up(self, ticket: str, member: str) -> Effects:
        """Ask for a job's outcome; `Answer` follows here once it is known."""

    def cancel(self, ticket: str, member: str) -> Effects:
        """Cancel a job wherever it is owned."""

    def on_live(self, live: frozenset[ids.ProcessId]) -> Effects:
        """Take the live entry VMs of this failure domain, this one included."""

    def begin(self, ticket: str) -> Effects:
        """Have a job recorded as begun; `JobBegun` or `JobAbandoned` follows."""

    def settle(self, ticket: str, outcome: outcomes.Outcome) -> Effects:
        """Keep a job's outcome and answer those who wait."""

    def is_idle(self) -> bool:
        """Say whether every outcome is recorded and nobody waits for another."""

    def stop(self) -> Effects:
        """Start a graceful stop: mint and take nothing more."""


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an endpoint says of itself; `leaving` takes no new work."""

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
    """How long an announcement holds, and when to send the next one."""

    lease_ms: int
    next_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport:
    """What the platform saw of one worker at `as_of_ms`, its wall clock."""

    worker: str
    as_of_ms: int
    cpu_millis: int
    cpu_millis_in_use: int
    memory_mib: int
    memory_mib_in_use: int


class Dispatcher(Part, typing.Protocol):
    """Membership, endpoints, slots, queue and placement."""

    def get_live(self) -> frozenset[ids.ProcessId]:
        """Return the live entry VMs of this failure domain, this one included."""

    def enqueue(self, job: jobs.Job) -> Effects:
        """Queue a job, or end it at once as not run."""

    def start_job(self, ticket: str) -> Effects:
        """Start a job's tasks as slots allow; it is recorded as begun."""

    def abandon(self, ticket: str) -> Effects:
        """Drop a job that was not begun."""

    def cancel(self, ticket: str) -> Effects:
        """Stop what is left of a job; `JobEnded` follows."""

    def handle_task_end(self, end: effects.TaskEnd) -> Effects:
        """Take the end of a task started here."""

    def announce(
        self, announcement: Announcement
    ) -> tuple[EndpointLease | outcomes.Refusal, Effects]:
        """Take an endpoint's announcement, whoever keeps it."""

    def report_usage(self, report: UsageReport) -> Effects:
        """Take a worker's usage."""

    def stop(self) -> Effects:
        """Start a graceful stop: end queued jobs as not run, keep begun ones."""

    def is_idle(self) -> bool:
        """Say whether no job is left."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reserved:
    """The limits allow the whole job now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The limits do not allow the job yet; ask again at `until_ms`."""

    until_ms: int


class Limiter(typing.Protocol):
    """The contract limits on the dispatch path, in units the dispatcher has."""

    def reserve(self, job: jobs.Job) -> Reserved | Wait | outcomes.NotRun:
        """Charge a whole job before it begins, or say why not."""

    def start_task(self, task: ids.TaskId, size: jobs.TaskSpec) -> bool:
        """Charge one start; false when concurrency does not allow it now."""

    def end_task(self, task: ids.TaskId, run_ms: int, lease_left_ms: int) -> None:
        """Give back what a task held, after `lease_left_ms` where it may run on."""

    def end_job(self, ticket: str) -> None:
        """Give back what a job reserved and never used."""


class NullLimiter:
    """Allows everything: the limiter of a member without limits."""

    def reserve(self, job: jobs.Job) -> Reserved:
        """Allow every job."""
        return Reserved()

    def start_task(self, task: ids.TaskId, size: jobs.TaskSpec) -> bool:
        """Allow every start."""
        return True

    def end_task(self, task: ids.TaskId, run_ms: int, lease_left_ms: int) -> None:
        """Keep no account."""

    def end_job(self, ticket: str) -> None:
        """Keep no account."""


class Control(Part, typing.Protocol):
    """Bundles, the replicated log where there is a data folder, and limits."""

    def propose(self, call: int, bundle: str) -> Effects:
        """Roll a signed bundle; `ProposalAnswered` follows with `call`."""

    def get_bundle(self, version: int) -> str | outcomes.Refusal:
        """Return an accepted bundle's text; version 0 asks for the newest."""

    def get_status(self) -> BundleStatus:
        """Return what this node knows of bundles in force."""

    def get_limiter(self) -> Limiter:
        """Return the limits as the dispatcher meets them."""

    def persisted(self, batch: int) -> Effects:
        """Go on after a `Persist` that is synced."""

    def persist_failed(self) -> Effects:
        """Stop this node's replica: its data folder failed."""

    def is_ready(self) -> bool:
        """Say whether this node asked all it can reach and holds a bundle."""
