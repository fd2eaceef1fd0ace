"""Cost of a process as the system grows: the slopes behind docs/CAPACITY.md."""

from __future__ import annotations

import collections.abc
import dataclasses
import pathlib

import gevent

from bench import client, cluster, deployment, environment, files, measure, progress
from bench.scenarios import bundles, model, overhead

IDLE_S = 8.0
MIB = 2**20
JOB_SIZES = (1, 20, 100, 450)
TASKS_PER_SIZE = 4_500
SMALL_TASKS = 900
OPEN_TASKS = 400
MAX_OPEN_JOBS = 32
CHANGES = 40
DOMAINS = ("alajuela", "heredia", "cartago")
BASE = deployment.Shape(
    name="slopes",
    domains=DOMAINS[:1],
    vms=3,
    endpoints=24,
    members=("distributor-00", "distributor-01"),
    service="despacho",
)


@dataclasses.dataclass(frozen=True, slots=True)
class MeasurementPoint:
    """One deployment at which costs are measured."""

    label: str
    shape: deployment.Shape


def build_points() -> tuple[MeasurementPoint, ...]:
    """Return the deployments, each of which differs from the base in one size.

    The last two also have three failure domains.
    """
    members = tuple(f"distributor-{number:02d}" for number in range(58))
    shapes = {
        "base": BASE,
        "endpoints_96": dataclasses.replace(BASE, endpoints=96),
        "endpoints_240": dataclasses.replace(BASE, endpoints=240),
        "members_58": dataclasses.replace(BASE, members=members),
        "vms_6": dataclasses.replace(BASE, vms=6),
        "vms_12": dataclasses.replace(BASE, vms=12),
        "domains_3_vms_9": dataclasses.replace(BASE, domains=DOMAINS, vms=9),
        "domains_3_vms_18": dataclasses.replace(BASE, domains=DOMAINS, vms=18),
    }
    return tuple(MeasurementPoint(label, shape) for label, shape in shapes.items())


def measure_idle(running: environment.Environment) -> model.Figures:
    """Return the mean and worst idle cost of the entry VMs."""
    names = [vm.name for vm in running.plan.vms]
    cpu_before_s = {
        name: process_usage.cpu_s for name, process_usage in running.get_usage().items()
    }
    sent = bundles.get_sent(running.cluster)
    frames = running.get_traffic().frames
    gevent.sleep(IDLE_S)
    usage = running.get_usage()
    now = bundles.get_sent(running.cluster)
    cpu_percent = [
        100 * (usage[name].cpu_s - cpu_before_s[name]) / IDLE_S for name in names
    ]
    bytes_per_s = [(now[name] - sent[name]) / IDLE_S for name in names]
    frames_per_s = (running.get_traffic().frames - frames) / IDLE_S / len(names)
    return {
        "idle_core_percent_mean": measure.mean(cpu_percent),
        "idle_core_percent_worst": max(cpu_percent),
        "idle_bytes_per_s_mean": measure.mean(bytes_per_s),
        "idle_bytes_per_s_worst": max(bytes_per_s),
        "idle_frames_per_s_mean": frames_per_s,
        "memory_mib_worst": max(usage[name].memory_bytes for name in names) / MIB,
    }


def measure_changes(running: environment.Environment) -> model.Figures:
    """Return the CPU time and bytes sent of the worst process per bundle change."""
    roller = bundles.BundleRoller(running.cluster)
    names = [vm.name for vm in running.plan.vms]
    cpu_before_s = {
        name: process_usage.cpu_s for name, process_usage in running.get_usage().items()
    }
    sent = bundles.get_sent(running.cluster)
    roller.roll_many(1 + CHANGES)
    roller.wait_until_in_force(bundles.PROPOSAL_TIMEOUT_S)
    usage = running.get_usage()
    now = bundles.get_sent(running.cluster)
    return {
        "change_cpu_ms_worst": max(
            1_000 * (usage[name].cpu_s - cpu_before_s[name]) / CHANGES for name in names
        ),
        "change_bytes_worst": max((now[name] - sent[name]) / CHANGES for name in names),
    }


def measure_job_sizes(running: environment.Environment) -> model.Figures:
    """Return CPU time and messages per task for jobs of several sizes."""
    figures: model.Figures = {}
    for size in JOB_SIZES:
        tasks = SMALL_TASKS if size == 1 else TASKS_PER_SIZE
        at_once = max(1, min(MAX_OPEN_JOBS, OPEN_TASKS // size))
        task_cost = overhead.measure_jobs(
            running, tasks // size, size, at_once, forward=False
        )
        figures[f"task_cpu_ms_jobs_{size}"] = task_cost.cpu_ms
        figures[f"messages_per_task_jobs_{size}"] = task_cost.messages
    return figures


def run_point(
    point: MeasurementPoint,
    root: pathlib.Path,
    steps: collections.abc.Sequence[
        collections.abc.Callable[[environment.Environment], model.Figures]
    ],
) -> model.Figures:
    """Start one deployment, run the steps and return their figures by label."""
    progress.log(point.label)
    root.mkdir(parents=True)
    block = cluster.reserve_block()
    try:
        plan = deployment.build_deployment(point.shape, block.number)
        client_options = client.ClientOptions(point.shape.service)
        server = files.ServerOptions(keep_history=False)
        figures: model.Figures = {}
        with environment.Environment(plan, root, server, client_options) as running:
            for step in steps:
                figures |= step(running)
    finally:
        block.release()
    return {f"{point.label}_{key}": round(v, 4) for key, v in figures.items()}


class Slopes:
    """Measures the cost of each size separately."""

    name = "slopes"
    summary = "Idle cost, cost a task and cost a change as each size grows."

    def run(self, options: model.Options, root: pathlib.Path) -> model.Outcome:
        """Measure all points."""
        figures: model.Figures = {}
        for point in build_points():
            steps = [measure_idle]
            if point.label == "base":
                steps += [measure_job_sizes, measure_changes]
            if point.label in ("members_58", "domains_3_vms_9"):
                steps.append(measure_changes)
            figures |= run_point(point, root / point.label, steps)
        return model.Outcome(figures, {})


SCENARIO = Slopes()
