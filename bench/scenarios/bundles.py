"""Many bundles are rolled out under races and failures, then all is restarted."""

from __future__ import annotations

import dataclasses
import pathlib
import time
import typing

import gevent

from bench import calls, cluster, deployment, files, measure, progress
from bench.check import reader, report
from bench.scenarios import model
from knapweedbeam_core import clock
from knapweedbeam_server import history
from knapweedbeam_wire.store import frames, store

MEMBERS = 60
TIMED_ROLLS = 200
TOTAL_ROLLS = 1_000
PROPOSAL_TIMEOUT_S = 20.0
RESEND_INTERVAL_S = 0.2
IDLE_S = 15.0
PARTITION_S = 8.0
ACCEPTED = frozenset({200, 201})
CONFLICT = 409
SHAPE = deployment.Shape(
    name="bundles",
    domains=("alajuela", "heredia", "cartago"),
    vms=9,
    endpoints=3,
    members=tuple(f"distributor-{number:02d}" for number in range(MEMBERS)),
    service="despacho",
    domain_delay_ms=0.5,
)


@dataclasses.dataclass(slots=True)
class BundleRoller:
    """Rolls out bundles on a running cluster and records when each was sent."""

    running: cluster.Cluster
    version: int = 1
    sent_ms: dict[int, int] = dataclasses.field(default_factory=dict)

    def build(self, version: int, standing: int = 1) -> bytes:
        """Return a signed bundle; a different `standing` gives a different text."""
        plan = self.running.plan
        first = dataclasses.replace(plan.members[0], standing=standing)
        changed = dataclasses.replace(plan, members=(first, *plan.members[1:]))
        text = files.build_bundle(changed, self.running.secrets, version)
        return text.encode()

    def post(
        self, vm: deployment.EntryVm, text: bytes
    ) -> calls.Reply | calls.CallFailure:
        """Send a proposal once."""
        caller = calls.Caller(
            vm.operators,
            self.running.secrets.operator_token,
            PROPOSAL_TIMEOUT_S,
            connections=1,
        )
        answer = caller.call("POST", "/v1/bundles", text)
        caller.close()
        return answer

    def roll(self, vm: deployment.EntryVm) -> None:
        """Propose the next version to one entry VM until it is accepted.

        Raises `cluster.ClusterError` after `PROPOSAL_TIMEOUT_S`.
        """
        text = self.build(self.version + 1)
        self.sent_ms[self.version + 1] = self.running.clock.now_ms()
        end_s = time.monotonic() + PROPOSAL_TIMEOUT_S
        answer = self.post(vm, text)
        while not is_accepted(answer):
            if time.monotonic() > end_s:
                raise cluster.ClusterError(f"bundle was not accepted: {answer}")
            gevent.sleep(RESEND_INTERVAL_S)
            answer = self.post(vm, text)
        self.version += 1

    def roll_many(self, until: int) -> None:
        """Roll out versions up to `until`, through every entry VM in turn."""
        vms = self.running.plan.vms
        while self.version < until:
            self.roll(vms[self.version % len(vms)])

    def get_leader(self) -> deployment.EntryVm:
        """Return the entry VM that leads the log.

        Raises `cluster.ClusterError` if no entry VM reports a leader.
        """
        plan = self.running.plan
        for vm in plan.vms:
            name = self.running.get_status(vm).get("leader")
            matches = [each for each in plan.vms if each.name == name]
            if matches:
                return matches[0]
        raise cluster.ClusterError("no entry VM reports a leader of the log")

    def wait_until_in_force(self, timeout_s: float) -> None:
        """Wait until the newest version is in force at every running entry VM.

        Raises `cluster.ClusterError` after the timeout.
        """
        end_s = time.monotonic() + timeout_s
        running = [
            vm for vm in self.running.plan.vms if vm.name in self.running.entries
        ]
        while time.monotonic() < end_s:
            statuses = [self.running.get_status(vm) for vm in running]
            if all(status.get("version") == self.version for status in statuses):
                return
            gevent.sleep(cluster.POLL_INTERVAL_S)
        raise cluster.ClusterError(f"version {self.version} is not in force everywhere")


def is_accepted(answer: calls.Reply | calls.CallFailure) -> bool:
    """Return whether a proposal was accepted, by this call or an earlier one."""
    return isinstance(answer, calls.Reply) and answer.status in ACCEPTED


def race(roller: BundleRoller) -> None:
    """Propose two bundles of one version at once; only one may be accepted.

    Raises `cluster.ClusterError` if both or none are accepted, or if the accepted
    one is refused when sent again.
    """
    version = roller.version + 1
    texts = [roller.build(version, standing) for standing in (2, 3)]
    vms = roller.running.plan.vms
    posts = [
        gevent.spawn(roller.post, vms[index], text) for index, text in enumerate(texts)
    ]
    gevent.joinall(posts)
    answers = [post.value for post in posts]
    statuses = sorted(
        answer.status if isinstance(answer, calls.Reply) else 0 for answer in answers
    )
    if statuses != [201, CONFLICT]:
        raise cluster.ClusterError(f"concurrent proposals of one version got {answers}")
    winner = texts[0] if is_accepted(answers[0]) else texts[1]
    if not is_accepted(roller.post(vms[-1], winner)):
        raise cluster.ClusterError("the accepted bundle was refused when sent again")
    roller.version = version


def kill_leader(roller: BundleRoller) -> None:
    """Kill the leader during a proposal, and restart it."""
    leader = roller.get_leader()
    other = next(vm for vm in roller.running.plan.vms if vm.name != leader.name)
    rolling = gevent.spawn(roller.roll, other)
    gevent.sleep(0)
    roller.running.kill(leader.name)
    rolling.get()
    roller.running.start_entry(leader)
    roller.running.wait_until_ready(leader)
    roller.wait_until_in_force(PROPOSAL_TIMEOUT_S)


def partition_leader(roller: BundleRoller) -> None:
    """Partition the leader's failure domain from the others.

    Raises `cluster.ClusterError` if the leader accepts a bundle meanwhile. The
    others must still accept one.
    """
    leader = roller.get_leader()
    roller.running.partition_domain(leader.domain)
    gevent.sleep(PARTITION_S / 2)
    answer = roller.post(leader, roller.build(roller.version + 1, standing=9))
    if is_accepted(answer):
        raise cluster.ClusterError("a partitioned leader accepted a bundle")
    other = next(vm for vm in roller.running.plan.vms if vm.domain != leader.domain)
    roller.roll(other)
    gevent.sleep(PARTITION_S / 2)
    roller.running.heal_domain(leader.domain)
    roller.wait_until_in_force(PROPOSAL_TIMEOUT_S)


def restart_all(roller: BundleRoller) -> float:
    """Kill and restart every entry VM.

    Returns the milliseconds until the last one was ready.
    """
    running = roller.running
    for vm in running.plan.vms:
        running.kill(vm.name)
    started_s = time.monotonic()
    for vm in running.plan.vms:
        running.start_entry(vm)
    waits = [gevent.spawn(running.wait_until_ready, vm) for vm in running.plan.vms]
    gevent.joinall(waits, raise_error=True)
    duration_s = time.monotonic() - started_s
    roller.wait_until_in_force(PROPOSAL_TIMEOUT_S)
    return duration_s * clock.SECOND_MS


def get_data_ratio(running: cluster.Cluster) -> float:
    """Return the largest ratio of a data folder's size to its snapshot's size."""
    ratios = []
    for vm in running.plan.vms:
        folder = running.folder.root / f"{vm.name}.data"
        if vm.has_disk:
            size = sum(file.stat().st_size for file in folder.iterdir())
            newest = max(folder.glob(f"{store.LOG_PREFIX}*")).read_bytes()
            first = frames.read_frame(newest, 0)
            snapshot = 0 if first is None else len(first.payload)
            ratios.append(measure.divide(size, snapshot))
    return max(ratios)


def measure_idle(running: cluster.Cluster) -> model.Figures:
    """Return the CPU and link traffic of the busiest entry VM while idle."""
    plan = running.plan
    cpu_before_s = {
        name: child.get_usage().cpu_s for name, child in running.entries.items()
    }
    sent = get_sent(running)
    gevent.sleep(IDLE_S)
    cpu_s = [
        running.entries[vm.name].get_usage().cpu_s - cpu_before_s[vm.name]
        for vm in plan.vms
    ]
    now = get_sent(running)
    sent_bytes = [now[vm.name] - sent[vm.name] for vm in plan.vms]
    return {
        "idle_core_percent": round(100 * max(cpu_s) / IDLE_S, 3),
        "idle_bytes_per_s": round(max(sent_bytes) / IDLE_S, 1),
    }


def get_sent(running: cluster.Cluster) -> dict[str, int]:
    """Return the bytes that each entry VM sent on its links so far."""
    sent = {}
    for vm in running.plan.vms:
        status: dict[str, typing.Any] = running.get_status(vm)
        sent[vm.name] = status["links"]["sent"]["frame_bytes"]
    return sent


def get_in_force_ms(merged: reader.History, sent_ms: dict[int, int]) -> list[int]:
    """Return, per timed version, the milliseconds until the last process applied it."""
    last: dict[int, int] = {}
    for record in merged.get(history.InForce):
        version = record.event.version
        last[version] = max(last.get(version, 0), record.at_ms)
    return [last[version] - sent for version, sent in sent_ms.items()]


class Bundles:
    """Rolls out bundles, with races, kills, partitions and restarts."""

    name = "bundles"
    summary = "Bundles in force everywhere, under races, kills, cuts and restarts."

    def run(self, options: model.Options, root: pathlib.Path) -> model.Outcome:
        """Run all steps in turn on one cluster."""
        root.mkdir(parents=True, exist_ok=True)
        block = cluster.reserve_block()
        try:
            plan = deployment.build_deployment(SHAPE, block.number)
            with cluster.Cluster(plan, root) as running:
                running.start()
                figures, sent_ms = self.run_steps(BundleRoller(running))
        finally:
            block.release()
        merged = reader.read_history(root / "histories")
        checked = report.check_history(merged)
        for breach in checked.found[:5]:
            progress.log(breach.describe())
        in_force_ms = get_in_force_ms(merged, sent_ms)
        figures["in_force_worst_ms"] = float(max(in_force_ms))
        figures["in_force_mean_ms"] = round(measure.mean(in_force_ms), 1)
        return model.Outcome(figures, checked.get_counts())

    def run_steps(self, roller: BundleRoller) -> tuple[model.Figures, dict[int, int]]:
        """Run the steps; return the figures and when each timed version was sent."""
        figures = measure_idle(roller.running)
        progress.log(f"{TIMED_ROLLS} rolls")
        roller.roll_many(1 + TIMED_ROLLS)
        sent_ms, roller.sent_ms = roller.sent_ms, {}
        for step in (race, kill_leader, partition_leader):
            progress.log(step.__name__.replace("_", " "))
            step(roller)
        progress.log(f"{TOTAL_ROLLS} rolls in all")
        roller.roll_many(1 + TOTAL_ROLLS)
        roller.wait_until_in_force(PROPOSAL_TIMEOUT_S)
        figures["data_to_snapshot"] = round(get_data_ratio(roller.running), 2)
        progress.log("kill and restart all")
        figures["restart_ready_ms"] = round(restart_all(roller), 1)
        return figures, sent_ms


SCENARIO = Bundles()
