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


class LimitSharingHistory:
    """Jobs against one limit at every entry VM, optionally under faults."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.simulation = cluster.Cluster(histories.DOMAINS, histories.REPLICAS, seed)
        for node in self.simulation.nodes.values():
            node.drift = self.rng.choice([0.9995, 1.0, 1.0005])
        self.simulation.run(3_000)
        self.limit_amounts = [240]
        self.proposed_ms = [0]
        self.simulation.propose("a0", build_bundle(1, 240))
        self.simulation.run(3_000)
        self.starts: list[int] = []
        self.pending_tasks: list[tuple[str, int, ids.TaskId, int]] = []
        self.ticket_count = 0

    def run(self, for_ms: int, names: tuple[str, ...], faults: bool) -> None:
        until_ms = self.simulation.now_ms + for_ms
        while self.simulation.now_ms < until_ms:
            self.simulation.run(200)
            for name in names:
                self.submit(name)
            self.start_due_tasks()
            if faults and self.rng.random() < 0.02:
                self.apply_random_action()
        self.check()

    def submit(self, name: str) -> None:
        node = self.simulation.nodes[name]
        if node.control is None:
            return
        self.ticket_count += 1
        tasks = tuple(jobs.TaskSpec(b"") for _ in range(self.rng.randint(1, 5)))
        due_ms = node.clock.now_ms() + DUE_MS
        ticket = f"{name}.{self.ticket_count}"
        job = jobs.Job(ticket, "m", "s", "c", due_ms, tasks)
        if isinstance(node.control.get_limiter().reserve(job), parts.Reserved):
            for index in range(len(tasks)):
                at_ms = self.simulation.now_ms + self.rng.choice([0, 500, 15_000])
                task = ids.TaskId(ticket, index)
                self.pending_tasks.append((name, node.incarnation, task, at_ms))

    def start_due_tasks(self) -> None:
        due = [item for item in self.pending_tasks if item[3] <= self.simulation.now_ms]
        self.pending_tasks = [
            item for item in self.pending_tasks if item[3] > self.simulation.now_ms
        ]
        for position, (name, incarnation, task, _) in enumerate(due):
            node = self.simulation.nodes[name]
            if node.control is None or node.incarnation != incarnation:
                continue
            limiter = node.control.get_limiter()
            if self.rng.random() < 0.9 and limiter.start_task(task, jobs.TaskSpec(b"")):
                self.starts.append(self.simulation.now_ms)
                limiter.end_task(task, 1, 0)
            left = [*due[position + 1 :], *self.pending_tasks]
            if not any(item[2].ticket == task.ticket for item in left):
                limiter.end_job(task.ticket)

    def apply_random_action(self) -> None:
        name = self.rng.choice(list(histories.DOMAINS))
        choice = self.rng.random()
        if choice < 0.4:
            self.simulation.crash(name)
            self.simulation.start(name)
        elif choice < 0.7:
            self.simulation.cut_links.clear()
        elif choice < 0.9:
            self.simulation.partition({f"{name[0]}0", f"{name[0]}1"})
        else:
            self.limit_amounts.append(self.rng.choice([120, 240, 360]))
            self.proposed_ms.append(self.simulation.now_ms)
            self.simulation.cut_links.clear()
            text = build_bundle(len(self.limit_amounts), self.limit_amounts[-1])
            self.simulation.propose(name, text)
            self.simulation.run(8_000)

    def check(self) -> None:
        for at_ms in self.starts:
            count = sum(at_ms - WINDOW_MS < other <= at_ms for other in self.starts)
            total = self.get_total(at_ms - WINDOW_MS)
            assert count <= total, f"{count} starts of {total}"

    def get_total(self, since_ms: int) -> int:
        """Return the highest limit in force anywhere since a time."""
        first = max(
            n for n, at in enumerate(self.proposed_ms) if at <= max(0, since_ms)
        )
        return max(self.limit_amounts[first:])


class LimitSharingTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_shares_and_tokens_exceed_no_window(self, seed: int) -> None:
        history = LimitSharingHistory(seed)
        history.run(420_000, tuple(histories.DOMAINS), True)
        self.assertGreater(len(history.starts), 120)

    def test_single_busy_entry_vm_gets_the_pool(self) -> None:
        history = LimitSharingHistory(1)
        history.run(120_000, ("c1",), False)
        self.assertGreater(len(history.starts), 120)
        self.assertLessEqual(len(history.starts), 140)

    def test_grants_that_count_only_for_their_lease_are_detected(self) -> None:
        original = tokens.get_lease_ms
        self.addCleanup(setattr, tokens, "get_lease_ms", original)
        tokens.get_lease_ms = lambda window_ms: original(window_ms) - WINDOW_MS
        with self.assertRaisesRegex(AssertionError, " of "):
            history = LimitSharingHistory(2)
            for allowance in self.get_allowances(history):
                allowance.lease_ms = original(WINDOW_MS)
            history.run(200_000, ("c1",), False)

    def get_allowances(
        self, history: LimitSharingHistory
    ) -> list[tokens.TokenAllowance]:
        limiters = [n.control.get_limiter() for n in history.simulation.nodes.values()]
        return [
            allowance
            for limiter in limiters
            for _, _, allowance in limiter.get_allowances()
        ]
