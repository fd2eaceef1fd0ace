from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from control import cluster, histories
from knapweedbeam_core import ids, jobs
from knapweedbeam_core.entry import parts
from knapweedbeam_core.limits import tokens

WINDOW_MS = 240_000
DUE_MS = 20_000
SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=2,
    phases=[hypothesis.Phase.generate],
)


def build_bundle(version: int, amount: int) -> str:
    body = f"""
[[members]]
name = "m"
[[units]]
name = "start"
dimension = "task_starts"
[[contracts]]
member = "m"
[[contracts.limits]]
name = "window"
amount = "{amount}"
unit = "start"
window_s = {WINDOW_MS // 1_000}
"""
    return cluster.build_bundle(version, "", (), body)


class SharingHistory:
    """Jobs against one limit at every entry VM, under faults."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.group = cluster.Cluster(histories.DOMAINS, histories.REPLICAS, seed)
        for node in self.group.nodes.values():
            node.drift = self.rng.choice([0.9995, 1.0, 1.0005])
        self.group.run(3_000)
        self.amounts = [240]
        self.rolled_ms = [0]
        self.group.propose("a0", build_bundle(1, 240))
        self.group.run(3_000)
        self.starts: list[int] = []
        self.waiting: list[tuple[str, int, ids.TaskId, int]] = []
        self.tickets = 0

    def run(self, for_ms: int, names: tuple[str, ...], faults: bool) -> None:
        until_ms = self.group.now_ms + for_ms
        while self.group.now_ms < until_ms:
            self.group.run(200)
            for name in names:
                self.submit(name)
            self.start_some()
            if faults and self.rng.random() < 0.02:
                self.act()
        self.check()

    def submit(self, name: str) -> None:
        node = self.group.nodes[name]
        if node.control is None:
            return
        self.tickets += 1
        tasks = tuple(jobs.TaskSpec(b"") for _ in range(self.rng.randint(1, 5)))
        due_ms = node.clock.now_ms() + DUE_MS
        ticket = f"{name}.{self.tickets}"
        job = jobs.Job(ticket, "m", "s", "c", due_ms, tasks)
        if isinstance(node.control.get_limiter().reserve(job), parts.Reserved):
            for index in range(len(tasks)):
                at_ms = self.group.now_ms + self.rng.choice([0, 500, 15_000])
                task = ids.TaskId(ticket, index)
                self.waiting.append((name, node.incarnation, task, at_ms))

    def start_some(self) -> None:
        due = [item for item in self.waiting if item[3] <= self.group.now_ms]
        self.waiting = [item for item in self.waiting if item[3] > self.group.now_ms]
        for place, (name, incarnation, task, _) in enumerate(due):
            node = self.group.nodes[name]
            if node.control is None or node.incarnation != incarnation:
                continue
            held = node.control.get_limiter()
            if self.rng.random() < 0.9 and held.start_task(task, jobs.TaskSpec(b"")):
                self.starts.append(self.group.now_ms)
                held.end_task(task, 1, 0)
            left = [*due[place + 1 :], *self.waiting]
            if not any(item[2].ticket == task.ticket for item in left):
                held.end_job(task.ticket)

    def act(self) -> None:
        name = self.rng.choice(list(histories.DOMAINS))
        choice = self.rng.random()
        if choice < 0.4:
            self.group.crash(name)
            self.group.start(name)
        elif choice < 0.7:
            self.group.cut.clear()
        elif choice < 0.9:
            self.group.part({f"{name[0]}0", f"{name[0]}1"})
        else:
            self.amounts.append(self.rng.choice([120, 240, 360]))
            self.rolled_ms.append(self.group.now_ms)
            self.group.cut.clear()
            text = build_bundle(len(self.amounts), self.amounts[-1])
            self.group.propose(name, text)
            self.group.run(8_000)

    def check(self) -> None:
        for at_ms in self.starts:
            count = sum(at_ms - WINDOW_MS < other <= at_ms for other in self.starts)
            total = self.get_total(at_ms - WINDOW_MS)
            assert count <= total, f"{count} starts of {total}"

    def get_total(self, since_ms: int) -> int:
        """Return the greatest limit in force anywhere since a time."""
        first = max(n for n, at in enumerate(self.rolled_ms) if at <= max(0, since_ms))
        return max(self.amounts[first:])


class SharingTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_no_window_is_exceeded_by_shares_and_pools(self, seed: int) -> None:
        history = SharingHistory(seed)
        history.run(420_000, tuple(histories.DOMAINS), True)
        self.assertGreater(len(history.starts), 120)

    def test_one_busy_entry_vm_gets_the_pool(self) -> None:
        history = SharingHistory(1)
        history.run(120_000, ("c1",), False)
        self.assertGreater(len(history.starts), 120)
        self.assertLessEqual(len(history.starts), 140)

    def test_grants_that_end_with_their_lease_are_caught(self) -> None:
        kept = tokens.get_lease_ms
        self.addCleanup(setattr, tokens, "get_lease_ms", kept)
        tokens.get_lease_ms = lambda window_ms: kept(window_ms) - WINDOW_MS
        with self.assertRaisesRegex(AssertionError, " of "):
            history = SharingHistory(2)
            for allowance in self.get_allowances(history):
                allowance.lease_ms = kept(WINDOW_MS)
            history.run(200_000, ("c1",), False)

    def get_allowances(self, history: SharingHistory) -> list[tokens.TokenAllowance]:
        limiters = [n.control.get_limiter() for n in history.group.nodes.values()]
        return [
            allowance for held in limiters for _, _, allowance in held.get_allowances()
        ]
