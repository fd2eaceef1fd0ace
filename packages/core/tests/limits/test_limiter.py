from __future__ import annotations

import dataclasses
import random
import unittest

import hypothesis
from hypothesis import strategies

from knapweedbeam_core import clock, ids, jobs, outcomes
from knapweedbeam_core.bundles import model, signing, template
from knapweedbeam_core.entry import parts
from knapweedbeam_core.limits import limiter, meters, shares

VMS = {"d0": ["a0", "a1"], "d1": ["b0"]}
NAMES = ["a0", "a1", "b0"]
WINDOW_MS = 10_000
RUN_LIMIT_MS = 3_000
_, PUBLIC = signing.generate_key()


def build_bundle(
    version: int, sliding: int, aligned: int, tasks: int, weight: int = 1
) -> model.Bundle:
    text = template.build_bundle_text({"op": PUBLIC}, VMS)
    text = text.replace("version = 1", f"version = {version}")
    text = text.replace('name = "d1"', f'name = "d1"\nshare = {weight}')
    for unit in ("task_starts", "concurrent_tasks", "bytes"):
        text += f'[[units]]\nname = "{unit}"\ndimension = "{unit}"\n'
    text += '[[members]]\nname = "m"\n[[contracts]]\nmember = "m"\n'
    for name, amount, unit, extra in (
        ("sliding", sliding, "task_starts", "window_s = 10"),
        ("aligned", aligned, "bytes", 'window_s = 10\nalignment = "aligned"'),
        ("tasks", tasks, "concurrent_tasks", ""),
    ):
        text += f'[[contracts.limits]]\nname = "{name}"\namount = "{amount}"\n'
        text += f'unit = "{unit}"\n{extra}\n'
    bundle = model.parse_bundle(text)
    assert isinstance(bundle, model.Bundle), bundle
    return bundle


def build_job(ticket: str, sizes: list[int]) -> jobs.Job:
    tasks = tuple(jobs.TaskSpec(b"x" * size) for size in sizes)
    return jobs.Job(ticket, "m", "s", "c", 10**9, tasks)


@dataclasses.dataclass(frozen=True)
class Start:
    at_ms: int
    size: int


class LimitHistory:
    """Entry VMs that begin jobs, apply bundles at different times, and restart."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.bundles = [build_bundle(1, 30, 300, 9)]
        self.clocks = {name: clock.ManualClock() for name in NAMES}
        self.drifts = {name: self.rng.choice([0.999, 1.0, 1.001]) for name in NAMES}
        self.versions = dict.fromkeys(NAMES, 1)
        self.in_force: list[tuple[int, int]] = []
        self.limiters = {name: self.start(name, True) for name in NAMES}
        self.queued: dict[str, list[tuple[ids.TaskId, jobs.TaskSpec]]] = {}
        self.starts: list[Start] = []
        self.running: dict[ids.TaskId, tuple[str, int]] = {}
        self.expiring: list[int] = []
        self.tickets = 0

    def start(self, name: str, is_first_run: bool) -> limiter.Limiter:
        vm_limiter = limiter.Limiter(name, self.clocks[name])
        vm_limiter.is_first_run = is_first_run
        vm_limiter.apply_bundle(self.bundles[self.versions[name] - 1])
        return vm_limiter

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.run_step()
            self.advance(self.rng.choice([1, 50, 50, 300, 1_000]))
        self.check()

    def advance(self, by_ms: int) -> None:
        self.now_ms += by_ms
        for name, timer in self.clocks.items():
            timer.monotonic_ms = int(self.now_ms * self.drifts[name])
            timer.epoch_ms = self.now_ms
        self.in_force.append((self.now_ms, min(self.versions.values())))
        settled = min(self.versions.values())
        for vm_limiter in self.limiters.values():
            vm_limiter.set_oldest_version(settled)

    def run_step(self) -> None:
        for name in NAMES:
            self.submit(name)
        for _ in range(self.rng.choice([0, 4, 20])):
            self.start_one()
        for _ in range(self.rng.choice([0, 4, 20])):
            self.end_one()
        name = self.rng.choice(NAMES)
        choice = self.rng.random()
        if choice < 0.01:
            self.roll_bundle()
        elif choice < 0.06:
            self.versions[name] = len(self.bundles)
            self.limiters[name].apply_bundle(self.bundles[-1])
        elif choice < 0.08:
            self.restart(name)

    def submit(self, name: str) -> None:
        self.tickets += 1
        ticket = f"{name}.{self.tickets}"
        sizes = [self.rng.randint(1, 30) for _ in range(self.rng.randint(1, 5))]
        job = build_job(ticket, sizes)
        if isinstance(self.limiters[name].reserve(job), parts.Reserved):
            tasks = [ids.TaskId(ticket, index) for index in range(len(sizes))]
            self.queued[ticket] = list(zip(tasks, job.tasks, strict=True))

    def start_one(self) -> None:
        if not self.queued:
            return
        ticket = self.rng.choice(list(self.queued))
        name = ticket.split(".")[0]
        waiting = self.queued[ticket]
        if not waiting or self.rng.random() < 0.05:
            self.limiters[name].end_job(ticket)
            del self.queued[ticket]
            return
        task, size = waiting[-1]
        if self.limiters[name].start_task(task, size):
            waiting.pop()
            self.starts.append(Start(self.now_ms, len(size.payload)))
            self.running[task] = (name, self.now_ms)
            self.check_concurrency()

    def end_one(self) -> None:
        late = [t for t, (_, at) in self.running.items() if self.now_ms - at > 2_500]
        if not self.running or (not late and self.rng.random() < 0.5):
            return
        task = late[0] if late else self.rng.choice(list(self.running))
        name, _ = self.running.pop(task)
        lease_left_ms = self.rng.choice([0, 0, 900])
        self.limiters[name].end_task(task, 10, lease_left_ms)
        self.expiring.append(self.now_ms + lease_left_ms)

    def restart(self, name: str) -> None:
        for task in [t for t, (vm, _) in self.running.items() if vm == name]:
            del self.running[task]
            self.expiring.append(self.now_ms + RUN_LIMIT_MS)
        for ticket in [t for t in self.queued if t.startswith(name + ".")]:
            del self.queued[ticket]
        self.limiters[name] = self.start(name, False)

    def roll_bundle(self) -> None:
        amounts = (self.rng.choice([10, 30, 60]), self.rng.choice([100, 300, 900]))
        weight = self.rng.choice([0, 1, 5])
        tasks = self.rng.choice([3, 9, 24])
        self.bundles.append(
            build_bundle(len(self.bundles) + 1, *amounts, tasks, weight)
        )

    def get_total(self, since_ms: int, until_ms: int, limit_index: int) -> int:
        """Return the largest amount of a limit in force anywhere in a time span."""
        lowest = min((v for at, v in self.in_force if at >= since_ms), default=1)
        first = [v for at, v in self.in_force if at <= since_ms][-1:] or [1]
        lowest = min(lowest, first[0])
        bundles = self.bundles[lowest - 1 :]
        return max(int(b.contracts[0].limits[limit_index].amount) for b in bundles)

    def check_concurrency(self) -> None:
        self.expiring = [at for at in self.expiring if at > self.now_ms]
        count = len(self.running) + len(self.expiring)
        total = self.get_total(self.now_ms - limiter.MAX_TASK_LEASE_MS, self.now_ms, 2)
        assert count <= total, f"{count} tasks of {total}"

    def check(self) -> None:
        for last in self.starts:
            since_ms = last.at_ms - WINDOW_MS
            count = sum(since_ms < s.at_ms <= last.at_ms for s in self.starts)
            total = self.get_total(since_ms, last.at_ms, 0)
            assert count <= total, f"{count} starts of {total}"
            index = last.at_ms // WINDOW_MS
            used = [s.size for s in self.starts if s.at_ms // WINDOW_MS == index]
            total = self.get_total(index * WINDOW_MS, last.at_ms, 1)
            assert sum(used) <= total, f"{sum(used)} bytes of {total}"


SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=30
)


class LimitHistoryTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_no_limit_is_exceeded_in_any_window(self, seed: int) -> None:
        history = LimitHistory(seed)
        history.run(400)

    def test_share_that_grows_at_once_is_caught(self) -> None:
        self.check_variant_fails(
            meters.EffectiveShare, "get_amount", lambda share: share.share.amount
        )

    def test_restart_that_ignores_earlier_use_is_caught(self) -> None:
        self.check_variant_fails(
            limiter.Limiter, "may_have_earlier_use", lambda vm_limiter, window_ms: False
        )

    def test_task_that_stops_counting_before_its_lease_ends_is_caught(self) -> None:
        def end(meter: meters.ConcurrencyMeter, lease_left_ms: int) -> None:
            meter.running -= 1

        self.check_variant_fails(meters.ConcurrencyMeter, "end", end)

    def check_variant_fails(self, target: type, name: str, variant: object) -> None:
        original = getattr(target, name)
        self.addCleanup(setattr, target, name, original)
        setattr(target, name, variant)
        with self.assertRaisesRegex(AssertionError, " of "):
            for seed in range(30):
                LimitHistory(seed).run(400)


class LimiterTest(unittest.TestCase):
    def test_shares_add_up_exactly(self) -> None:
        bundle = build_bundle(1, 31, 100, 7, 3)
        for total in (0, 1, 7, 31, 10**15 + 1):
            positions = [shares.find_position(bundle, name) for name in NAMES]
            self.assertEqual(
                sum(shares.get_share_amount(p, total) for p in positions), total
            )

    def test_job_over_a_limit_is_not_run_and_others_wait(self) -> None:
        timer = clock.ManualClock()
        vm_limiter = limiter.Limiter("b0", timer)
        vm_limiter.start_first_run(build_bundle(1, 20, 10**6, 9))
        self.assertIsInstance(
            vm_limiter.reserve(build_job("t", [1] * 11)), outcomes.NotRun
        )
        self.assertEqual(vm_limiter.reserve(build_job("t", [1] * 10)), parts.Reserved())
        wait = vm_limiter.reserve(build_job("u", [1]))
        assert isinstance(wait, parts.Wait)
        vm_limiter.end_job("t")
        self.assertEqual(vm_limiter.reserve(build_job("u", [1])), parts.Reserved())
        self.assertEqual(vm_limiter.get_usage("m")[0].used, 1)
        self.assertEqual(vm_limiter.get_usage("n"), ())
