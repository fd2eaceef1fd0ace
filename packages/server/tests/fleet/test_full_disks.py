from __future__ import annotations

import errno
import os
import pathlib
import random
import tempfile
import time
import typing
import unittest
import unittest.mock

import gevent

from knapweedbeam_core import effects
from knapweedbeam_core.log import choosing
from knapweedbeam_core.stored import commands
from knapweedbeam_server import system_clock
from knapweedbeam_server.fleet import replicated_log, supervising
from knapweedbeam_wire.store import store

# Stated target: changes are taken again within this time after room is back.
TAKEN_AGAIN_S = 2.0
FULL_S = 2.0
# A replica whose disk was full has everything again within this time.
CAUGHT_UP_S = 5.0
TICK_S = 0.02
# Small, so that snapshots are written while a disk is full.
COMPACT_BYTES = 2_000

write_all = store.write_all


class Supervisor(supervising.Supervisor):
    """Runs loops that can be ended, as those of a process that is killed."""

    def __init__(self) -> None:
        super().__init__()
        self.loops: list[gevent.Greenlet] = []

    def spawn(self, name: str, loop: typing.Callable[[], None]) -> None:
        self.loops.append(gevent.spawn(self.run, name, loop))


class Replicas:
    """Replicas of one log that reach each other, on folders that may be full."""

    def __init__(self, root: pathlib.Path, count: int, seed: int) -> None:
        self.root = root
        self.rng = random.Random(seed)
        self.names = [f"127.0.0.1:{7000 + number}" for number in range(count)]
        self.logs: dict[str, replicated_log.ReplicatedLog] = {}
        self.supervisors: dict[str, Supervisor] = {}
        self.full: set[str] = set()
        self.version = 0
        self.fence = 0
        for name in self.names:
            self.start(name)
        self.ticker = gevent.spawn(self.tick_forever)

    def start(self, name: str) -> None:
        """Start a replica, or start it again on its folder."""
        before = self.logs.get(name)
        if before is not None:
            gevent.killall(self.supervisors[name].loops)
            if before.store is not None:
                before.store.close()
        log = replicated_log.ReplicatedLog(
            name,
            tuple(self.names[:3]),
            self.root / name,
            system_clock.SystemClock(),
            random.Random(self.rng.random()),
            self.send,
            lambda: None,
        )
        self.logs[name] = log
        self.supervisors[name] = Supervisor()
        log.start(self.supervisors[name])

    def send(self, effect: effects.Send) -> None:
        gevent.spawn_later(0.001, self.deliver, effect)

    def deliver(self, effect: effects.Send) -> None:
        self.logs[effect.to].on_message(effect.message)

    def tick_forever(self) -> None:
        vms = [choosing.ControlVm(name, 0) for name in self.names]
        while True:
            for log in list(self.logs.values()):
                log.tick()
                log.update_targets(vms)
            gevent.sleep(TICK_S)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write what a full disk takes: nothing of it may be relied on."""
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        if any(str(self.root / name) in path for name in self.full):
            write_all(descriptor, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "no space left on device")
        write_all(descriptor, data)

    def find_leader(self) -> str:
        leaders = [n for n, log in self.logs.items() if log.is_caught_up_leader()]
        return leaders[0] if leaders else ""

    def propose(self) -> bool:
        """Propose a manifest and a command for stored jobs; return whether taken."""
        leader = self.find_leader()
        if not leader:
            return False
        self.version += 1
        self.fence += 1
        register = commands.RegisterDispatcher(self.fence, self.version)
        self.logs[leader].propose_batch(commands.Batch(self.version, (register,)))
        body = b"x" * 300
        result = self.logs[leader].propose(self.version, body)
        return isinstance(result, replicated_log.Taken)

    def wait_taken(self) -> float:
        """Return after how many seconds a change is taken."""
        started_s = time.monotonic()
        with gevent.Timeout(30, AssertionError("no change is taken")):
            while not self.propose():
                gevent.sleep(TICK_S)
        return time.monotonic() - started_s

    def are_equal(self) -> bool:
        """Return whether all replicas have applied what was proposed last."""
        states = {
            (log.get_version(), log.machine.ledger.state.fence)
            for log in self.logs.values()
        }
        return states == {(self.version, self.fence)}

    def wait_joined(self) -> None:
        """Wait until all replicas vote."""
        with gevent.Timeout(30, AssertionError("not all replicas vote")):
            while True:
                leader = self.find_leader()
                replica = self.logs[leader].replica if leader else None
                if replica and len(replica.wal.latest_members.voters) == len(
                    self.names
                ):
                    return
                gevent.sleep(TICK_S)


class FullDisksTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        self.deployments: list[Replicas] = []
        for target, value in (
            (store, {"write_all": self.write}),
            (replicated_log, {"COMPACT_BYTES": COMPACT_BYTES}),
        ):
            patch = unittest.mock.patch.multiple(target, **value)
            patch.start()
            self.addCleanup(patch.stop)

    def write(self, descriptor: int, data: bytes) -> None:
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        for deployment in self.deployments:
            if str(deployment.root) in path:
                deployment.write(descriptor, data)

    def build(self, count: int) -> Replicas:
        root = self.root / str(count)
        root.mkdir()
        made = Replicas.__new__(Replicas)
        made.root = root
        self.deployments.append(made)
        made.__init__(root, count, count)  # type: ignore[misc]
        self.addCleanup(made.ticker.kill)
        made.wait_taken()
        made.wait_joined()
        return made

    def fill_in_turn(self, count: int, has_restarts: bool) -> float:
        """Fill the disks one after the other, the leader's first."""
        running = self.build(count)
        leader = running.find_leader()
        for name in sorted(running.names, key=lambda each: (each != leader, each)):
            running.full.add(name)
            end_s = time.monotonic() + FULL_S
            while time.monotonic() < end_s:
                running.propose()
                gevent.sleep(0.05)
            if has_restarts:
                running.start(name)
                gevent.sleep(0.3)
            running.full.discard(name)
        taken_s = running.wait_taken()
        with gevent.Timeout(CAUGHT_UP_S, AssertionError(f"{count} replicas differ")):
            while not running.are_equal():
                gevent.sleep(TICK_S)
        return taken_s

    def check(self, has_restarts: bool) -> None:
        counts = (3, 4, 6, 8)
        plays = [gevent.spawn(self.fill_in_turn, n, has_restarts) for n in counts]
        gevent.joinall(plays, raise_error=True)
        taken_s = dict(zip(counts, (play.get() for play in plays), strict=True))
        self.assertLessEqual(max(taken_s.values()), TAKEN_AGAIN_S, taken_s)

    def test_changes_are_taken_again_after_disks_were_full_in_turn(self) -> None:
        self.check(has_restarts=False)

    def test_changes_are_taken_again_after_restarts_with_full_disks(self) -> None:
        self.check(has_restarts=True)


if __name__ == "__main__":
    unittest.main()
