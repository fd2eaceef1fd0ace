"""CPU time per task through knapweedbeam compared with a bare HTTP loop."""

from __future__ import annotations

import dataclasses
import pathlib
import statistics
import time
import typing

import gevent
import gevent.pool
import geventhttpclient
import msgspec

from bench import (
    calls,
    client,
    cluster,
    deployment,
    environment,
    files,
    measure,
    progress,
)
from bench.scenarios import model
from knapweedbeam_core import clock

ROUNDS = 3
IDLE_S = 3.0
PERCENT = 100
JOB_TASKS = 100
JOBS = 60
OPEN_JOBS = 4
SINGLES = 1_500
OPEN_SINGLES = 32
WORK_MS = 20.0
CALL_TIMEOUT_S = 30.0
SHAPE = deployment.Shape(
    name="overhead",
    domains=("latacunga",),
    vms=3,
    endpoints=6,
    members=("haberdashers",),
    service="order-desk",
)


@dataclasses.dataclass(frozen=True, slots=True)
class TaskCost:
    """CPU milliseconds and messages per task, and tasks per second."""

    cpu_ms: float
    messages: float = 0.0
    rate: float = 0.0


class Overhead:
    """Runs the same tasks directly, in jobs and as forwarded jobs of one task."""

    name = "overhead"
    summary = "Processor time a task beside a bare loop, and messages a task."

    def run(self, options: model.Options, root: pathlib.Path) -> model.Outcome:
        """Measure several rounds and return the medians."""
        root.mkdir(parents=True, exist_ok=True)
        block = cluster.reserve_block()
        try:
            plan = deployment.build_deployment(SHAPE, block.number)
            client_options = client.ClientOptions(SHAPE.service)
            server = files.ServerOptions(keep_history=False)
            with environment.Environment(plan, root, server, client_options) as running:
                rounds = [measure_round(running) for _ in range(ROUNDS)]
        finally:
            block.release()
        names = rounds[0]
        figures = {
            name: round(statistics.median(each[name] for each in rounds), 4)
            for name in names
        }
        return model.Outcome(figures, {})


def measure_round(running: environment.Environment) -> model.Figures:
    """Measure each way of running tasks once, and the idle cost."""
    bare = measure_bare(running.plan, JOBS * JOB_TASKS)
    jobs = measure_jobs(running, JOBS, JOB_TASKS, OPEN_JOBS, forward=False)
    singles = measure_jobs(running, SINGLES, 1, OPEN_SINGLES, forward=True)
    progress.log(f"bare {bare.cpu_ms:.3f}, {jobs.cpu_ms:.3f}, {singles.cpu_ms:.3f} ms")
    idle = measure_idle(running)
    return {
        "bare_cpu_ms": bare.cpu_ms,
        "jobs_cpu_ms": jobs.cpu_ms,
        "single_forwarded_cpu_ms": singles.cpu_ms,
        "cpu_ratio_jobs_100": measure.divide(jobs.cpu_ms, bare.cpu_ms),
        "cpu_ratio_single_forwarded": measure.divide(singles.cpu_ms, bare.cpu_ms),
        "messages_per_task_jobs_100": jobs.messages,
        "jobs_tasks_per_s": jobs.rate,
        "singles_per_s": singles.rate,
        "idle_core_percent": idle,
    }


def measure_idle(running: environment.Environment) -> float:
    """Return the CPU use of the busiest entry VM while idle, in percent of a core."""
    usage = running.get_usage()
    gevent.sleep(IDLE_S)
    cpu_s = [now.cpu_s - usage[name].cpu_s for name, now in running.get_usage().items()]
    return max(cpu_s) / IDLE_S * PERCENT


def measure_bare(plan: deployment.Deployment, count: int) -> TaskCost:
    """Send tasks directly to the endpoints, as many at once as there are slots.

    Returns the CPU time of this process per task.
    """
    clients = [
        geventhttpclient.HTTPClient(
            each.host,
            each.port,
            network_timeout=CALL_TIMEOUT_S,
            concurrency=each.slots,
        )
        for each in plan.endpoints
    ]
    pool = gevent.pool.Pool(sum(each.slots for each in plan.endpoints))
    body = msgspec.json.encode({"work_ms": WORK_MS, "echo": 1})
    started_s = time.process_time()
    for index in range(count):
        chosen = clients[index % len(clients)]
        pool.spawn(post, chosen, f"/tasks/bare/{index}", body)
    pool.join()
    total_cpu_s = time.process_time() - started_s
    for each in clients:
        each.close()
    return TaskCost(total_cpu_s * clock.SECOND_MS / count)


def post(target: typing.Any, path: str, body: bytes) -> None:
    """Post a task and read the answer."""
    headers = {"Content-Type": "application/json"}
    target.post(path, body=body, headers=headers).read()


def measure_jobs(
    running: environment.Environment,
    jobs: int,
    tasks: int,
    at_once: int,
    *,
    forward: bool,
) -> TaskCost:
    """Send jobs through the entry VMs, at most `at_once` at a time.

    Returns the CPU time of client and entry VMs and the messages per task.
    """
    traffic = running.get_traffic()
    usage = running.get_usage()
    cpu_start_s, wall_start_s = time.process_time(), time.monotonic()
    pool = gevent.pool.Pool(at_once)
    for _ in range(jobs):
        pool.spawn(send_job, running, tasks, forward)
    pool.join()
    total_cpu_s, duration_s = (
        time.process_time() - cpu_start_s,
        time.monotonic() - wall_start_s,
    )
    total_cpu_s += sum(
        now.cpu_s - usage[name].cpu_s for name, now in running.get_usage().items()
    )
    sent = running.get_traffic().minus(traffic)
    payload_messages = sum(sent.messages.get(kind, 0) for kind in measure.PAYLOAD_KINDS)
    total = sum(sent.messages.values())
    count = jobs * tasks
    cpu_ms = total_cpu_s * clock.SECOND_MS / count
    return TaskCost(cpu_ms, (total - payload_messages) / count, count / duration_s)


def send_job(running: environment.Environment, tasks: int, forward: bool) -> None:
    """Send one job; to `forward` it, send it to an entry VM that is not its owner.

    Raises `RuntimeError` if the job is not complete, since its cost would be
    meaningless.
    """
    load_client, member = running.client, running.plan.members[0]
    entry_and_ticket = load_client.wait_for_ticket(member.name)
    if entry_and_ticket is None:
        raise RuntimeError("no ticket")
    entry, ticket = entry_and_ticket
    if forward:
        entry = load_client.pick_other_entry(entry)
    task = {"payload": {"work_ms": WORK_MS, "echo": 1}}
    body = {
        "service": running.plan.services[0].name,
        "class": "overhead",
        "tasks": [task] * tasks,
    }
    path = f"/v1/jobs/{ticket}?wait_ms={client.ANSWER_WAIT_MS}"
    answer = load_client.callers[entry].call(
        "PUT", path, msgspec.json.encode(body), member.token
    )
    if isinstance(answer, calls.CallFailure) or answer.status != 200:
        raise RuntimeError(f"job of {tasks} tasks failed: {answer}")


SCENARIO = Overhead()
