"""Limiter that checks contract limits before a job begins or a task starts."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, ids, jobs, outcomes, reasons
from knapweedbeam_core.bundles import model
from knapweedbeam_core.entry import parts
from knapweedbeam_core.limits import meters, shares, tokens, windows

RESERVED = parts.Reserved()
MAX_TASK_LEASE_MS = 60_000


@dataclasses.dataclass(slots=True)
class MemberMeters:
    """One member's limits at this entry VM."""

    windowed: dict[shares.LimitKey, meters.Meter]
    concurrency: dict[shares.LimitKey, meters.ConcurrencyMeter]


@dataclasses.dataclass(slots=True)
class Hold:
    """Amount that a job has reserved on one meter, from its share and its tokens.

    `unused` is the part of the share that the job's tasks have not consumed yet.
    """

    meter: meters.Meter
    dimension: model.Dimension
    unused: int
    token_reservations: list[tokens.TokenReservation]

    def has_expired_tokens(self, now_ms: int) -> bool:
        """Return whether the lease of a token with a reserved amount has expired."""
        return any(
            p.amount and p.token.expires_ms <= now_ms for p in self.token_reservations
        )

    def consume(self, amount: int) -> SlotTimeCharge:
        """Turn a reserved amount into a used one, from the share first."""
        own = min(self.unused, amount)
        self.unused -= own
        bucket = self.meter.consume_reserved(own)
        rest = amount - own
        for part in self.token_reservations:
            used = min(rest, part.amount)
            part.amount -= used
            part.token.used += used
            rest -= used
        return SlotTimeCharge(self.meter, bucket, amount, own)

    def release(self) -> None:
        """Release the unused part of the reservation."""
        self.meter.reserved -= self.unused
        for part in self.token_reservations:
            part.token.available += part.amount


@dataclasses.dataclass(slots=True)
class JobReservation:
    """What a job has reserved; `run_ms` stands in where a task declares none."""

    holds: list[Hold]
    concurrency: tuple[meters.ConcurrencyMeter, ...]
    run_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotTimeCharge:
    """Slot time charged when a task starts and corrected when it ends.

    `own` is the part of `amount` that was charged to this entry VM's share.
    """

    meter: meters.Meter
    bucket: windows.Bucket
    amount: int
    own: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartedTask:
    """Slot time and concurrency that a started task has been charged."""

    slot_charges: tuple[SlotTimeCharge, ...]
    concurrency: tuple[meters.ConcurrencyMeter, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LimitUsage:
    """Usage of one of a member's limits at this entry VM.

    `leased` is the unreserved amount of its current token leases, which it may
    use in addition to `share`.
    """

    limit: str
    dimension: str
    total: int
    share: int
    used: int
    window_ms: int
    leased: int = 0


def get_task_amount(
    dimension: model.Dimension, task: jobs.TaskSpec, run_ms: int
) -> int:
    """Return the amount that one task uses of a limit, in the limit's dimension."""
    if dimension == model.Dimension.TASK_STARTS:
        return 1
    if dimension == model.Dimension.BYTES:
        return len(task.payload)
    return task.run_ms or run_ms


class Limiter:
    """Charges whole jobs against this entry VM's shares of the limits."""

    def __init__(self, vm: str, timer: clock.Clock) -> None:
        self.vm = vm
        self.clock = timer
        self.version = 0
        self.started_ms = timer.now_ms()
        self.is_first_run = False
        self.has_unmet_demand = False
        self.meters_by_member: dict[str, MemberMeters] = {}
        self.run_ms: dict[str, int] = {}
        self.reservations: dict[str, JobReservation] = {}
        self.running: dict[ids.TaskId, StartedTask] = {}

    def apply_bundle(self, bundle: model.Bundle) -> None:
        """Apply the shares of a newer bundle and carry over current usage."""
        old = self.meters_by_member
        self.version = bundle.version
        self.run_ms = {service.name: service.run_ms for service in bundle.services}
        self.meters_by_member = {
            member: self.build_member_meters(
                old.get(member), member_shares, bundle.version
            )
            for member, member_shares in shares.get_shares(bundle, self.vm).items()
        }

    def build_member_meters(
        self,
        old: MemberMeters | None,
        member_shares: tuple[shares.Share, ...],
        version: int,
    ) -> MemberMeters:
        """Return a member's meters, with the usage of its old ones carried over."""
        member_meters = MemberMeters({}, {})
        for share in member_shares:
            if share.key.dimension == model.Dimension.CONCURRENT_TASKS:
                member_meters.concurrency[share.key] = self.build_concurrency(
                    old, share, version
                )
            else:
                member_meters.windowed[share.key] = self.build_meter(
                    old, share, version
                )
        return member_meters

    def build_meter(
        self, old: MemberMeters | None, share: shares.Share, version: int
    ) -> meters.Meter:
        """Return the meter of a limit, the old one where there is one.

        A new meter starts with the highest usage of old limits of the dimension, or
        exhausted if an earlier run may have used the share within the window.
        """
        current = old.windowed.get(share.key) if old else None
        if current is not None:
            current.apply_share(share, version)
            return current
        meter = meters.Meter(share, self.clock)
        used = [
            other.window.get_used()
            for key, other in (old.windowed.items() if old else ())
            if key.dimension == share.key.dimension
        ]
        if used:
            meter.window.charge(max(used))
        elif self.may_have_earlier_use(share.key.window_ms):
            meter.exhaust()
        return meter

    def build_concurrency(
        self, old: MemberMeters | None, share: shares.Share, version: int
    ) -> meters.ConcurrencyMeter:
        """Return the meter of concurrent tasks, the old one where there is one.

        A new meter starts exhausted if tasks of an earlier run may still run.
        """
        current = old.concurrency.get(share.key) if old else None
        if current is not None:
            current.effective_share.apply_share(share, version)
            return current
        meter = meters.ConcurrencyMeter(share, self.clock)
        if self.may_have_earlier_use(MAX_TASK_LEASE_MS):
            meter.exhaust(MAX_TASK_LEASE_MS)
        return meter

    def may_have_earlier_use(self, window_ms: int) -> bool:
        """Return whether usage of an earlier run may still count in a window."""
        since_ms = self.clock.now_ms() - self.started_ms
        return not self.is_first_run and since_ms < windows.add_drift(window_ms)

    def start_first_run(self, bundle: model.Bundle) -> None:
        """Use the full shares at once, as no earlier run of this entry VM had any."""
        self.is_first_run = True
        self.meters_by_member = {}
        self.apply_bundle(bundle)

    def set_oldest_version(self, oldest_version: int) -> None:
        """Set the oldest bundle version in force anywhere, so that shares may grow."""
        for member_meters in self.meters_by_member.values():
            for key, meter in member_meters.windowed.items():
                meter.effective_share.set_oldest_version(oldest_version, key.window_ms)
            for counter in member_meters.concurrency.values():
                counter.effective_share.set_oldest_version(
                    oldest_version, MAX_TASK_LEASE_MS
                )

    def get_allowances(self) -> list[tuple[str, str, tokens.TokenAllowance]]:
        """Return (member, limit name, allowance) of limits with a pool or tokens."""
        return [
            (member, key.name, meter.allowance)
            for member, member_meters in self.meters_by_member.items()
            for key, meter in member_meters.windowed.items()
            if meter.allowance.pool or meter.allowance.tokens
        ]

    def reserve(self, job: jobs.Job) -> parts.Reserved | parts.Wait | outcomes.NotRun:
        """Reserve a whole job before it begins, or return why not."""
        member_meters = self.meters_by_member.get(job.member)
        if member_meters is None:
            return RESERVED
        run_ms = self.run_ms.get(job.service, 0)
        needs = []
        retry_at_ms = 0
        for key, meter in member_meters.windowed.items():
            need = sum(
                get_task_amount(key.dimension, task, run_ms) for task in job.tasks
            )
            share = meter.effective_share.share
            if need > share.amount + share.pool:
                return outcomes.NotRun(reasons.Reason.LIMIT)
            retry_at_ms = max(retry_at_ms, meter.get_retry_at_ms(need, job.due_ms))
            needs.append((key, meter, need))
        counters = tuple(member_meters.concurrency.values())
        if any(counter.effective_share.share.amount < 1 for counter in counters):
            return outcomes.NotRun(reasons.Reason.LIMIT)
        if retry_at_ms:
            self.has_unmet_demand = True
            return self.build_wait(job, retry_at_ms)
        holds = [
            reserve_amount(key, meter, need, job.due_ms) for key, meter, need in needs
        ]
        self.reservations[job.ticket] = JobReservation(holds, counters, run_ms)
        return RESERVED

    def build_wait(self, job: jobs.Job, until_ms: int) -> parts.Wait | outcomes.NotRun:
        """Let a job wait if its deadline allows it."""
        if until_ms < job.due_ms:
            return parts.Wait(until_ms)
        retry_ms = until_ms - self.clock.now_ms()
        return outcomes.NotRun(reasons.Reason.LIMIT, retry_ms)

    def start_task(self, task: ids.TaskId, size: jobs.TaskSpec) -> bool:
        """Charge a task's start against its job's reservation.

        Return false if the concurrency limit is reached or a token that the job
        reserved from has expired.
        """
        reservation = self.reservations.get(task.ticket)
        if reservation is None:
            return True
        now_ms = self.clock.now_ms()
        if any(hold.has_expired_tokens(now_ms) for hold in reservation.holds):
            return False
        for index, counter in enumerate(reservation.concurrency):
            if not counter.start():
                for earlier in reservation.concurrency[:index]:
                    earlier.end(0)
                return False
        charges = []
        for hold in reservation.holds:
            amount = get_task_amount(hold.dimension, size, reservation.run_ms)
            charge = hold.consume(amount)
            if hold.dimension == model.Dimension.SLOT_MS:
                charges.append(charge)
        if charges or reservation.concurrency:
            self.running[task] = StartedTask(tuple(charges), reservation.concurrency)
        return True

    def end_task(self, task: ids.TaskId, run_ms: int, lease_left_ms: int) -> None:
        """Correct a task's slot time and release its concurrency.

        A task that may still be running counts until `lease_left_ms` has passed.
        """
        running = self.running.pop(task, None)
        if running is None:
            return
        for charge in running.slot_charges:
            excess_ms = run_ms + max(0, lease_left_ms) - charge.amount
            if excess_ms > 0:
                charge.meter.window.charge(excess_ms)
            else:
                charge.bucket.amount -= min(-excess_ms, charge.own)
        for counter in running.concurrency:
            counter.end(lease_left_ms)

    def end_job(self, ticket: str) -> None:
        """Release the unused part of a job's reservation."""
        reservation = self.reservations.pop(ticket, None)
        if reservation is None:
            return
        for hold in reservation.holds:
            hold.release()

    def get_usage(self, member: str) -> tuple[LimitUsage, ...]:
        """Return a member's limits and what it used of them here."""
        member_meters = self.meters_by_member.get(member)
        if member_meters is None:
            return ()
        return tuple(
            build_usage(
                key,
                meter.effective_share,
                meter.get_used(),
                meter.allowance.get_available(0),
            )
            for key, meter in member_meters.windowed.items()
        ) + tuple(
            build_usage(key, counter.effective_share, counter.get_used())
            for key, counter in member_meters.concurrency.items()
        )


def reserve_amount(
    key: shares.LimitKey, meter: meters.Meter, need: int, due_ms: int
) -> Hold:
    """Reserve an available amount, from the share first and then from tokens."""
    own = min(need, meter.get_available())
    meter.reserved += own
    return Hold(
        meter,
        key.dimension,
        own,
        meter.allowance.reserve_tokens(need - own, due_ms),
    )


def build_usage(
    key: shares.LimitKey,
    effective_share: meters.EffectiveShare,
    used: int,
    leased: int = 0,
) -> LimitUsage:
    """Return the usage of one limit."""
    return LimitUsage(
        key.name,
        key.dimension.value,
        effective_share.share.total,
        effective_share.get_amount(),
        used,
        key.window_ms,
        leased,
    )
