"""The gate that dispatch asks before it begins a job or starts a task."""

from __future__ import annotations

import dataclasses

from knapweedbeam_core import clock, ids, jobs, outcomes, reasons
from knapweedbeam_core.bundles import model
from knapweedbeam_core.entry import parts
from knapweedbeam_core.limits import meters, shares, tokens, windows

RESERVED = parts.Reserved()
MAX_TASK_LEASE_MS = 60_000


@dataclasses.dataclass(slots=True)
class Account:
    """One member's limits at this entry VM."""

    windowed: dict[shares.LimitKey, meters.Meter]
    concurrency: dict[shares.LimitKey, meters.ConcurrencyMeter]


@dataclasses.dataclass(slots=True)
class Hold:
    """What a job has reserved of one meter: of the share, and of tokens."""

    meter: meters.Meter
    dimension: model.Dimension
    left: int
    parts: list[tokens.TokenReservation]

    def is_lapsed(self, now_ms: int) -> bool:
        """Say whether tokens that this job relies on may be used no more."""
        return any(p.amount and p.token.until_ms <= now_ms for p in self.parts)

    def start(self, amount: int) -> SlotCharge:
        """Use an amount, of the share first."""
        own = min(self.left, amount)
        self.left -= own
        bucket = self.meter.start(own)
        rest = amount - own
        for part in self.parts:
            used = min(rest, part.amount)
            part.amount -= used
            part.token.used += used
            rest -= used
        return SlotCharge(self.meter, bucket, amount, own)

    def give_back(self) -> None:
        """Give back what was not used."""
        self.meter.reserved -= self.left
        for part in self.parts:
            part.token.left += part.amount


@dataclasses.dataclass(slots=True)
class Reservation:
    """What a job has reserved; `run_ms` stands in where a task declares none."""

    holds: list[Hold]
    concurrency: tuple[meters.ConcurrencyMeter, ...]
    run_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotCharge:
    """Slot time charged at a task's start, to be set right at its end.

    Of `amount`, `own` was charged to this entry VM's share.
    """

    meter: meters.Meter
    bucket: windows.Bucket
    amount: int
    own: int


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """What a started task holds."""

    slot_charges: tuple[SlotCharge, ...]
    concurrency: tuple[meters.ConcurrencyMeter, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LimitUsage:
    """One limit of a member as this entry VM sees it.

    Beside `share`, it may use what is left of its leases now: `leased`.
    """

    limit: str
    dimension: str
    total: int
    share: int
    used: int
    window_ms: int
    leased: int = 0


def get_size(dimension: model.Dimension, task: jobs.TaskSpec, run_ms: int) -> int:
    """Return what one task takes of a limit."""
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
        self.meters_by_member: dict[str, Account] = {}
        self.run_ms: dict[str, int] = {}
        self.reservations: dict[str, Reservation] = {}
        self.running: dict[ids.TaskId, Running] = {}

    def apply_bundle(self, bundle: model.Bundle) -> None:
        """Take the shares of a newer bundle; what was used stays used."""
        old = self.meters_by_member
        self.version = bundle.version
        self.run_ms = {service.name: service.run_ms for service in bundle.services}
        self.meters_by_member = {
            member: self.build_account(old.get(member), own, bundle.version)
            for member, own in shares.get_shares(bundle, self.vm).items()
        }

    def build_account(
        self, old: Account | None, own: tuple[shares.Share, ...], version: int
    ) -> Account:
        """Return a member's account, with the old one's use carried over."""
        account = Account({}, {})
        for share in own:
            if share.key.dimension == model.Dimension.CONCURRENT_TASKS:
                account.concurrency[share.key] = self.build_concurrency(
                    old, share, version
                )
            else:
                account.windowed[share.key] = self.build_meter(old, share, version)
        return account

    def build_meter(
        self, old: Account | None, share: shares.Share, version: int
    ) -> meters.Meter:
        """Return the meter of a limit, the old one where there is one."""
        known = old.windowed.get(share.key) if old else None
        if known is not None:
            known.change(share, version)
            return known
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
        self, old: Account | None, share: shares.Share, version: int
    ) -> meters.ConcurrencyMeter:
        """Return the meter of concurrent tasks, the old one where there is one."""
        known = old.concurrency.get(share.key) if old else None
        if known is not None:
            known.holder.change(share, version)
            return known
        meter = meters.ConcurrencyMeter(share, self.clock)
        if self.may_have_earlier_use(MAX_TASK_LEASE_MS):
            meter.exhaust(MAX_TASK_LEASE_MS)
        return meter

    def may_have_earlier_use(self, window_ms: int) -> bool:
        """Say whether an earlier run's use may still be in a window."""
        since_ms = self.clock.now_ms() - self.started_ms
        return not self.is_first_run and since_ms < windows.add_drift(window_ms)

    def start_first_run(self, bundle: model.Bundle) -> None:
        """Use the whole shares: no earlier run of this entry VM had any."""
        self.is_first_run = True
        self.meters_by_member = {}
        self.apply_bundle(bundle)

    def set_oldest_version(self, settled: int) -> None:
        """Learn the oldest version in force anywhere; shares may grow now."""
        for account in self.meters_by_member.values():
            for key, meter in account.windowed.items():
                meter.holder.set_oldest_version(settled, key.window_ms)
            for counter in account.concurrency.values():
                counter.holder.set_oldest_version(settled, MAX_TASK_LEASE_MS)

    def get_allowances(self) -> list[tuple[str, str, tokens.TokenAllowance]]:
        """Return the wallets in use, by member and limit."""
        return [
            (member, key.name, meter.allowance)
            for member, account in self.meters_by_member.items()
            for key, meter in account.windowed.items()
            if meter.allowance.pool or meter.allowance.tokens
        ]

    def reserve(self, job: jobs.Job) -> parts.Reserved | parts.Wait | outcomes.NotRun:
        """Charge a whole job before it begins, or say why not."""
        account = self.meters_by_member.get(job.member)
        if account is None:
            return RESERVED
        run_ms = self.run_ms.get(job.service, 0)
        needs = []
        wait_ms = 0
        for key, meter in account.windowed.items():
            need = sum(get_size(key.dimension, task, run_ms) for task in job.tasks)
            share = meter.holder.share
            if need > share.amount + share.pool:
                return outcomes.NotRun(reasons.Reason.LIMIT)
            wait_ms = max(wait_ms, meter.find_wait_ms(need, job.due_ms))
            needs.append((key, meter, need))
        counters = tuple(account.concurrency.values())
        if any(counter.holder.share.amount < 1 for counter in counters):
            return outcomes.NotRun(reasons.Reason.LIMIT)
        if wait_ms:
            self.has_unmet_demand = True
            return self.build_wait(job, wait_ms)
        holds = [build_hold(key, meter, need, job.due_ms) for key, meter, need in needs]
        self.reservations[job.ticket] = Reservation(holds, counters, run_ms)
        return RESERVED

    def build_wait(self, job: jobs.Job, until_ms: int) -> parts.Wait | outcomes.NotRun:
        """Let a job wait if its deadline allows it."""
        if until_ms < job.due_ms:
            return parts.Wait(until_ms)
        retry_ms = until_ms - self.clock.now_ms()
        return outcomes.NotRun(reasons.Reason.LIMIT, retry_ms)

    def start_task(self, task: ids.TaskId, size: jobs.TaskSpec) -> bool:
        """Charge one start; false when concurrency does not allow it now."""
        reservation = self.reservations.get(task.ticket)
        if reservation is None:
            return True
        now_ms = self.clock.now_ms()
        if any(hold.is_lapsed(now_ms) for hold in reservation.holds):
            return False
        for place, counter in enumerate(reservation.concurrency):
            if not counter.start():
                for earlier in reservation.concurrency[:place]:
                    earlier.end(0)
                return False
        charges = []
        for hold in reservation.holds:
            amount = get_size(hold.dimension, size, reservation.run_ms)
            charge = hold.start(amount)
            if hold.dimension == model.Dimension.SLOT_MS:
                charges.append(charge)
        if charges or reservation.concurrency:
            self.running[task] = Running(tuple(charges), reservation.concurrency)
        return True

    def end_task(self, task: ids.TaskId, run_ms: int, lease_left_ms: int) -> None:
        """Give back what a task held, after `lease_left_ms` where it may run on."""
        running = self.running.pop(task, None)
        if running is None:
            return
        for charge in running.slot_charges:
            over = run_ms + max(0, lease_left_ms) - charge.amount
            if over > 0:
                charge.meter.window.charge(over)
            else:
                charge.bucket.amount -= min(-over, charge.own)
        for counter in running.concurrency:
            counter.end(lease_left_ms)

    def end_job(self, ticket: str) -> None:
        """Give back what a job reserved and never used."""
        reservation = self.reservations.pop(ticket, None)
        if reservation is None:
            return
        for hold in reservation.holds:
            hold.give_back()

    def get_usage(self, member: str) -> tuple[LimitUsage, ...]:
        """Return a member's limits and what it used of them here."""
        account = self.meters_by_member.get(member)
        if account is None:
            return ()
        return tuple(
            build_use(key, meter.holder, meter.get_used(), meter.allowance.get_left(0))
            for key, meter in account.windowed.items()
        ) + tuple(
            build_use(key, counter.holder, counter.get_used())
            for key, counter in account.concurrency.items()
        )


def build_hold(
    key: shares.LimitKey, meter: meters.Meter, need: int, due_ms: int
) -> Hold:
    """Reserve what is there, of the share first."""
    own = min(need, meter.get_left())
    meter.reserved += own
    return Hold(meter, key.dimension, own, meter.allowance.take(need - own, due_ms))


def build_use(
    key: shares.LimitKey, holder: meters.ShareHolder, used: int, leased: int = 0
) -> LimitUsage:
    """Return the use of one limit."""
    return LimitUsage(
        key.name,
        key.dimension.value,
        holder.share.total,
        holder.get_amount(),
        used,
        key.window_ms,
        leased,
    )
